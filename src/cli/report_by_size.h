#ifndef CLI_REPORT_BY_SIZE_H
#define CLI_REPORT_BY_SIZE_H

#include "verb.h"

/**
 * mux_report_by_size() - what the steps of each queue waited for, and what
 * their questions to the policy service brought, by the size of their jobs
 * Return: an enum MuxExit; what went wrong is printed.
 */
int mux_report_by_size (MuxCliCall *call);

#endif
