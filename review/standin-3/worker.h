#ifndef REVIEW_WORKER_H
#define REVIEW_WORKER_H

#include <stdint.h>

/**
 * worker_main() - one life of a worker, until it is killed
 * @id: its id
 * @addr: its address
 * @record: file to which each start and each end is appended
 * @begun_ms: monotonic time from which the record counts
 */
int worker_main (const char *id,
                 const char *addr,
                 const char *record,
                 int64_t begun_ms);

#endif
