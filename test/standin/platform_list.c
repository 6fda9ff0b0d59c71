#include "standin/platform_list.h"

#include <stdlib.h>
#include <string.h>

/* A change; the visible state of an instance is its newest change that is due.
 */
typedef struct
{
  MuxInstance instance;
  uint64_t due_ms;
  uint64_t rev; /* at which it became visible; 0: not yet */
} Change;

struct StandinList
{
  uint32_t lag_ms;
  uint32_t count;
  uint32_t capacity;
  uint64_t rev;
  Change *changes; /* in the order they were made */
};

StandinList *
standin_platform_list_new (uint32_t lag_ms)
{
  StandinList *list = calloc (1, sizeof *list);

  if (list != NULL)
    list->lag_ms = lag_ms;
  return list;
}

void
standin_platform_list_free (StandinList *list)
{
  if (list == NULL)
    return;
  free (list->changes);
  free (list);
}

static const MuxInstance *
find_newest (const StandinList *list, const char *name)
{
  for (uint32_t i = list->count; i-- > 0;)
    if (strcmp (list->changes[i].instance.name, name) == 0)
      return &list->changes[i].instance;
  return NULL;
}

static bool
reserve (StandinList *list)
{
  uint32_t capacity = list->capacity > 0 ? list->capacity * 2 : 64;
  Change *changes;

  if (list->count < list->capacity)
    return true;
  changes = realloc (list->changes, capacity * sizeof *changes);
  if (changes == NULL)
    return false;
  list->changes = changes;
  list->capacity = capacity;
  return true;
}

bool
standin_platform_list_set (StandinList *list,
                           const MuxInstance *instance,
                           uint64_t now_ms)
{
  const MuxInstance *newest = find_newest (list, instance->name);

  if (newest != NULL && newest->state == MUX_INSTANCE_GONE)
    return false;
  if (!reserve (list))
    return false;
  list->changes[list->count].instance = *instance;
  list->changes[list->count].due_ms = now_ms + list->lag_ms;
  list->changes[list->count].rev = 0;
  list->count++;
  return true;
}

/* Replaces older changes of an instance by those that are due. */
static void
apply_due (StandinList *list, uint64_t now_ms)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < list->count; i++)
    {
      Change change = list->changes[i];
      uint32_t at = kept;

      if (change.due_ms <= now_ms && change.rev == 0)
        change.rev = ++list->rev;
      if (change.due_ms <= now_ms)
        for (at = 0; at < kept; at++)
          if (strcmp (list->changes[at].instance.name, change.instance.name)
              == 0)
            break;
      list->changes[at] = change;
      if (at == kept)
        kept++;
    }
  list->count = kept;
}

MuxInstanceList *
standin_platform_list_show (StandinList *list,
                            uint64_t now_ms,
                            uint64_t after,
                            uint64_t *rev)
{
  MuxInstanceList *shown;

  apply_due (list, now_ms);
  shown = calloc (1, sizeof *shown + list->count * sizeof shown->item[0]);
  if (shown == NULL)
    return NULL;
  shown->changes_only = after > 0 && after <= list->rev;
  if (!shown->changes_only)
    after = 0;
  if (rev != NULL)
    *rev = list->rev;
  for (uint32_t i = 0; i < list->count; i++)
    if (list->changes[i].due_ms <= now_ms && list->changes[i].rev > after)
      shown->item[shown->count++] = list->changes[i].instance;
  return shown;
}
