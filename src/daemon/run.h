#ifndef DAEMON_RUN_H
#define DAEMON_RUN_H

#include "settings_table.h"

/** mux_daemon_run() - run the daemon for requests, tasks and jobs
 * Serves until SIGTERM or SIGINT, then stops gracefully.
 * Return: exit code of the process. */
int mux_daemon_run (const MuxDaemonOptions *options);

#endif
