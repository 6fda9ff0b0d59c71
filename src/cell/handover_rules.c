#include "cell/handover_rules.h"

#include <string.h>

/* A planner whose events wait for longer refuses new jobs. */
#define LOOP_LATE_MS 500
/* A message takes some ms; a link that is used up delays it by its queue. */
#define LINK_LATE_MS 400
/* Replies to relayed calls include the work of proxy and worker.  They count
 * from this latency on, and only if hellos are slow too. */
#define REPLY_LATE_MS 500
#define REPLY_HELLO_MS 100
/* Signs of a planner that doesn't meet the need count from so many times the
 * values above.  Its admission control holds its delay near them. */
#define UNABLE_FACTOR 3
/* Signs that have fallen below 1 / CLEAR_DIVISOR of their limit end an
 * impairment. */
#define CLEAR_DIVISOR 2
/* An impairment lasts for so long before a handover: longer than a burst of
 * replies after a pause, or a planning pass over all jobs. */
#define LASTS_MS 4000
/* Signs are averaged over this time. */
#define MEAN_MS 1000
/* After a longer gap between updates the impairment begins anew. */
#define GAP_MAX_MS 2000

static const char *const reason_names[MUX_HANDOVER_REASON_COUNT]
    = { [MUX_HANDOVER_NONE] = "none",
        [MUX_HANDOVER_ABILITY] = "ability",
        [MUX_HANDOVER_LATE] = "late",
        [MUX_HANDOVER_LINK] = "link" };

const char *
mux_handover_reason_name (MuxHandoverReason reason)
{
  return reason_names[reason];
}

MuxHandoverReason
mux_handover_reason_parse (const char *name)
{
  for (int i = MUX_HANDOVER_ABILITY; i < MUX_HANDOVER_REASON_COUNT; i++)
    if (name != NULL && strcmp (name, reason_names[i]) == 0)
      return (MuxHandoverReason) i;
  return MUX_HANDOVER_NONE;
}

void
mux_handovers_add (MuxHandovers *handovers, const MuxHandover *handover)
{
  if (handovers->count == MUX_HANDOVERS_MAX)
    memmove (&handovers->item[0], &handovers->item[1],
             --handovers->count * sizeof handovers->item[0]);
  handovers->item[handovers->count++] = *handover;
}

static bool
counts (const MuxHandover *handover, int64_t now_ms)
{
  return now_ms - handover->at_ms < MUX_HANDOVER_MEMORY_MS;
}

bool
mux_handovers_allow (const MuxHandovers *handovers,
                     MuxHandoverReason reason,
                     int64_t now_ms)
{
  uint32_t recent = 0;

  for (uint32_t i = 0; i < handovers->count; i++)
    if (counts (&handovers->item[i], now_ms))
      {
        recent++;
        if (reason != MUX_HANDOVER_ABILITY
            && handovers->item[i].reason == reason)
          return false;
      }
  return recent < MUX_HANDOVERS_PER_MEMORY;
}

bool
mux_handovers_exclude (const MuxHandovers *handovers,
                       const char *name,
                       MuxHandoverReason reason,
                       int64_t now_ms)
{
  for (uint32_t i = 0; i < handovers->count; i++)
    if (handovers->item[i].reason == reason
        && counts (&handovers->item[i], now_ms)
        && strcmp (handovers->item[i].from, name) == 0)
      return true;
  return false;
}

static int64_t
mean_ms (int64_t before_ms, int64_t value_ms, int64_t passed_ms)
{
  if (passed_ms > MEAN_MS)
    passed_ms = MEAN_MS;
  return before_ms + (value_ms - before_ms) * passed_ms / MEAN_MS;
}

/* The part of a hello's round trip that is not the wait in the event loop, or
 * that of relayed calls where hellos confirm it. */
static int64_t
link_ms (const MuxImpairmentSigns *signs)
{
  int64_t hello_ms = signs->hello_ms - signs->loop_ms;
  int64_t reply_ms = signs->reply_ms - signs->loop_ms;

  if (hello_ms < 0)
    hello_ms = 0;
  if (hello_ms >= REPLY_HELLO_MS && reply_ms > hello_ms)
    return reply_ms * LINK_LATE_MS / REPLY_LATE_MS;
  return hello_ms;
}

static void
judge (int64_t *since_ms, int64_t now_ms, int64_t value_ms, int64_t limit_ms)
{
  if (value_ms >= limit_ms)
    {
      if (*since_ms == 0)
        *since_ms = now_ms;
    }
  else if (value_ms < limit_ms / CLEAR_DIVISOR)
    *since_ms = 0;
}

MuxHandoverReason
mux_impairment_update (MuxImpairment *impairment,
                       int64_t now_ms,
                       const MuxImpairmentSigns *signs)
{
  int64_t passed_ms = now_ms - impairment->updated_ms;
  int64_t factor = signs->able ? 1 : UNABLE_FACTOR;

  if (impairment->updated_ms == 0 || passed_ms > GAP_MAX_MS)
    {
      *impairment = (MuxImpairment){ .updated_ms = now_ms };
      return MUX_HANDOVER_NONE;
    }
  impairment->updated_ms = now_ms;
  impairment->loop_ms
      = mean_ms (impairment->loop_ms, signs->loop_ms, passed_ms);
  impairment->link_ms
      = mean_ms (impairment->link_ms, link_ms (signs), passed_ms);
  judge (&impairment->since_ms[MUX_HANDOVER_LATE], now_ms, impairment->loop_ms,
         LOOP_LATE_MS * factor);
  judge (&impairment->since_ms[MUX_HANDOVER_LINK], now_ms, impairment->link_ms,
         LINK_LATE_MS * factor);
  for (int i = MUX_HANDOVER_LATE; i <= MUX_HANDOVER_LINK; i++)
    if (impairment->since_ms[i] != 0
        && now_ms - impairment->since_ms[i] >= LASTS_MS)
      return (MuxHandoverReason) i;
  return MUX_HANDOVER_NONE;
}
