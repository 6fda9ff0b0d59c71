#include "timers.h"

#include <stdlib.h>

typedef struct
{
  int64_t at_ms;
  MuxId subject;
} Entry;

/* A binary heap, earliest first. */
struct Timers
{
  Entry *entry;
  uint32_t count;
  uint32_t cap;
};

Timers *
timers_new (void)
{
  return calloc (1, sizeof (Timers));
}

void
timers_free (Timers *timers)
{
  if (timers == NULL)
    return;
  free (timers->entry);
  free (timers);
}

static bool
grow (Timers *timers)
{
  uint32_t cap = timers->cap == 0 ? 256 : timers->cap * 2;
  Entry *entry = realloc (timers->entry, cap * sizeof *entry);

  if (entry == NULL)
    return false;
  timers->entry = entry;
  timers->cap = cap;
  return true;
}

bool
timers_add (Timers *timers, int64_t at_ms, MuxId subject)
{
  uint32_t i;

  if (timers->count == timers->cap && !grow (timers))
    return false;
  i = timers->count++;
  while (i > 0 && timers->entry[(i - 1) / 2].at_ms > at_ms)
    {
      timers->entry[i] = timers->entry[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  timers->entry[i] = (Entry){ at_ms, subject };
  return true;
}

int64_t
timers_next_ms (const Timers *timers)
{
  return timers->count == 0 ? INT64_MAX : timers->entry[0].at_ms;
}

static void
sift_down (Timers *timers, Entry last)
{
  uint32_t i = 0;

  for (;;)
    {
      uint32_t child = 2 * i + 1;

      if (child >= timers->count)
        break;
      if (child + 1 < timers->count
          && timers->entry[child + 1].at_ms < timers->entry[child].at_ms)
        child++;
      if (timers->entry[child].at_ms >= last.at_ms)
        break;
      timers->entry[i] = timers->entry[child];
      i = child;
    }
  timers->entry[i] = last;
}

bool
timers_pop (Timers *timers, int64_t now_ms, int64_t *at_ms, MuxId *subject)
{
  Entry last;

  if (timers->count == 0 || timers->entry[0].at_ms > now_ms)
    return false;
  *at_ms = timers->entry[0].at_ms;
  *subject = timers->entry[0].subject;
  last = timers->entry[--timers->count];
  if (timers->count > 0)
    sift_down (timers, last);
  return true;
}
