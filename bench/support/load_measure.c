#include "bench/support/load_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RACKS_MAX 1024

uint32_t
load_window (const LoadTask *task)
{
  return (uint32_t) (task->asked_ms / WINDOW_MS) % WINDOWS_MAX;
}

void
load_change_use (LoadState *s, const LoadTask *task, int sign)
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

void
load_note_wait (LoadState *s, const LoadTask *task)
{
  uint32_t c = task->class_id;
  uint32_t wait = (uint32_t) (s->now_ms - task->asked_ms);
  bool inside = s->now_ms <= task->start_by_ms;
  LoadClassResult *r = &s->result->class[c];

  s->window[c][load_window (task)][1] += inside;
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

void
load_sample_racks (LoadState *s)
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

/* Workers that would do if tasks could be cut up at will. */
static double
least_workers (const LoadState *s)
{
  const MuxSize *cap = &s->mix->capacity;
  double cpu = ceil ((double) s->sum_cpu / cap->cpu_milli);
  double mem = ceil ((double) s->sum_mem / cap->mem_mib);

  return fmax (fmax (cpu, mem), ceil ((double) s->running / cap->slots));
}

void
load_pass_time (LoadState *s, int64_t to_ms)
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

static int
compare_waits (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *) a;
  uint32_t y = *(const uint32_t *) b;

  return x < y ? -1 : x > y;
}

static bool
window_missed (const LoadState *s, uint32_t c, uint32_t i)
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
judge_alarms (LoadState *s, uint32_t c)
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
finish_class (LoadState *s, uint32_t c)
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
count_waiting (LoadState *s)
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
load_finish (LoadState *s)
{
  LoadResult *result = s->result;

  count_waiting (s);
  for (uint32_t c = 0; c < s->mix->classes; c++)
    finish_class (s, c);
  result->packing = (s->area_cpu + s->area_mem) / 2 / s->area_use;
  result->packing_most = (s->area_cpu + s->area_mem) / 2 / s->area_least;
  result->idle_workers = s->mix->workers - s->area_use / s->area_ms;
  result->overrun = s->area_over / s->area_ms / s->mix->workers;
}
