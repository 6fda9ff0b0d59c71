#include "load.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 100
#define SAMPLE_MS 1000
#define WINDOW_MS 10000
#define WINDOWS_MAX 256
#define RACKS_MAX 1024
#define FAIL_MS 10
#define REPORT_LAG_MS 2000
#define ATTEMPTS 3

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_END,
  EVENT_TICK,
  EVENT_SAMPLE,
} EventKind;

typedef struct
{
  int64_t at_ms;
  uint64_t seq;
  EventKind kind;
  uint32_t what;
} Event;

typedef struct
{
  LoadPolicy *policy;
  const LoadMix *mix;
  const LoadRun *run;
  LoadResult *result;
  uint64_t random;
  uint64_t seq;
  int64_t now_ms;
  Event *event;
  uint32_t events, event_room;
  LoadTask *task;
  uint32_t tasks, task_room, groups;
  double rate[LOAD_CLASSES]; /* arrivals per ms */
  double next_ms[LOAD_CLASSES];
  uint32_t *waits[LOAD_CLASSES];
  uint32_t wait_count[LOAD_CLASSES], wait_room[LOAD_CLASSES];
  uint32_t *on_worker;
  uint64_t *used_cpu, *used_mem;
  uint32_t in_use, over, running;
  uint64_t sum_cpu, sum_mem;
  double area_use, area_over, area_cpu, area_mem, area_ms, area_least;
  uint32_t window[LOAD_CLASSES][WINDOWS_MAX][3]; /* asked, inside, flagged */
  double rack_sum[LOAD_CLASSES];
  uint32_t rack_samples[LOAD_CLASSES];
} State;

static double
draw_unit (State *s)
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
push (State *s, int64_t at_ms, EventKind kind, uint32_t what)
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
pop (State *s)
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
set_rates (State *s)
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
next_arrival (State *s, uint32_t c)
{
  bool surge = s->run->surge_ms > 0 && s->now_ms >= s->run->surge_ms;
  double rate = s->rate[c] * (surge ? 1.5 : 1);

  /* Kept exactly: gaps rounded one by one would raise the rate. */
  s->next_ms[c] += -log (draw_unit (s)) / rate;
  push (s, (int64_t) s->next_ms[c], EVENT_ARRIVAL, c);
}

static uint32_t
new_task (State *s)
{
  if (s->tasks == s->task_room)
    {
      s->task_room = s->task_room * 2 + 1024;
      s->task = realloc (s->task, s->task_room * sizeof *s->task);
    }
  return s->tasks++;
}

static uint32_t
window_of (const LoadTask *task)
{
  return (uint32_t) (task->asked_ms / WINDOW_MS) % WINDOWS_MAX;
}

static void
ask (State *s, uint32_t t)
{
  LoadTask *task = &s->task[t];
  LoadClassResult *r = &s->result->class[task->class_id];

  if (!s->policy->ops.submit (s->policy, t, s->now_ms) && task->measured)
    r->refused++;
}

static void
arrive (State *s, uint32_t c)
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
      s->window[c][window_of (task)][0]++;
      ask (s, t);
    }
  next_arrival (s, c);
}

static void
change_use (State *s, const LoadTask *task, int sign)
{
  uint32_t w = task->worker;
  const MuxSize *cap = &s->mix->capacity;
  bool over = s->used_cpu[w] > cap->cpu_milli || s->used_mem[w] > cap->mem_mib;

  s->over -= over;
  s->in_use -= s->on_worker[w] > 0;
  s->on_worker[w] += (uint32_t) sign;
  s->running += (uint32_t) sign;
  s->used_cpu[w] += (uint64_t) (int64_t) sign * task->cpu_milli;
  s->used_mem[w] += (uint64_t) (int64_t) sign * task->mem_mib;
  s->sum_cpu += (uint64_t) (int64_t) sign * task->cpu_milli;
  s->sum_mem += (uint64_t) (int64_t) sign * task->mem_mib;
  s->in_use += s->on_worker[w] > 0;
  s->over += s->used_cpu[w] > cap->cpu_milli || s->used_mem[w] > cap->mem_mib;
}

