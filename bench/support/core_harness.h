#ifndef SUPPORT_CORE_HARNESS_H
#define SUPPORT_CORE_HARNESS_H

#include "core/core.h"
#include "standin/platform_state.h"
#include "standin/worker_logic.h"

#define HARNESS_WORKERS_MAX 6144
#define HARNESS_MEMBERS_MAX 64

/**
 * struct CoreHarnessOptions - one core on a fake clock, without I/O
 * @workers: stand-in workers
 * @listed: how many of them the instance list names at first; 0: all
 * @remote: the first member holds the workers, not this core
 * @running: tasks of the first member that run on them from before, in turn
 * @members: peers that send heartbeats
 * @near: how many of them are in this core's data centre
 * @far_rounds: far members are heard once in so many heartbeats; 0: 5
 * @slots: of each worker
 * @table_ms: a table call's answer comes after this
 */
typedef struct
{
  uint32_t workers;
  uint32_t listed;
  bool remote;
  uint32_t running;
  uint32_t members;
  uint32_t near;
  uint32_t far_rounds;
  uint32_t slots;
  uint32_t table_ms;
} CoreHarnessOptions;

typedef struct HarnessCall HarnessCall;

/**
 * struct CoreHarness - the core, its stand-ins and what it did
 * @sink: first member
 * @cpu_ns: processor time spent inside mux_core_step()
 * @steps: events handed in
 * @answers: by MuxOutcome
 * @last: the last answer; its body is not kept
 * @sent: messages to peers, by verb
 * @suspects: how often a member was called suspect
 * @asked: calls to workers, by verb
 */
typedef struct
{
  MuxCoreSink sink;
  CoreHarnessOptions options;
  MuxCore *core;
  MuxCounters *counters;
  StandinPlatform *platform;
  StandinWorker *worker[HARNESS_WORKERS_MAX];
  int64_t worker_tick_ms[HARNESS_WORKERS_MAX];
  int64_t heartbeat_ms; /* next of near members */
  uint32_t heartbeats;
  uint32_t next_worker; /* of a remote grant */
  int64_t now_ms;
  HarnessCall *worker_calls; /* in order of their moments */
  HarnessCall *table_calls;
  HarnessCall *held; /* by task, whose end they await */
  int64_t clock_ns;  /* what reading the processor clock costs */
  uint64_t cpu_ns;
  uint64_t steps;
  uint64_t answers[MUX_OUTCOME_INFO + 1];
  MuxCoreResponse last;
  uint64_t sent[MUX_PEER_VERB_COUNT];
  uint32_t suspects;
  uint64_t asked[MUX_WORKER_RELEASE + 1];
  uint64_t next_call;
} CoreHarness;

/** core_harness_new() - started, listed, and run until all is claimed */
CoreHarness *core_harness_new (const CoreHarnessOptions *options);
/** core_harness_free() - @core_bytes: heap that the core itself held */
void core_harness_free (CoreHarness *harness, uint64_t *core_bytes);
/** core_harness_list() - the instance list names the first @count workers */
void core_harness_list (CoreHarness *harness, uint32_t count);
/** core_harness_run() - let @ms of the fake clock pass */
void core_harness_run (CoreHarness *harness, int64_t ms);
/** core_harness_ask() - an ask of the door; fills in its call */
void core_harness_ask (CoreHarness *harness, MuxCoreRequest *ask);
/** core_harness_peer() - a message from member number @member */
void core_harness_peer (CoreHarness *harness, uint32_t member, MuxPeerMsg *msg);
/** core_harness_put() - put a configured object and see it accepted */
void core_harness_put (CoreHarness *harness,
                       MuxConfigSort sort,
                       const char *name,
                       const char *json);

#endif
