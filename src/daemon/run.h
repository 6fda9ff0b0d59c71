#ifndef DAEMON_RUN_H
#define DAEMON_RUN_H

#include "settings_table.h"

/** mux_daemon_run() - serve until SIGTERM or SIGINT, then stop gracefully
 * Return: exit code of the process. */
int mux_daemon_run (const MuxDaemonOptions *options);

#endif
