#include "policy/tuning.h"
#include "bench/support/load.h"

#include <stdio.h>
#include <string.h>

/* What the policy decides, against the baselines, on both users' mixes.
 * Prints "name value unit" lines; the same on every machine. */

#define RUN_MS 600000

typedef struct
{
  const char *name;
  bool naive;
  MuxTuning tuning;
  LoadOrder order;
  LoadPick pick;
} Candidate;

static const Candidate candidates[] = {
  { .name = "cuminmux" },
  { .name = "no_reservation", .tuning.no_reservation = true },
  { .name = "no_spread", .tuning.no_rack_spread = true },
  { .name = "no_reserve", .tuning.no_reserve = true },
  { .name = "no_learning", .tuning.no_learning = true },
  { .name = "no_tiers", .tuning.no_tiers = true },
  { .name = "no_late", .tuning.no_late_queue = true },
  { .name = "no_forecast", .tuning.no_forecast = true },
  { .name = "pick_first", .tuning.first_fit = true },
  { .name = "below", .tuning.below_declared = true },
  { .name = "first_fit",
    .naive = true,
    .order = LOAD_ORDER_ARRIVAL,
    .pick = LOAD_PICK_FIRST },
  { .name = "random_two",
    .naive = true,
    .order = LOAD_ORDER_ARRIVAL,
    .pick = LOAD_PICK_TWO },
  { .name = "strict",
    .naive = true,
    .order = LOAD_ORDER_STRICT,
    .pick = LOAD_PICK_FIRST },
  { .name = "edf",
    .naive = true,
    .order = LOAD_ORDER_EDF,
    .pick = LOAD_PICK_BEST },
  { .name = "slack",
    .naive = true,
    .order = LOAD_ORDER_SLACK,
    .pick = LOAD_PICK_BEST },
  { .name = "fair",
    .naive = true,
    .order = LOAD_ORDER_FAIR,
    .pick = LOAD_PICK_BEST },
  { .name = "drf",
    .naive = true,
    .order = LOAD_ORDER_DRF,
    .pick = LOAD_PICK_BEST },
};

static const char *only;
static const char *only_mix;

static LoadPolicy *
make (const Candidate *c, const LoadMix *mix)
{
  LoadPolicy *policy;

  if (c->naive)
    return load_policy_naive (mix, c->order, c->pick);
  policy = load_policy_sched (mix);
  mux_sched_tune (load_policy_sched_of (policy), &c->tuning);
  return policy;
}

static void
line (const char *head, const char *what, double value, const char *unit)
{
  printf ("%s.%s %.6g %s\n", head, what, value, unit);
}

static void
print_class (const char *head, const char *name, const LoadClassResult *r)
{
  char at[128];
  double n = r->asked > 0 ? r->asked : 1;

  snprintf (at, sizeof at, "%s.%s", head, name);
  line (at, "inside", 100.0 * r->inside / n, "%");
  line (at, "p50_wait", r->p50_ms, "ms");
  line (at, "p99_wait", r->p99_ms, "ms");
  line (at, "max_wait", r->max_ms, "ms");
  line (at, "refused", 100.0 * r->refused / n, "%");
  line (at, "dropped", 100.0 * r->dropped / n, "%");
  line (at, "rack_most", r->rack_most_ppm / 1e4, "%");
  line (at, "windows", r->windows, "windows");
  line (at, "windows_missed", r->missed, "windows");
  line (at, "false_alarms", r->flags_false, "windows");
  line (at, "missed_alarms", r->flags_missed, "windows");
  if (r->missed_ms >= 0 && r->flagged_ms >= 0)
    line (at, "lead", (double) (r->missed_ms - r->flagged_ms), "ms");
}

static void
print_result (const char *head, const LoadMix *mix, const LoadResult *r)
{
  double failed = 0;

  line (head, "urgent_inside",
        100.0 * r->urgent_inside / (r->urgent_asked > 0 ? r->urgent_asked : 1),
        "%");
  line (head, "packing", 100 * r->packing, "%");
  line (head, "packing_most", 100 * r->packing_most, "%");
  line (head, "idle_workers", r->idle_workers, "workers");
  line (head, "overrun", 100 * r->overrun, "%");
  for (uint32_t c = 0; c < mix->classes; c++)
    failed += r->class[c].failed;
  line (head, "tasks_failed", failed, "tasks");
  line (head, "batch_longest", r->batch_max_ms, "ms");
  for (uint32_t c = 0; c < mix->classes; c++)
    print_class (head, mix->class[c].spec.name, &r->class[c]);
}

static void
run_one (const char *what,
         const LoadMix *mix,
         const Candidate *candidate,
         const LoadRun *run)
{
  LoadPolicy *policy;
  LoadResult result;
  char head[96];

  if (only != NULL && strstr (only, candidate->name) == NULL)
    return;
  policy = make (candidate, mix);
  load_run (policy, run, &result);
  policy->ops.free (policy);
  snprintf (head, sizeof head, "%s.%s.%s", mix->name, what, candidate->name);
  print_result (head, mix, &result);
}

static void
bench_loads (const LoadMix *mix)
{
  static const char *const names[] = { "70", "90", "110" };
  static const double loads[] = { 0.7, 0.9, 1.1 };

  for (size_t l = 0; l < sizeof loads / sizeof *loads; l++)
    for (size_t i = 0; i < sizeof candidates / sizeof *candidates; i++)
      {
        LoadRun run = {
          .load = loads[l], .ms = RUN_MS, .seed = 7, .slow_class = MUX_NO_WORKER
        };

        run_one (names[l], mix, &candidates[i], &run);
      }
}

/* One worker in ten fails all; the batch class runs ten times as long as it
 * declared; the load rises by half in the middle; twice the load throughout,
 * so that urgent work alone is too much. */
static void
bench_faults (const LoadMix *mix)
{
  static const Candidate kept[]
      = { { .name = "cuminmux" },
          { .name = "no_forecast", .tuning.no_forecast = true },
          { .name = "no_breaker", .tuning.no_breaker = true },
          { .name = "first_fit",
            .naive = true,
            .order = LOAD_ORDER_ARRIVAL,
            .pick = LOAD_PICK_FIRST } };
  LoadRun run
      = { .load = 0.7, .ms = RUN_MS, .seed = 7, .slow_class = MUX_NO_WORKER };

  for (size_t i = 0; i < sizeof kept / sizeof *kept; i++)
    {
      LoadRun broken = run;
      LoadRun slow = run;
      LoadRun surge = run;
      LoadRun flood = run;

      broken.broken = mix->workers / 10;
      slow.slow_class = 2;
      surge.surge_ms = RUN_MS / 2;
      flood.load = 2.0;
      run_one ("flood", mix, &kept[i], &flood);
      run_one ("broken", mix, &kept[i], &broken);
      run_one ("slow", mix, &kept[i], &slow);
      run_one ("surge", mix, &kept[i], &surge);
    }
}

static void
bench_mix (const LoadMix *mix)
{
  if (only_mix != NULL && strcmp (only_mix, mix->name) != 0)
    return;
  bench_loads (mix);
  bench_faults (mix);
}

/* Arguments to look at a part: names of candidates, "" for all, and a mix. */
int
main (int argc, char **argv)
{
  if (argc > 1 && argv[1][0] != 0)
    only = argv[1];
  if (argc > 2)
    only_mix = argv[2];
  bench_mix (load_mix_hajar ());
  bench_mix (load_mix_gridwatch ());
  return 0;
}
