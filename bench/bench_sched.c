#include "policy/sched.h"
#include "policy/tuning.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Speed and memory of the scheduler on one core.  Compare the ratios; the
 * figures themselves belong to the machine. */

#define RUNNING_EACH 15
#define CLASSES 8
#define ROUNDS 200000
#define RUN_MS 1000

typedef struct
{
  MuxSched *sched;
  uint32_t workers;
  uint32_t *running;
  uint32_t count;
  uint64_t random;
  uint64_t next_id;
  int64_t now_ms;
  uint32_t *took_ns;
  uint32_t decisions;
} Bench;

/* Processor time for sums, so that a busy machine does not show in them. */
static uint64_t
cpu_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (uint64_t) t.tv_sec * 1000000000u + (uint64_t) t.tv_nsec;
}

static uint64_t
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (uint64_t) t.tv_sec * 1000000000u + (uint64_t) t.tv_nsec;
}

static uint32_t
draw (Bench *b, uint32_t below)
{
  b->random ^= b->random << 13;
  b->random ^= b->random >> 7;
  b->random ^= b->random << 17;
  return (uint32_t) ((b->random >> 11) % below);
}

static void
class_name (char out[MUX_NAME_LEN], uint32_t c)
{
  snprintf (out, MUX_NAME_LEN, "class-%u", c);
}

static void
set_class (MuxSched *sched, uint32_t c)
{
  MuxClassSpec spec = { .product = "product",
                        .kind = c % 2 == 0 ? MUX_KIND_SERVICE : MUX_KIND_BATCH,
                        .idempotent = true,
                        .start_within_ms = c % 2 == 0 ? 100 : 60000,
                        .start_share_ppm = 990000,
                        .size = { 500 + 250 * c, 1024 + 512 * c, 0, 1 },
                        .run_ms = RUN_MS };

  class_name (spec.name, c);
  mux_sched_class_set (sched, &spec);
}

static void
open_bench (Bench *b, uint32_t workers, uint32_t queue_max)
{
  MuxSchedOptions options = { .seed = 1,
                              .queue_max = queue_max,
                              .tasks_hint = workers * 16 + queue_max };

  *b = (Bench){ .workers = workers, .random = 42, .now_ms = 1000 };
  b->sched = mux_sched_new (&options);
  b->running = calloc (workers * 16 + 16, sizeof *b->running);
  b->took_ns = calloc (ROUNDS * 4, sizeof *b->took_ns);
  mux_sched_cell_set (b->sched, &(MuxCellSpec){ .idle_ppm = 50000 });
  for (uint32_t c = 0; c < CLASSES; c++)
    set_class (b->sched, c);
  for (uint32_t w = 0; w < workers; w++)
    {
      char rack[MUX_NAME_LEN];

      snprintf (rack, sizeof rack, "rack-%u", w / 8);
      mux_sched_worker_add (b->sched, "worker", rack,
                            (MuxSize){ 64000, 131072, 0, 16 });
    }
}

static void
close_bench (Bench *b)
{
  mux_sched_free (b->sched);
  free (b->running);
  free (b->took_ns);
}

static MuxReason
submit (Bench *b)
{
  char name[MUX_NAME_LEN];
  MuxTaskRequest ask = { .task = { 1, ++b->next_id },
                         .class_name = name,
                         .start_by_ms = b->now_ms + 100,
                         .expires_ms = b->now_ms + 600000,
                         .avoid = MUX_NO_WORKER };

  class_name (name, draw (b, CLASSES));
  return mux_sched_submit (b->sched, &ask, b->now_ms).reason;
}

static void
decide (Bench *b)
{
  MuxPlacement p;

  for (;;)
    {
      uint64_t t = now_ns ();
      bool more = mux_sched_next (b->sched, b->now_ms, &p);

      if (b->decisions < ROUNDS * 4)
        b->took_ns[b->decisions++] = (uint32_t) (now_ns () - t);
      if (!more)
        return;
      if (p.worker != MUX_NO_WORKER)
        b->running[b->count++] = (uint32_t) p.task.lo;
    }
}

static void
end_one (Bench *b)
{
  uint32_t i = draw (b, b->count);
  MuxSize used = { 600, 1100, 0, 1 };

  mux_sched_ended (b->sched, (MuxId){ 1, b->running[i] }, MUX_END_OK,
                   500 + draw (b, 1000), used, b->now_ms);
  b->running[i] = b->running[--b->count];
}

static void
fill (Bench *b)
{
  uint32_t want = b->workers * RUNNING_EACH;

  for (uint32_t i = 0; i < want * 4 && b->count < want; i++)
    {
      b->now_ms += i % 64 == 0;
      submit (b);
      decide (b);
    }
}

