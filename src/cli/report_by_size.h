#ifndef CLI_REPORT_BY_SIZE_H
#define CLI_REPORT_BY_SIZE_H

#include "verb.h"

/**
 * mux_report_by_size() - print what the steps of each queue waited for and the
 * results of their approval queries, by the size of their jobs
 * Return: an enum MuxExit; failures are printed.
 */
int mux_report_by_size (MuxCliCall *call);

#endif
