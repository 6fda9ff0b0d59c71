#ifndef SUPPORT_FAULT_INJECT_H
#define SUPPORT_FAULT_INJECT_H

#include "demo/support/cluster.h"
#include "demo/support/fault_plan.h"
#include "demo/support/jsonl.h"

/**
 * struct MuxFaultRun - a plan being carried out on a linked cluster
 * @cluster: the processes
 * @plan: what and when
 * @log: receives the "died" and "leaving" lines, see history.h
 * @done: faults begun, by kind
 */
typedef struct
{
  MuxCluster *cluster;
  const MuxFaultPlan *plan;
  MuxJsonl *log;
  uint32_t done[MUX_FAULT_KIND_COUNT];
} MuxFaultRun;

/** mux_fault_run() - carry out the plan, then lift what is left; it starts
 * processes, so on the main thread
 * Return: false with @err set: the cluster could not be brought back. */
bool mux_fault_run (MuxFaultRun *run, MuxError *err);

#endif
