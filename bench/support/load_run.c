#include "bench/support/load_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 100
#define SAMPLE_MS 1000
#define FAIL_MS 10
#define REPORT_LAG_MS 2000

static double
draw_unit (LoadState *s)
{
  s->random ^= s->random << 13;
  s->random ^= s->random >> 7;
  s->random ^= s->random << 17;
  return ((double) (s->random >> 11) + 1) / 9007199254740994.0;
}

static bool
earlier (const Event *a, const Event *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->seq < b->seq;
}

static void
push (LoadState *s, int64_t at_ms, EventKind kind, uint32_t what)
{
  Event e = { at_ms, s->seq++, kind, what };
  uint32_t i = s->events++;

  if (s->events > s->event_room)
    {
      s->event_room = s->event_room * 2 + 64;
      s->event = realloc (s->event, s->event_room * sizeof *s->event);
    }
  for (; i > 0 && earlier (&e, &s->event[(i - 1) / 2]); i = (i - 1) / 2)
    s->event[i] = s->event[(i - 1) / 2];
  s->event[i] = e;
}

static Event
pop (LoadState *s)
{
  Event top = s->event[0];
  Event last = s->event[--s->events];
  uint32_t i = 0;

  for (uint32_t c; (c = 2 * i + 1) < s->events; i = c)
    {
      if (c + 1 < s->events && earlier (&s->event[c + 1], &s->event[c]))
        c++;
      if (!earlier (&s->event[c], &last))
        break;
      s->event[i] = s->event[c];
    }
  s->event[i] = last;
  return top;
}

static void
set_rates (LoadState *s)
{
  double used[3] = { 0 };
  double most = 0;

  for (uint32_t c = 0; c < s->mix->classes; c++)
    {
      const LoadClass *class = &s->mix->class[c];
      const MuxSize *cap = &s->mix->capacity;
      double n = s->mix->workers;
      double part[3] = { fmax (class->cpu_milli, class->spec.size.cpu_milli)
                             / (cap->cpu_milli * n),
                         fmax (class->mem_mib, class->spec.size.mem_mib)
                             / (cap->mem_mib * n),
                         1.0 / (cap->slots * n) };
      double dom = fmax (part[0], fmax (part[1], part[2]));

      s->rate[c] = class->weight / dom / class->run_ms / class->batch;
      for (uint32_t d = 0; d < 3; d++)
        used[d] += class->weight * part[d] / dom;
    }
  most = fmax (used[0], fmax (used[1], used[2]));
  for (uint32_t c = 0; c < s->mix->classes; c++)
    s->rate[c] *= s->run->load / most;
}

static void
next_arrival (LoadState *s, uint32_t c)
{
  bool surge = s->run->surge_ms > 0 && s->now_ms >= s->run->surge_ms;
  double rate = s->rate[c] * (surge ? 1.5 : 1);

  /* Kept exactly: gaps rounded one by one would raise the rate. */
  s->next_ms[c] += -log (draw_unit (s)) / rate;
  push (s, (int64_t) s->next_ms[c], EVENT_ARRIVAL, c);
}

static uint32_t
new_task (LoadState *s)
{
  if (s->tasks == s->task_room)
    {
      s->task_room = s->task_room * 2 + 1024;
      s->task = realloc (s->task, s->task_room * sizeof *s->task);
    }
  return s->tasks++;
}

static void
ask (LoadState *s, uint32_t t)
{
  LoadTask *task = &s->task[t];
  LoadClassResult *r = &s->result->class[task->class_id];

  if (!s->policy->ops.submit (s->policy, t, s->now_ms) && task->measured)
    r->refused++;
}

static void
arrive (LoadState *s, uint32_t c)
{
  const LoadClass *class = &s->mix->class[c];
  uint32_t slow = s->run->slow_class == c ? 10 : 1;
  uint32_t group = class->gang ? ++s->groups : 0;

  for (uint32_t i = 0; i < class->batch; i++)
    {
      uint32_t t = new_task (s);
      double run = -log (draw_unit (s)) * class->run_ms * slow;
      LoadTask *task = &s->task[t];

      *task = (LoadTask){
        .class_id = c,
        .group = group,
        .group_count = class->batch,
        .worker = MUX_NO_WORKER,
        .avoid = MUX_NO_WORKER,
        .cpu_milli
        = (uint32_t) (class->cpu_milli * (0.6 + 0.4 * draw_unit (s))),
        .mem_mib = (uint32_t) (class->mem_mib * (0.6 + 0.4 * draw_unit (s))),
        .run_ms = 1 + (uint32_t) fmin (run, 6.0 * class->run_ms * slow),
        .asked_ms = s->now_ms,
        .start_by_ms = s->now_ms + class->spec.start_within_ms,
        .give_up_ms = s->now_ms + class->give_up_ms,
        .measured = s->now_ms >= s->run->ms / 5
                    && s->now_ms + class->spec.start_within_ms < s->run->ms,
      };
      s->result->class[c].asked += task->measured;
      s->window[c][load_window (task)][0]++;
      ask (s, t);
    }
  next_arrival (s, c);
}

