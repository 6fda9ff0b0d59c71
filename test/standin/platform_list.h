#ifndef STANDIN_PLATFORM_LIST_H
#define STANDIN_PLATFORM_LIST_H

#include "port/instances.h"

/* The instance list, with changes that become visible after a lag.  Not
 * thread-safe. */
typedef struct StandinList StandinList;

StandinList *standin_platform_list_new (uint32_t lag_ms);
void standin_platform_list_free (StandinList *list);
/** standin_platform_list_set() - adds or changes an instance at @now_ms
 * Return: false if the instance is already gone or memory is exhausted. */
bool standin_platform_list_set (StandinList *list,
                                const MuxInstance *instance,
                                uint64_t now_ms);
/** standin_platform_list_show() - copies what is visible at @now_ms; NULL if
 * out of memory
 * @after: revision of an earlier list, to get only later changes; 0 or unknown:
 *   all
 * @rev: receives the revision of this list, 0 while it is empty; may be NULL */
MuxInstanceList *standin_platform_list_show (StandinList *list,
                                             uint64_t now_ms,
                                             uint64_t after,
                                             uint64_t *rev);

#endif
