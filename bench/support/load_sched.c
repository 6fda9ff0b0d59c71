#include "bench/support/load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  LoadPolicy base;
  MuxSched *sched;
} SchedPolicy;

static bool
submit (LoadPolicy *policy, uint32_t t, int64_t now_ms)
{
  SchedPolicy *p = (SchedPolicy *) policy;
  const LoadTask *task = &(*policy->tasks)[t];
  MuxTaskRequest ask
      = { .task = { 1, t + 1 },
          .group = { task->group > 0 ? 2 : 0, task->group },
          .group_count = task->group_count,
          .class_name = policy->mix->class[task->class_id].spec.name,
          .start_by_ms = task->start_by_ms,
          .expires_ms = task->give_up_ms,
          .avoid = task->avoid };

  return mux_sched_submit (p->sched, &ask, now_ms).reason == MUX_REASON_NONE;
}

static bool
next (LoadPolicy *policy, int64_t now_ms, uint32_t *task, uint32_t *worker)
{
  SchedPolicy *p = (SchedPolicy *) policy;
  MuxPlacement placed;

  if (!mux_sched_next (p->sched, now_ms, &placed))
    return false;
  *task = (uint32_t) placed.task.lo - 1;
  *worker = placed.worker;
  return true;
}

static void
ended (LoadPolicy *policy, uint32_t t, bool ok, int64_t now_ms)
{
  SchedPolicy *p = (SchedPolicy *) policy;
  const LoadTask *task = &(*policy->tasks)[t];
  MuxSize used = { 0 };

  if (ok)
    used = (MuxSize){ task->cpu_milli, task->mem_mib, 0, 1 };
  mux_sched_ended (p->sched, (MuxId){ 1, t + 1 },
                   ok ? MUX_END_OK : MUX_END_FAILED,
                   (uint32_t) (now_ms - task->placed_ms), used, now_ms);
}

static void
used (LoadPolicy *policy, uint32_t t)
{
  SchedPolicy *p = (SchedPolicy *) policy;
  const LoadTask *task = &(*policy->tasks)[t];

  mux_sched_report_usage (p->sched, (MuxId){ 1, t + 1 },
                          (MuxSize){ task->cpu_milli, task->mem_mib, 0, 1 });
}

static uint32_t
at_risk (LoadPolicy *policy, int64_t now_ms, bool *flags)
{
  SchedPolicy *p = (SchedPolicy *) policy;
  MuxRisk risk[LOAD_CLASSES];
  uint32_t n = mux_sched_risk (p->sched, now_ms, risk, LOAD_CLASSES);

  for (uint32_t c = 0; c < policy->mix->classes; c++)
    for (uint32_t i = 0; i < n; i++)
      if (strcmp (risk[i].class_name, policy->mix->class[c].spec.name) == 0)
        flags[c] = risk[i].at_risk;
  return n;
}

static void
free_policy (LoadPolicy *policy)
{
  mux_sched_free (((SchedPolicy *) policy)->sched);
  free (policy);
}

LoadPolicy *
load_policy_sched (const LoadMix *mix)
{
  SchedPolicy *p = calloc (1, sizeof *p);
  MuxSchedOptions options
      = { .seed = 1, .queue_max = 8000, .tasks_hint = 20000 };
  MuxCellSpec cell = { .idle_ppm = mix->idle_ppm };

  p->base.ops
      = (LoadPolicyOps){ submit, next, ended, used, at_risk, free_policy };
  p->base.mix = mix;
  p->sched = mux_sched_new (&options);
  mux_sched_cell_set (p->sched, &cell);
  for (uint32_t c = 0; c < mix->classes; c++)
    mux_sched_class_set (p->sched, &mix->class[c].spec);
  for (uint32_t w = 0; w < mix->workers; w++)
    {
      char rack[MUX_NAME_LEN];

      snprintf (rack, sizeof rack, "rack-%u", w / mix->rack_size);
      mux_sched_worker_add (p->sched, "worker", rack, mix->capacity);
    }
  return &p->base;
}

MuxSched *
load_policy_sched_of (LoadPolicy *policy)
{
  return ((SchedPolicy *) policy)->sched;
}
