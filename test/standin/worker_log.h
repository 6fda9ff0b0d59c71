#ifndef STANDIN_WORKER_LOG_H
#define STANDIN_WORKER_LOG_H

#include "standin/worker_logic.h"

#include <stddef.h>

/* Size of the longest line, with its newline. */
#define STANDIN_WORKER_LINE_MAX 1024

/**
 * standin_worker_log_line() - formats an event as a line of JSON
 * @t_ms: time of day
 * Return: bytes written to @out, with the newline.
 */
size_t standin_worker_log_line (const StandinWorkerEvent *event,
                                const char *worker,
                                uint64_t incarnation,
                                int64_t t_ms,
                                char out[STANDIN_WORKER_LINE_MAX]);

#endif
