#ifndef DAEMON_CELL_RUN_H
#define DAEMON_CELL_RUN_H

#include "settings_table.h"

/** mux_cell_run() - serve stepped jobs until SIGTERM or SIGINT, then leave
 * Return: exit code of the process. */
int mux_cell_run (const MuxDaemonOptions *options);

#endif
