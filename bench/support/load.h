#ifndef SUPPORT_LOAD_H
#define SUPPORT_LOAD_H

#include "policy/sched.h"

/* A seeded load on a plain table of workers, run on a fake clock against a
 * scheduling policy, to measure what the policy decides. */

#define LOAD_CLASSES 8

/**
 * struct LoadClass - a class as it really is
 * @spec: as declared
 * @cpu_milli: processors that a task really uses at most
 * @mem_mib: memory that a task really uses at most
 * @run_ms: mean run time in truth
 * @weight: its part of the load
 * @batch: tasks that ask at once
 * @gang: these start together
 * @give_up_ms: after asking
 */
typedef struct
{
  MuxClassSpec spec;
  uint32_t cpu_milli;
  uint32_t mem_mib;
  uint32_t run_ms;
  double weight;
  uint32_t batch;
  bool gang;
  uint32_t give_up_ms;
} LoadClass;

/**
 * struct LoadMix - a user's cell
 */
typedef struct
{
  const char *name;
  uint32_t workers;
  uint32_t rack_size;
  MuxSize capacity;
  uint32_t idle_ppm;
  uint32_t classes;
  LoadClass class[LOAD_CLASSES];
} LoadMix;

const LoadMix *load_mix_hajar (void);
const LoadMix *load_mix_gridwatch (void);

typedef struct
{
  uint32_t class_id;
  uint32_t group; /* 0: alone */
  uint32_t group_count;
  uint32_t worker;
  uint32_t cpu_milli;
  uint32_t mem_mib;
  uint32_t run_ms;
  uint32_t avoid;
  int64_t asked_ms;
  int64_t start_by_ms;
  int64_t give_up_ms;
  int64_t placed_ms;
  bool measured;
  bool reported;
} LoadTask;

typedef struct LoadPolicy LoadPolicy;

/**
 * struct LoadPolicyOps - what a policy under test does
 * @submit: false: refused
 * @next: next decision; @worker MUX_NO_WORKER: dropped
 * @ended: a placed task ended
 * @used: usage report of a task that runs on; may be NULL
 */
typedef struct
{
  bool (*submit) (LoadPolicy *policy, uint32_t task, int64_t now_ms);
  bool (*next) (LoadPolicy *policy,
                int64_t now_ms,
                uint32_t *task,
                uint32_t *worker);
  void (*ended) (LoadPolicy *policy, uint32_t task, bool ok, int64_t now_ms);
  void (*used) (LoadPolicy *policy, uint32_t task);
  uint32_t (*at_risk) (LoadPolicy *policy, int64_t now_ms, bool *flags);
  void (*free) (LoadPolicy *policy);
} LoadPolicyOps;

struct LoadPolicy
{
  LoadPolicyOps ops;
  const LoadMix *mix;
  LoadTask **tasks;
};

LoadPolicy *load_policy_sched (const LoadMix *mix);
MuxSched *load_policy_sched_of (LoadPolicy *policy);

typedef enum
{
  LOAD_ORDER_ARRIVAL,
  LOAD_ORDER_STRICT, /* shortest promised wait first, always */
  LOAD_ORDER_EDF,    /* earliest start deadline */
  LOAD_ORDER_SLACK,  /* least part of the promised wait left */
  LOAD_ORDER_FAIR,   /* least work served, equal weights */
  LOAD_ORDER_DRF,    /* least dominant share */
} LoadOrder;

typedef enum
{
  LOAD_PICK_FIRST,
  LOAD_PICK_TWO, /* the emptier of two drawn at random */
  LOAD_PICK_BEST,
} LoadPick;

LoadPolicy *
load_policy_naive (const LoadMix *mix, LoadOrder order, LoadPick pick);

/**
 * struct LoadRun - one run
 * @load: demand over capacity of the scarcest resource
 * @ms: length; the first fifth is not measured
 * @seed: of the load
 * @broken: so many workers fail what they start after 10 ms
 * @slow_class: class whose run times are 10 times what it declared, or
 *   MUX_NO_WORKER
 * @surge_ms: load rises by half from here to the end; 0: never
 */
typedef struct
{
  double load;
  int64_t ms;
  uint64_t seed;
  uint32_t broken;
  uint32_t slow_class;
  int64_t surge_ms;
} LoadRun;

typedef struct
{
  uint32_t asked;
  uint32_t inside;
  uint32_t refused;
  uint32_t dropped;
  uint32_t failed;
  uint32_t p50_ms;
  uint32_t p99_ms;
  uint32_t max_ms;
  uint32_t rack_most_ppm;
  int64_t flagged_ms; /* first flagged at risk; -1 never */
  int64_t missed_ms;  /* first 10 s below target; -1 never */
  uint32_t missed;
  uint32_t flags_false;
  uint32_t flags_missed;
  uint32_t windows;
} LoadClassResult;

typedef struct
{
  LoadClassResult class[LOAD_CLASSES];
  double packing;      /* mean of processors and memory used / in use */
  double packing_most; /* the same if tasks could be cut up at will */
  double idle_workers; /* mean number without a task */
  double overrun;      /* share of worker time used beyond capacity */
  uint32_t urgent_asked;
  uint32_t urgent_inside;
  uint32_t batch_max_ms;
} LoadResult;

void load_run (LoadPolicy *policy, const LoadRun *run, LoadResult *result);

#endif
