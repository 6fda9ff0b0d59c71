#ifndef SUPPORT_LOAD_PRIVATE_H
#define SUPPORT_LOAD_PRIVATE_H

#include "bench/support/load.h"

#define WINDOW_MS 10000
#define WINDOWS_MAX 256

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
} LoadState;

/* load_measure.c: what a run shows */
uint32_t load_window (const LoadTask *task);
/** load_change_use() - a task came to its worker (1) or left it (-1) */
void load_change_use (LoadState *s, const LoadTask *task, int sign);
void load_note_wait (LoadState *s, const LoadTask *task);
void load_sample_racks (LoadState *s);
/** load_pass_time() - add up what stands from now until @to_ms */
void load_pass_time (LoadState *s, int64_t to_ms);
/** load_finish() - fill in the result */
void load_finish (LoadState *s);

#endif