static int
compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *) a;
  uint32_t y = *(const uint32_t *) b;

  return x < y ? -1 : x > y;
}

static double
bench_speed (uint32_t workers)
{
  Bench b;
  uint64_t start;
  int64_t base;
  double each;

  open_bench (&b, workers, 1000);
  fill (&b);
  printf ("speed.%u.running_each %.2f tasks\n", workers,
          (double) b.count / workers);
  b.decisions = 0;
  base = b.now_ms;
  start = cpu_ns ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      b.now_ms = base + (int64_t) i * RUN_MS / (RUNNING_EACH * workers);
      end_one (&b);
      submit (&b);
      decide (&b);
    }
  each = (double) (cpu_ns () - start) / ROUNDS;
  qsort (b.took_ns, b.decisions, sizeof *b.took_ns, compare);
  printf ("speed.%u.running_each_after %.2f tasks\n", workers,
          (double) b.count / workers);
  printf ("speed.%u.placements %.0f 1/s\n", workers, 1e9 / each);
  printf ("speed.%u.decision_p50 %.2f us\n", workers,
          b.took_ns[b.decisions / 2] / 1e3);
  printf ("speed.%u.decision_p99 %.2f us\n", workers,
          b.took_ns[b.decisions - b.decisions / 100] / 1e3);
  printf ("speed.%u.decision_max %.2f us\n", workers,
          b.took_ns[b.decisions - 1] / 1e3);
  close_bench (&b);
  return each;
}

/* All waiting tasks are cancelled at once while the cell is full. */
static double
bench_cancel (uint32_t waiting)
{
  Bench b;
  uint64_t first, start;
  uint32_t cancelled = 0;
  uint64_t longest = 0;

  open_bench (&b, 50, waiting * 2);
  fill (&b);
  for (uint32_t i = 0; i < 2000; i++)
    {
      submit (&b);
      decide (&b);
    }
  first = b.next_id + 1;
  mux_sched_tune (b.sched, &(MuxTuning){ .no_forecast = true });
  for (uint32_t i = 0; i < waiting; i++)
    submit (&b);
  start = cpu_ns ();
  for (uint64_t id = first; id <= b.next_id; id++)
    {
      uint64_t t = now_ns ();

      cancelled += mux_sched_cancel (b.sched, (MuxId){ 1, id });
      t = now_ns () - t;
      longest = t > longest ? t : longest;
    }
  start = cpu_ns () - start;
  printf ("cancel.%u.cancelled %u tasks\n", waiting, cancelled);
  printf ("cancel.%u.each %.1f ns\n", waiting, (double) start / cancelled);
  printf ("cancel.%u.longest %.1f us\n", waiting, longest / 1e3);
  close_bench (&b);
  return (double) start / cancelled;
}

static uint64_t
held_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static MuxSched *
new_sched (uint32_t tasks, uint32_t workers, uint32_t classes)
{
  MuxSchedOptions options = { .queue_max = 1000, .tasks_hint = tasks };
  MuxSched *sched = mux_sched_new (&options);

  for (uint32_t c = 0; c < classes; c++)
    set_class (sched, c);
  for (uint32_t w = 0; w < workers; w++)
    {
      char rack[MUX_NAME_LEN];

      snprintf (rack, sizeof rack, "rack-%u", w / 8);
      mux_sched_worker_add (sched, "worker", rack,
                            (MuxSize){ 64000, 131072, 0, 16 });
    }
  return sched;
}

static double
bytes_of (uint32_t tasks, uint32_t workers, uint32_t classes)
{
  uint64_t before = held_bytes ();
  MuxSched *sched = new_sched (tasks, workers, classes);
  uint64_t bytes = held_bytes () - before;

  mux_sched_free (sched);
  return (double) bytes;
}

static void
bench_memory (void)
{
  double bare = bytes_of (64, 0, 0);

  printf ("memory.task %.0f bytes\n", (bytes_of (65536, 0, 0) - bare) / 65536);
  printf ("memory.worker %.0f bytes\n", (bytes_of (64, 4096, 0) - bare) / 4096);
  printf ("memory.class %.0f bytes\n", (bytes_of (64, 0, 100) - bare) / 100);
}

int
main (void)
{
  static const uint32_t workers[] = { 50, 415, 5400 };
  double each[3];
  double few, many;

  for (size_t i = 0; i < 3; i++)
    each[i] = bench_speed (workers[i]);
  printf ("speed.ratio_5400_to_50 %.2f times\n", each[2] / each[0]);
  few = bench_cancel (10000);
  many = bench_cancel (40000);
  printf ("cancel.ratio_40000_to_10000 %.2f times\n", many / few);
  bench_memory ();
  return 0;
}
