#include "cell/order_limit.h"

/* Connections that are not given up: one for renewals, and one for a last
 * order. */
#define KEPT_CONNECTIONS 2
/* Pause of a worker after an order that was given up; doubled PAUSE_STEPS times
 * as its connections are used up.  While the gate is open the pause is
 * PAUSE_OPEN_MS at most. */
#define PAUSE_MIN_MS 500
#define PAUSE_STEPS 4
#define PAUSE_OPEN_MS 1000
/* Orders answered in a row that open the gate; doubled with each step of a
 * worker's pause. */
#define ANSWERED_MIN 6
/* While it is open: orders outstanding at a worker, and answered ones for each
 * of those outstanding at all workers. */
#define OPEN_MAX 2
#define ANSWERED_PER_ORDER 2
/* Pause after an order that was given up while it is closed. */
#define GATE_PAUSE_MS 300
/* How long a connection counts whose end is not known. */
#define FORGET_MS 5000

static uint32_t
room_of (uint32_t connections_max)
{
  return connections_max > KEPT_CONNECTIONS ? connections_max - KEPT_CONNECTIONS
                                            : 1;
}

static uint32_t
given_up_now (const MuxOrderLimit *limit, int64_t now_ms)
{
  int64_t forgotten = limit->forgets && now_ms > limit->forgot_ms
                          ? (now_ms - limit->forgot_ms) / FORGET_MS
                          : 0;

  return forgotten < (int64_t) limit->given_up
             ? limit->given_up - (uint32_t) forgotten
             : 0;
}

bool
mux_order_limit_is_short (const MuxOrderLimit *limit, int64_t now_ms)
{
  return limit->room != 0 && 2 * given_up_now (limit, now_ms) >= limit->room;
}

bool
mux_order_limit_is_used_up (const MuxOrderLimit *limit, int64_t now_ms)
{
  return limit->room != 0 && given_up_now (limit, now_ms) >= limit->room;
}

/* Return: how short the worker is, from 0 to PAUSE_STEPS. */
static uint32_t
steps_of (const MuxOrderLimit *limit, int64_t now_ms)
{
  uint32_t spared = limit->room / 2;
  uint32_t gone = given_up_now (limit, now_ms);
  uint32_t steps;

  if (spared == 0 || gone <= limit->room - spared)
    return 0;
  steps = (gone - (limit->room - spared)) * PAUSE_STEPS / spared;
  return steps < PAUSE_STEPS ? steps : PAUSE_STEPS;
}

static bool
gate_allows (const MuxOrderLimit *limit, int64_t now_ms)
{
  const MuxOrderGate *gate = limit->gate;
  uint32_t steps = steps_of (limit, now_ms);
  int64_t pause_ms = (int64_t) PAUSE_MIN_MS << steps;
  bool open = gate->answered >= (uint32_t) ANSWERED_MIN << steps;

  if (open && pause_ms > PAUSE_OPEN_MS)
    pause_ms = PAUSE_OPEN_MS;
  if (limit->lost_ms != 0 && now_ms < limit->lost_ms + pause_ms)
    return false;
  if (open)
    return limit->outstanding < OPEN_MAX
           && gate->outstanding < gate->answered / ANSWERED_PER_ORDER;
  return gate->outstanding == 0 && now_ms >= gate->next_ms;
}

bool
mux_order_limit_allows (const MuxOrderLimit *limit, int64_t now_ms)
{
  return !mux_order_limit_is_short (limit, now_ms)
         || gate_allows (limit, now_ms);
}

bool
mux_order_limit_allows_start (const MuxOrderLimit *limit, int64_t now_ms)
{
  return !mux_order_limit_is_used_up (limit, now_ms)
         && mux_order_limit_allows (limit, now_ms);
}

void
mux_order_limit_set (MuxOrderLimit *limit,
                     uint32_t connections_max,
                     uint32_t given_up)
{
  limit->room = room_of (connections_max);
  limit->given_up = given_up;
  limit->forgets = false;
}

void
mux_order_limit_add (MuxOrderLimit *limit,
                     int64_t now_ms,
                     uint32_t connections_max)
{
  uint32_t before = given_up_now (limit, now_ms);

  limit->room = room_of (connections_max);
  if (!limit->forgets || before == 0)
    limit->forgot_ms = now_ms;
  else
    limit->forgot_ms += (int64_t) (limit->given_up - before) * FORGET_MS;
  limit->given_up = before + 1 < limit->room ? before + 1 : limit->room - 1;
  limit->forgets = true;
}

void
mux_order_limit_sent (MuxOrderLimit *limit, int64_t now_ms)
{
  limit->outstanding++;
  if (!mux_order_limit_is_short (limit, now_ms))
    return;
  limit->gated++;
  limit->gate->outstanding++;
}

static void
ended (MuxOrderLimit *limit)
{
  if (limit->outstanding > 0)
    limit->outstanding--;
  if (limit->gated == 0)
    return;
  limit->gated--;
  limit->gate->outstanding--;
}

void
mux_order_limit_answered (MuxOrderLimit *limit, int64_t now_ms)
{
  ended (limit);
  limit->answered++;
  if (!mux_order_limit_is_short (limit, now_ms))
    return;
  if (limit->gate->answered == 0)
    limit->gate->answered_since_ms = now_ms;
  limit->gate->answered++;
}

void
mux_order_limit_lost (MuxOrderLimit *limit, int64_t now_ms, int64_t sent_ms)
{
  MuxOrderGate *gate = limit->gate;

  ended (limit);
  limit->answered = 0;
  limit->lost_ms = now_ms;
  if (!mux_order_limit_is_short (limit, now_ms)
      || (gate->answered > 0 && sent_ms < gate->answered_since_ms))
    return;
  gate->answered = 0;
  gate->next_ms = now_ms + GATE_PAUSE_MS;
}

void
mux_order_limit_unsent (MuxOrderLimit *limit)
{
  ended (limit);
}

void
mux_order_limit_close (MuxOrderLimit *limit)
{
  while (limit->outstanding > 0)
    ended (limit);
}
