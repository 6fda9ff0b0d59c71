#ifndef STANDIN_PLATFORM_LIST_H
#define STANDIN_PLATFORM_LIST_H

#include "port/instances.h"

/* The instance list and the changes that do not show yet; not locked. */
typedef struct StandinList StandinList;

StandinList *standin_platform_list_new (uint32_t lag_ms);
void standin_platform_list_free (StandinList *list);
/** standin_platform_list_set() - a change made at @now_ms
 * Return: false when the instance is gone for good or memory is out. */
bool standin_platform_list_set (StandinList *list,
                                const MuxInstance *instance,
                                uint64_t now_ms);
/** standin_platform_list_show() - copy of what shows at @now_ms, or NULL
 * @after: only what changed since that number was given; 0: all; one that was
 *   never given: all
 * @rev: number of this list, 0 while it is empty; may be NULL */
MuxInstanceList *standin_platform_list_show (StandinList *list,
                                             uint64_t now_ms,
                                             uint64_t after,
                                             uint64_t *rev);

#endif
