#ifndef SUPPORT_FAULT_PLAN_H
#define SUPPORT_FAULT_PLAN_H

#include <stdint.h>
#include <stdio.h>

/**
 * enum MuxFaultKind - what a run of the test cluster suffers
 */
typedef enum
{
  MUX_FAULT_DAEMON_KILL,   /* -9; the same name starts again at the end */
  MUX_FAULT_DAEMON_FREEZE, /* SIGSTOP for longer than its leases */
  MUX_FAULT_WORKER_KILL,   /* -9; a new incarnation at the end */
  MUX_FAULT_WORKER_HANG,   /* calls are held */
  MUX_FAULT_WORKER_DEAF,   /* calls are cut before any effect */
  MUX_FAULT_WORKER_FAIL,   /* every task fails */
  MUX_FAULT_WORKER_MUTE,   /* answers of starts are lost after the effect */
  MUX_FAULT_WORKER_SLOW,   /* answers come late */
  MUX_FAULT_WORKER_LEAVE,  /* until the run's end */
  MUX_FAULT_WORKER_LINK_SILENT,
  MUX_FAULT_WORKER_LINK_REFUSE,
  MUX_FAULT_WORKER_LINK_FORGET, /* open connections go silent for good */
  MUX_FAULT_PEER_LINK_SILENT,
  MUX_FAULT_PEER_LINK_REFUSE,
  MUX_FAULT_PEER_LINK_FORGET,
  MUX_FAULT_CALLER_LINK_REFUSE, /* answers on their way are cut */
  MUX_FAULT_PLATFORM_CUT,       /* from one data centre */
  MUX_FAULT_PLATFORM_FORGET,    /* open connections go silent for good */
  MUX_FAULT_STORE_DOWN,
  MUX_FAULT_STORE_SLOW,
  MUX_FAULT_STORE_HANG,
  MUX_FAULT_STORE_LOSE, /* answers of writes are lost after the effect */
  MUX_FAULT_LIST_DOWN,
  MUX_FAULT_KIND_COUNT
} MuxFaultKind;

const char *mux_fault_name (MuxFaultKind kind);

/**
 * struct MuxFault - one fault of a plan
 * @kind: what
 * @target: number of the daemon, worker or data centre; else 0
 * @begin_ms: after the start of the load
 * @end_ms: when it is lifted
 */
typedef struct
{
  MuxFaultKind kind;
  uint32_t target;
  uint32_t begin_ms;
  uint32_t end_ms;
} MuxFault;

#define MUX_FAULTS_MAX 512

/**
 * struct MuxFaultPlan - faults in the order of their begin
 */
typedef struct
{
  uint32_t count;
  MuxFault fault[MUX_FAULTS_MAX];
} MuxFaultPlan;

/**
 * struct MuxFaultPlanOptions - what a plan follows from, and nothing else
 * @seed: of all choices
 * @run_ms: length of the load; every fault but a leaving ends within it
 * @daemons, @workers, @data_centres: targets to choose from
 * @lease_ms: a freeze outlasts it
 */
typedef struct
{
  uint64_t seed;
  uint32_t run_ms;
  uint32_t daemons;
  uint32_t workers;
  uint32_t data_centres;
  uint32_t lease_ms;
} MuxFaultPlanOptions;

void mux_fault_plan (const MuxFaultPlanOptions *options, MuxFaultPlan *plan);
void mux_fault_plan_print (const MuxFaultPlan *plan, FILE *out);

#endif
