#ifndef CLI_REPORT_BY_WORKSPACE_H
#define CLI_REPORT_BY_WORKSPACE_H

#include "verb.h"

/**
 * mux_report_by_workspace() - print the service level of each workspace, in
 * descending order of accepted jobs
 * Return: an enum MuxExit; failures are printed.
 */
int mux_report_by_workspace (MuxCliCall *call);

#endif
