#include "config.h"
#include "owner.h"
#include "worker.h"

#include <stdlib.h>

/* Periodic checks by an owner of the requests for room that wait with it. */

/* Delay after the loss of a worker, in which a claim or reply in flight may
 * bring it back. */
#define RECHECK_DELAY_MS 1000
/* Interval of checks for requests that are no longer repeated, and the number
 * of checks without a repeat after which a request is refused. Checks are
 * counted rather than time, so that a pause of this daemon, in which no repeat
 * could arrive, counts as one. */
#define REPEAT_CHECK_INTERVAL_MS 5000
#define CHECKS_SINCE_REQUEST_MAX 4

void
owner_schedule_recheck (MuxCore *core)
{
  if (core->next_fit_check_ms == 0)
    core->next_fit_check_ms = core->now_ms + RECHECK_DELAY_MS;
}

/* Returns how many tasks of @size the usable workers could hold if they were
 * empty, at most @enough. */
static uint32_t
could_hold (const MuxCore *core, MuxSize size, uint32_t enough)
{
  uint32_t count = 0;

  for (const Worker *w = core->workers; w != NULL && count < enough;
       w = w->hh.next)
    {
      MuxSize free = w->capacity;

      while (w->usable && count < enough && mux_size_fits (size, free))
        {
          free = mux_size_sub (free, size);
          count++;
        }
    }
  return count;
}

static bool
never_fits (const MuxCore *core, const Grant *grant)
{
  const MuxClassSpec *spec = config_class (core, grant->request.class_name);
  uint32_t count
      = mux_id_is_none (grant->request.group) ? 1 : grant->request.group_count;
  MuxSize size;

  if (grant->placed || spec == NULL)
    return false;
  size = spec->size;
  size.slots = 1;
  return could_hold (core, size, count) < count;
}

static bool
not_repeated (const MuxCore *core, const Grant *grant)
{
  (void) core;
  return !grant->placed
         && grant->checks_since_request >= CHECKS_SINCE_REQUEST_MAX;
}

static void
refuse_matching (MuxCore *core,
                 bool (*chosen) (const MuxCore *core, const Grant *grant),
                 MuxReason reason)
{
  uint32_t count = 0;
  Grant *grant, *next;
  MuxId *ids = malloc ((HASH_COUNT (core->grants) + 1) * sizeof *ids);

  if (ids == NULL)
    return;
  HASH_ITER (hh, core->grants, grant, next)
  if (chosen (core, grant))
    ids[count++] = grant->task;
  /* By id: if the home is this daemon, a refusal may at once drop other
   * requests on the list, such as those of its gang. */
  for (uint32_t i = 0; i < count; i++)
    owner_refuse (core, ids[i], reason);
  free (ids);
}

/*
 * Refuses requests whose cancel was lost. A home repeats a request every
 * second or two while it still wants it. The request of a single task would be
 * placed at some time, and its grant expire. But one for a task of a gang whose
 * other requests are gone would wait until it expires, up to an hour, and all
 * that time this daemon would report a queue that is not empty to all homes.
 */
static void
refuse_not_repeated (MuxCore *core)
{
  if (core->now_ms < core->next_repeat_check_ms)
    return;
  core->next_repeat_check_ms = core->now_ms + REPEAT_CHECK_INTERVAL_MS;
  for (Grant *grant = core->grants; grant != NULL; grant = grant->hh.next)
    grant->checks_since_request++;
  refuse_matching (core, not_repeated, MUX_REASON_PEER_SILENT);
}

/*
 * An owner may lose its workers, to another one or as unreachable, while
 * requests wait with it. Homes still see it as live, so a job would wait here
 * until its request expires while other owners have room. Requests that the
 * remaining workers can't hold are refused.
 */
void
owner_recheck (MuxCore *core)
{
  refuse_not_repeated (core);
  if (core->next_fit_check_ms == 0 || core->now_ms < core->next_fit_check_ms)
    return;
  core->next_fit_check_ms = 0;
  refuse_matching (core, never_fits, MUX_REASON_NO_WORKERS);
}