static bool
broken (const LoadState *s, uint32_t w)
{
  return s->run->broken > 0 && w % (s->mix->workers / s->run->broken) == 0;
}

static void
decide (LoadState *s)
{
  uint32_t t, w;

  while (s->policy->ops.next (s->policy, s->now_ms, &t, &w))
    {
      LoadTask *task = &s->task[t];

      if (w == MUX_NO_WORKER)
        {
          s->result->class[task->class_id].dropped += task->measured;
          continue;
        }
      task->worker = w;
      task->placed_ms = s->now_ms;
      load_change_use (s, task, 1);
      if (!broken (s, w))
        load_note_wait (s, task);
      push (s, s->now_ms + (broken (s, w) ? FAIL_MS : task->run_ms), EVENT_END,
            t);
    }
}

static void
end_task (LoadState *s, uint32_t t)
{
  bool ok = !broken (s, s->task[t].worker);
  uint32_t again;

  load_change_use (s, &s->task[t], -1);
  s->policy->ops.ended (s->policy, t, ok, s->now_ms);
  if (ok)
    return;
  s->result->class[s->task[t].class_id].failed++;
  if (s->task[t].group > 0)
    return;
  again = new_task (s);
  s->task[again] = s->task[t];
  s->task[again].avoid = s->task[t].worker;
  ask (s, again);
}

/* Tasks that have run for a while are reported once. */
static void
report_usage (LoadState *s)
{
  if (s->policy->ops.used == NULL)
    return;
  for (uint32_t i = 0; i < s->events; i++)
    {
      LoadTask *task = &s->task[s->event[i].what];

      if (s->event[i].kind != EVENT_END || task->reported
          || s->now_ms - task->placed_ms < REPORT_LAG_MS)
        continue;
      task->reported = true;
      s->policy->ops.used (s->policy, s->event[i].what);
    }
}

static void
sample (LoadState *s)
{
  bool flags[LOAD_CLASSES] = { false };

  load_sample_racks (s);
  report_usage (s);
  if (s->policy->ops.at_risk (s->policy, s->now_ms, flags) == 0)
    return;
  for (uint32_t c = 0; c < s->mix->classes; c++)
    {
      LoadClassResult *r = &s->result->class[c];

      if (!flags[c] || s->now_ms < s->run->ms / 5)
        continue;
      s->window[c][s->now_ms / WINDOW_MS % WINDOWS_MAX][2]++;
      if (r->flagged_ms < 0)
        r->flagged_ms = s->now_ms;
    }
}

static void
handle (LoadState *s, const Event *e)
{
  switch (e->kind)
    {
    case EVENT_ARRIVAL:
      arrive (s, e->what);
      break;
    case EVENT_END:
      end_task (s, e->what);
      break;
    case EVENT_TICK:
      push (s, s->now_ms + TICK_MS, EVENT_TICK, 0);
      break;
    case EVENT_SAMPLE:
      sample (s);
      push (s, s->now_ms + SAMPLE_MS, EVENT_SAMPLE, 0);
      break;
    }
}

void
load_run (LoadPolicy *policy, const LoadRun *run, LoadResult *result)
{
  LoadState *s = calloc (1, sizeof *s);
  uint32_t workers = policy->mix->workers;

  *result = (LoadResult){ 0 };
  s->policy = policy;
  s->mix = policy->mix;
  s->run = run;
  s->result = result;
  s->random = run->seed * 0x9e3779b97f4a7c15u + 1;
  s->on_worker = calloc (workers, sizeof *s->on_worker);
  s->used_cpu = calloc (workers, sizeof *s->used_cpu);
  s->used_mem = calloc (workers, sizeof *s->used_mem);
  policy->tasks = &s->task;
  set_rates (s);
  for (uint32_t c = 0; c < s->mix->classes; c++)
    {
      result->class[c].flagged_ms = result->class[c].missed_ms = -1;
      next_arrival (s, c);
    }
  push (s, 0, EVENT_TICK, 0);
  push (s, SAMPLE_MS, EVENT_SAMPLE, 0);
  while (s->event[0].at_ms < run->ms)
    {
      Event e = pop (s);

      load_pass_time (s, e.at_ms);
      handle (s, &e);
      decide (s);
    }
  load_finish (s);
  free (s->on_worker);
  free (s->used_cpu);
  free (s->used_mem);
  free (s->event);
  free (s->task);
  free (s);
}
