#include "cell/pacing.h"

/* Tails in percent of the target.  From OVER on the pace is cut, to where the
 * tail is expected at GOAL; below CALM it is raised. */
#define TAIL_OVER 95
#define TAIL_GOAL 80
#define TAIL_CALM 70
/* Of runs whose pace is not known, a tail below this shows that no pace does
 * harm for now. */
#define TAIL_LOW 35
/* Steps in which the pace is raised, while the rise of the tail is not known,
 * and at most. */
#define STEP_UNKNOWN 10
#define STEP_MAX 15
/* Share chosen first for runs whose pace is not known, and for one that starts
 * where a pace of 0 was needed. */
#define FIRST_PERCENT 30
/* After a cut the pace is not raised for this long. */
#define HOLD_MS 3000
/* Least rise assumed: a tail that fell meanwhile must not make it 0. */
#define RISE_MIN_MILLI 50
#define MILLI 1000

void
mux_pacing_init (MuxPacing *pacing)
{
  *pacing = (MuxPacing){ .is_known = true, .percent = MUX_PACING_FULL };
}

void
mux_pacing_forget (MuxPacing *pacing)
{
  *pacing = (MuxPacing){ .is_known = false, .percent = MUX_PACING_FULL };
}

/* A larger rise counts at once, a smaller one in part: the pace is raised the
 * more carefully. */
static void
learn_rise (MuxPacing *pacing, uint32_t tail)
{
  int64_t change = (int64_t) pacing->percent - pacing->last_percent;
  int64_t rise;

  if (!pacing->has_last || change == 0)
    return;
  rise = ((int64_t) tail - pacing->last_tail) * MILLI / change;
  if (rise < RISE_MIN_MILLI)
    rise = RISE_MIN_MILLI;
  if (rise > UINT32_MAX)
    rise = UINT32_MAX;
  if (rise >= pacing->rise_milli)
    pacing->rise_milli = (uint32_t) rise;
  else
    pacing->rise_milli
        = (uint32_t) ((2 * (int64_t) pacing->rise_milli + rise) / 3);
}

/* Return: change of the pace after which the tail is expected at GOAL. */
static int64_t
change_to_goal (const MuxPacing *pacing, uint32_t tail)
{
  return ((int64_t) TAIL_GOAL - tail) * MILLI / pacing->rise_milli;
}

static uint32_t
cut (const MuxPacing *pacing, uint32_t tail)
{
  int64_t percent;

  if (!pacing->is_known || pacing->rise_milli == 0)
    return 0;
  percent = pacing->percent + change_to_goal (pacing, tail);
  if (percent > pacing->percent / 2)
    percent = pacing->percent / 2;
  return percent > 0 ? (uint32_t) percent : 0;
}

static uint32_t
raise_pace (const MuxPacing *pacing, uint32_t tail)
{
  int64_t step = STEP_UNKNOWN;

  if (!pacing->is_known)
    return tail < TAIL_LOW ? MUX_PACING_FULL : FIRST_PERCENT;
  if (pacing->rise_milli != 0)
    step = change_to_goal (pacing, tail);
  if (step > STEP_MAX)
    step = STEP_MAX;
  if (step < 1)
    step = 1;
  return pacing->percent + step < MUX_PACING_FULL
             ? pacing->percent + (uint32_t) step
             : MUX_PACING_FULL;
}

static uint32_t
choose (MuxPacing *pacing, uint32_t tail, int64_t now_ms)
{
  if (tail >= TAIL_OVER)
    {
      pacing->raise_after_ms = now_ms + HOLD_MS;
      return cut (pacing, tail);
    }
  if (tail < TAIL_CALM && now_ms >= pacing->raise_after_ms)
    return raise_pace (pacing, tail);
  return pacing->percent;
}

bool
mux_pacing_observe (MuxPacing *pacing, uint32_t tail_percent, int64_t now_ms)
{
  uint32_t before = pacing->percent;
  bool was_known = pacing->is_known;
  bool decides = tail_percent >= TAIL_OVER || tail_percent < TAIL_CALM;

  if (was_known)
    learn_rise (pacing, tail_percent);
  pacing->last_percent = before;
  pacing->last_tail = tail_percent;
  pacing->has_last = was_known;
  pacing->percent = choose (pacing, tail_percent, now_ms);
  pacing->is_known = was_known || decides;
  return pacing->percent != before || pacing->is_known != was_known;
}

void
mux_pacing_idle (MuxPacing *pacing, uint32_t tail_percent)
{
  pacing->has_last = false;
  if (tail_percent < TAIL_CALM && pacing->percent < FIRST_PERCENT)
    pacing->percent = FIRST_PERCENT;
}