static void
note_wait (State *s, const LoadTask *task)
{
  uint32_t c = task->class_id;
  uint32_t wait = (uint32_t) (s->now_ms - task->asked_ms);
  bool inside = s->now_ms <= task->start_by_ms;
  LoadClassResult *r = &s->result->class[c];

  s->window[c][window_of (task)][1] += inside;
  if (!task->measured)
    return;
  r->inside += inside;
  r->max_ms = wait > r->max_ms ? wait : r->max_ms;
  if (s->wait_count[c] == s->wait_room[c])
    {
      s->wait_room[c] = s->wait_room[c] * 2 + 256;
      s->waits[c] = realloc (s->waits[c], s->wait_room[c] * sizeof **s->waits);
    }
  s->waits[c][s->wait_count[c]++] = wait;
}

static bool
broken (const State *s, uint32_t w)
{
  return s->run->broken > 0 && w % (s->mix->workers / s->run->broken) == 0;
}

static void
decide (State *s)
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
      change_use (s, task, 1);
      if (!broken (s, w))
        note_wait (s, task);
      push (s, s->now_ms + (broken (s, w) ? FAIL_MS : task->run_ms), EVENT_END,
            t);
    }
}

static void
end_task (State *s, uint32_t t)
{
  bool ok = !broken (s, s->task[t].worker);
  uint32_t again;

  change_use (s, &s->task[t], -1);
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

static void
sample_racks (State *s)
{
  static uint32_t count[LOAD_CLASSES][RACKS_MAX];
  uint32_t sum[LOAD_CLASSES] = { 0 };

  memset (count, 0, sizeof count);
  for (uint32_t i = 0; i < s->events; i++)
    if (s->event[i].kind == EVENT_END)
      {
        const LoadTask *task = &s->task[s->event[i].what];

        count[task->class_id][task->worker / s->mix->rack_size]++;
        sum[task->class_id]++;
      }
  for (uint32_t c = 0; c < s->mix->classes; c++)
    {
      uint32_t most = 0;

      for (uint32_t r = 0; r < RACKS_MAX; r++)
        most = count[c][r] > most ? count[c][r] : most;
      if (sum[c] < 8)
        continue;
      s->rack_sum[c] += (double) most / sum[c];
      s->rack_samples[c]++;
    }
}

/* Tasks that have run for a while are reported once. */
static void
report_usage (State *s)
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
sample (State *s)
{
  bool flags[LOAD_CLASSES] = { false };

  sample_racks (s);
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

/* Workers that would do if tasks could be cut up at will. */
static double
least_workers (const State *s)
{
  const MuxSize *cap = &s->mix->capacity;
  double cpu = ceil ((double) s->sum_cpu / cap->cpu_milli);
  double mem = ceil ((double) s->sum_mem / cap->mem_mib);

  return fmax (fmax (cpu, mem), ceil ((double) s->running / cap->slots));
}

static void
pass_time (State *s, int64_t to_ms)
{
  double dt = (double) (to_ms - s->now_ms);

  if (s->now_ms >= s->run->ms / 5)
    {
      s->area_ms += dt;
      s->area_use += dt * s->in_use;
      s->area_over += dt * s->over;
      s->area_least += dt * least_workers (s);
      s->area_cpu += dt * (double) s->sum_cpu / s->mix->capacity.cpu_milli;
      s->area_mem += dt * (double) s->sum_mem / s->mix->capacity.mem_mib;
    }
  s->now_ms = to_ms;
}

static void
handle (State *s, const Event *e)
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

static int
compare_waits (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *) a;
  uint32_t y = *(const uint32_t *) b;

  return x < y ? -1 : x > y;
}

static bool
window_missed (const State *s, uint32_t c, uint32_t i)
{
  const uint32_t *w = s->window[c][i];

  return w[0] >= 20
         && (uint64_t) w[1] * 1000000
                < (uint64_t) w[0] * s->mix->class[c].spec.start_share_ppm;
}

/* Tasks that ask in window k miss in the window @late after it.  An alarm is
 * false when none of those misses between it and three windows on; a miss is
 * unannounced when there was no alarm from the window before they asked to
 * the one in which they missed. */
static void
judge_alarms (State *s, uint32_t c)
{
  LoadClassResult *r = &s->result->class[c];
  uint32_t within = s->mix->class[c].spec.start_within_ms;
  uint32_t late = within / WINDOW_MS;
  uint32_t first = (uint32_t) (s->run->ms / 5 / WINDOW_MS) + 1;
  uint32_t end = (uint32_t) ((s->run->ms - within) / WINDOW_MS);

  for (uint32_t i = first; i < end && i < WINDOWS_MAX; i++)
    {
      bool soon = false;
      bool told = false;

      r->windows++;
      for (uint32_t k = i > late ? i - late : 0; k < i + 4 && k < end; k++)
        soon = soon || window_missed (s, c, k);
      for (uint32_t k = i - 1; k <= i + late; k++)
        told = told || s->window[c][k][2] > 0;
      r->flags_false += s->window[c][i][2] > 0 && !soon;
      if (!window_missed (s, c, i))
        continue;
      r->missed++;
      r->flags_missed += !told;
      if (r->missed_ms < 0)
        r->missed_ms = (int64_t) i * WINDOW_MS + within;
    }
}

static void
finish_class (State *s, uint32_t c)
{
  LoadClassResult *r = &s->result->class[c];
  uint32_t n = s->wait_count[c];

  qsort (s->waits[c], n, sizeof **s->waits, compare_waits);
  if (n > 0)
    {
      r->p50_ms = s->waits[c][n / 2];
      r->p99_ms = s->waits[c][n - 1 - n / 100];
    }
  if (s->rack_samples[c] > 0)
    r->rack_most_ppm = (uint32_t) (1e6 * s->rack_sum[c] / s->rack_samples[c]);
  judge_alarms (s, c);
  free (s->waits[c]);
  if (s->mix->class[c].spec.kind == MUX_KIND_SERVICE)
    {
      s->result->urgent_asked += r->asked;
      s->result->urgent_inside += r->inside;
    }
  else if (r->max_ms > s->result->batch_max_ms)
    s->result->batch_max_ms = r->max_ms;
}

/* Who still waits at the end has waited that long at least. */
static void
count_waiting (State *s)
{
  for (uint32_t t = 0; t < s->tasks; t++)
    {
      const LoadTask *task = &s->task[t];
      LoadClassResult *r = &s->result->class[task->class_id];
      uint32_t wait = (uint32_t) (s->now_ms - task->asked_ms);

      if (task->measured && task->worker == MUX_NO_WORKER
          && task->give_up_ms > s->now_ms && wait > r->max_ms)
        r->max_ms = wait;
    }
}

void
load_run (LoadPolicy *policy, const LoadRun *run, LoadResult *result)
{
  State *s = calloc (1, sizeof *s);
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

      pass_time (s, e.at_ms);
      handle (s, &e);
      decide (s);
    }
  count_waiting (s);
  for (uint32_t c = 0; c < s->mix->classes; c++)
    finish_class (s, c);
  result->packing = (s->area_cpu + s->area_mem) / 2 / s->area_use;
  result->packing_most = (s->area_cpu + s->area_mem) / 2 / s->area_least;
  result->idle_workers = workers - s->area_use / s->area_ms;
  result->overrun = s->area_over / s->area_ms / workers;
  free (s->on_worker);
  free (s->used_cpu);
  free (s->used_mem);
  free (s->event);
  free (s->task);
  free (s);
}
