#include "demo/support/fault_plan.h"

#include "support/random.h"

#include <stdbool.h>
#include <string.h>

#define FIRST_MS 1000
/* Between two draws; each third draw brings two faults at once. */
#define GAP_MIN_MS 250
#define GAP_SPREAD_MS 700
#define TWO_AT_ONCE 3
/* More leaving workers would leave too little room for the load. */
#define LEAVING_MAX 2

typedef enum
{
  AT_DAEMON,
  AT_WORKER,
  AT_DATA_CENTRE,
  AT_STORE,
  AT_LIST
} Target;

typedef struct
{
  const char *name;
  Target target;
  uint32_t min_ms;
  uint32_t spread_ms;
  uint32_t weight;
} Kind;

static const Kind kinds[MUX_FAULT_KIND_COUNT] = {
  { "daemon_kill", AT_DAEMON, 200, 2500, 4 },
  { "daemon_freeze", AT_DAEMON, 500, 2500, 3 }, /* and the lease */
  { "worker_kill", AT_WORKER, 100, 2500, 4 },
  { "worker_hang", AT_WORKER, 500, 4000, 2 },
  { "worker_deaf", AT_WORKER, 300, 3000, 2 },
  { "worker_fail", AT_WORKER, 500, 2500, 2 },
  { "worker_mute", AT_WORKER, 500, 1000, 3 },
  { "worker_slow", AT_WORKER, 500, 3000, 1 },
  { "worker_leave", AT_WORKER, 0, 0, 1 },
  { "worker_link_silent", AT_WORKER, 500, 4000, 3 },
  { "worker_link_refuse", AT_WORKER, 300, 3000, 2 },
  { "worker_link_forget", AT_WORKER, 100, 0, 2 },
  { "peer_link_silent", AT_DAEMON, 500, 4000, 3 },
  { "peer_link_refuse", AT_DAEMON, 300, 3000, 2 },
  { "peer_link_forget", AT_DAEMON, 100, 0, 2 },
  { "caller_link_refuse", AT_DAEMON, 100, 1500, 2 },
  { "platform_cut", AT_DATA_CENTRE, 500, 4000, 2 },
  { "platform_forget", AT_STORE, 100, 0, 2 },
  { "store_down", AT_STORE, 300, 3000, 2 },
  { "store_slow", AT_STORE, 500, 4000, 2 },
  { "store_hang", AT_STORE, 300, 4000, 2 },
  { "store_lose", AT_STORE, 300, 1500, 3 },
  { "list_down", AT_LIST, 500, 4000, 1 },
};

const char *
mux_fault_name (MuxFaultKind kind)
{
  return kinds[kind].name;
}

static uint32_t
target_count (const MuxFaultPlanOptions *options, Target target)
{
  switch (target)
    {
    case AT_DAEMON:
      return options->daemons;
    case AT_WORKER:
      return options->workers;
    case AT_DATA_CENTRE:
      return options->data_centres;
    case AT_STORE:
    case AT_LIST:
      break;
    }
  return 1;
}

static MuxFaultKind
draw_kind (MuxRandom *random)
{
  uint32_t total = 0;
  uint32_t drawn;
  uint32_t kind = 0;

  for (uint32_t i = 0; i < MUX_FAULT_KIND_COUNT; i++)
    total += kinds[i].weight;
  drawn = mux_random_below (random, total);
  while (drawn >= kinds[kind].weight)
    drawn -= kinds[kind++].weight;
  return kind;
}

/* One fault at a time for each target: lifting one would lift the other. */
static bool
fits (const MuxFaultPlan *plan, const MuxFault *fault)
{
  uint32_t leaving = 0;

  for (uint32_t i = 0; i < plan->count; i++)
    {
      const MuxFault *other = &plan->fault[i];

      leaving += other->kind == MUX_FAULT_WORKER_LEAVE;
      if (kinds[other->kind].target == kinds[fault->kind].target
          && other->target == fault->target && other->end_ms > fault->begin_ms)
        return false;
    }
  return fault->kind != MUX_FAULT_WORKER_LEAVE || leaving < LEAVING_MAX;
}

static void
draw_fault (const MuxFaultPlanOptions *options,
            MuxRandom *random,
            uint32_t now_ms,
            MuxFaultPlan *plan)
{
  MuxFault fault = { .kind = draw_kind (random), .begin_ms = now_ms };
  const Kind *kind = &kinds[fault.kind];
  uint32_t length_ms
      = kind->min_ms + mux_random_below (random, kind->spread_ms + 1);

  fault.target
      = mux_random_below (random, target_count (options, kind->target));
  if (fault.kind == MUX_FAULT_DAEMON_FREEZE)
    length_ms += options->lease_ms;
  fault.end_ms = now_ms + length_ms;
  if (fault.end_ms > options->run_ms || fault.kind == MUX_FAULT_WORKER_LEAVE)
    fault.end_ms = options->run_ms;
  if (plan->count < MUX_FAULTS_MAX && fits (plan, &fault))
    plan->fault[plan->count++] = fault;
}

void
mux_fault_plan (const MuxFaultPlanOptions *options, MuxFaultPlan *plan)
{
  MuxRandom random = { options->seed };
  uint32_t now_ms = FIRST_MS;

  memset (plan, 0, sizeof *plan);
  while (now_ms + GAP_MIN_MS < options->run_ms)
    {
      draw_fault (options, &random, now_ms, plan);
      if (mux_random_below (&random, TWO_AT_ONCE) == 0)
        draw_fault (options, &random, now_ms, plan);
      now_ms += GAP_MIN_MS + mux_random_below (&random, GAP_SPREAD_MS);
    }
}

void
mux_fault_plan_print (const MuxFaultPlan *plan, FILE *out)
{
  for (uint32_t i = 0; i < plan->count; i++)
    fprintf (out, "plan: %6u ms to %6u ms %s %u\n", plan->fault[i].begin_ms,
             plan->fault[i].end_ms, mux_fault_name (plan->fault[i].kind),
             plan->fault[i].target);
}
