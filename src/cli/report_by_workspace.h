#ifndef CLI_REPORT_BY_WORKSPACE_H
#define CLI_REPORT_BY_WORKSPACE_H

#include "verb.h"

/**
 * mux_report_by_workspace() - what callers of each workspace got, the busiest
 * first
 * Return: an enum MuxExit; what went wrong is printed.
 */
int mux_report_by_workspace (MuxCliCall *call);

#endif
