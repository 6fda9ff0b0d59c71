#include "config.h"
#include "owner.h"
#include "worker.h"

#include <stdlib.h>

/* After a worker was lost, so that a claim or answer that is on its way can
 * bring it back first. */
#define RECHECK_MS 1000
/* Between looks for asks that are not repeated, and how many of them in a row
 * make an ask void: looks, not time, so that this daemon's own pause, in which
 * no repeat could come, counts as one. */
#define UNHEARD_MS 5000
#define CHECKS_SINCE_REQUEST_MAX 4

void
owner_schedule_recheck (MuxCore *core)
{
  if (core->next_fit_check_ms == 0)
    core->next_fit_check_ms = core->now_ms + RECHECK_MS;
}

/* How many of @size the workers could hold if they were empty, up to @enough.
 */
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
hopeless (const MuxCore *core, const Grant *grant)
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
unheard (const MuxCore *core, const Grant *grant)
{
  (void) core;
  return !grant->placed
         && grant->checks_since_request >= CHECKS_SINCE_REQUEST_MAX;
}

static void
send_back_all (MuxCore *core,
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
  /* A refusal may end other asks of a home in this daemon. */
  for (uint32_t i = 0; i < count; i++)
    owner_refuse (core, ids[i], reason);
  free (ids);
}

/*
 * Failure: a home gives up an ask and its word is lost.  A task that is alone
 * is placed some day and its grant runs out; a member of a gang whose others
 * are gone waits here for as long as its ask says, up to an hour, and to all
 * homes this daemon seems to have a queue.  A home that still wants it repeats
 * its ask every second or two, so what is not repeated is sent back.
 */
static void
drop_unheard (MuxCore *core)
{
  if (core->now_ms < core->next_repeat_check_ms)
    return;
  core->next_repeat_check_ms = core->now_ms + UNHEARD_MS;
  for (Grant *grant = core->grants; grant != NULL; grant = grant->hh.next)
    grant->checks_since_request++;
  send_back_all (core, unheard, MUX_REASON_PEER_SILENT);
}

/*
 * Failure: an owner loses its workers to another one, or they fall silent,
 * while asks wait with it.  To their homes it still lives and repeats cost it
 * nothing, so a job would wait there until its ask expires while others have
 * room.  What the workers that are left can't hold is sent back.
 */
void
owner_recheck (MuxCore *core)
{
  drop_unheard (core);
  if (core->next_fit_check_ms == 0 || core->now_ms < core->next_fit_check_ms)
    return;
  core->next_fit_check_ms = 0;
  send_back_all (core, hopeless, MUX_REASON_NO_WORKERS);
}
