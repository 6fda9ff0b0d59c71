#ifndef DAEMON_CELL_RUN_H
#define DAEMON_CELL_RUN_H

#include "settings_table.h"

/** mux_cell_run() - run the daemon for stepped jobs
 * Serves until SIGTERM or SIGINT, then stops gracefully.
 * Return: exit code of the process. */
int mux_cell_run (const MuxDaemonOptions *options);

#endif
