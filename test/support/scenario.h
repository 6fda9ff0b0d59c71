#ifndef SUPPORT_SCENARIO_H
#define SUPPORT_SCENARIO_H

#include "support/fake_net.h"
#include "support/fake_worker.h"

#include <stdio.h>

/*
 * Scenarios for the core of tasks and jobs (core/core.h): daemons, workers and
 * the platform's table on a simulated clock, with a checker of every run and
 * every response.
 */

#define SCENARIO_WORKERS_MAX 16
#define SCENARIO_UNITS_MAX 4096
#define SCENARIO_NO_TAG UINT32_MAX

/* Classes configured in every scenario. */
typedef enum
{
  SCENARIO_ONCE,  /* service, not idempotent */
  SCENARIO_MANY,  /* service, idempotent */
  SCENARIO_BATCH, /* batch, not idempotent */
  SCENARIO_REDO,  /* batch, idempotent */
  SCENARIO_GANG,  /* gang, idempotent */
  SCENARIO_HUGE,  /* service with tasks larger than any worker */
  SCENARIO_CLASSES
} ScenarioClass;

/* A request or a job.  It may be submitted several times, each time with the
 * same key and body; its tag is its index in @works. */
typedef struct
{
  ScenarioClass class_id;
  bool keyed;
  uint32_t parts; /* tasks of a job; 0: a request */
  MuxId id;       /* of the job, or of a keyed request */
  uint32_t run_ms;
  uint32_t runs;    /* runs started */
  uint32_t running; /* runs started and not ended */
  uint32_t calls;   /* submissions */
  uint32_t not_run; /* responses with outcome NOT_RUN */
  bool accepted;    /* job: a response said so */
  bool cancelled;   /* job: cancellation was requested */
} ScenarioWork;

/* A run, from the worker's log. */
typedef struct
{
  MuxId id;
  uint32_t tag;
  uint32_t part;
  uint32_t worker;
  uint64_t incarnation;
  int64_t start_ms;
  int64_t end_ms; /* 0: still running */
  MuxSize size;
  char home[MUX_NAME_LEN];
} ScenarioRun;

/* A request to a daemon. */
typedef struct
{
  uint32_t tag;
  uint32_t node;
  uint64_t node_incarnation;
  int64_t asked_ms;
  int64_t answered_ms;
  uint32_t give_up_ms;
  uint32_t answers;
  MuxCoreResponse answer; /* without its body */
  bool body_intact;       /* the body was the complete result of this work */
} ScenarioCall;

/**
 * struct Scenario - state of a scenario and of its checker
 * @booked: sum of the sizes of a worker's runs
 * @owner: node that holds the claim on a worker; UINT32_MAX: none
 * @claims: number of claims that a worker has granted
 * @violations: number of guarantees violated; @first_violation describes the
 * first
 * @store_fails: the table is down at times; idempotent requests are then
 *   started without their rows, and two submissions of one may both run
 * @lists_withheld: the platform's list of instances is not delivered
 * @mechanism_off: the mechanism that a proof checks is to be disabled
 * @sends_time: requests carry the time of day, without which no expired row is
 *   removed
 * @verbose: print runs, responses and violations
 */
typedef struct
{
  FakeNet *net;
  uint32_t worker_count;
  FakeWorker workers[SCENARIO_WORKERS_MAX];
  MuxSize booked[SCENARIO_WORKERS_MAX];
  uint32_t owner[SCENARIO_WORKERS_MAX];
  uint32_t claims[SCENARIO_WORKERS_MAX];
  ScenarioWork *works;
  uint32_t work_count, work_cap;
  ScenarioRun *runs;
  uint32_t run_count, run_cap;
  ScenarioCall *calls;
  uint32_t call_count, call_cap;
  uint32_t violations;
  char first_violation[256];
  bool store_fails;
  bool lists_withheld;
  bool mechanism_off;
  bool sends_time;
  bool verbose;
  uint32_t steps;
} Scenario;

/**
 * scenario_new() - creates daemons that are configured and have claimed the
 *   workers
 * @seed: of all random delays and losses
 * @nodes: number of daemons, spread over the data centres
 * @workers: number of workers, likewise
 * @centres: number of data centres
 */
Scenario *scenario_new (uint64_t seed,
                        uint32_t nodes,
                        uint32_t workers,
                        uint32_t centres);
void scenario_free (Scenario *s);
/** scenario_lists() - delivers the list of workers to every daemon */
void scenario_lists (Scenario *s);
/** scenario_run() - advances the simulation by @ms */
void scenario_run (Scenario *s, int64_t ms);
/** scenario_work() - defines a request, or with @parts > 0 a job of so many
 * tasks
 * Return: its tag */
uint32_t scenario_work (Scenario *s,
                        ScenarioClass class_id,
                        bool keyed,
                        uint32_t parts,
                        uint32_t run_ms);
/** scenario_submit() - submits @tag at @node; Return: number of the call */
uint32_t
scenario_submit (Scenario *s, uint32_t node, uint32_t tag, uint32_t give_up_ms);
/** scenario_request() - defines and submits a keyed request
 * Return: number of the call */
uint32_t scenario_request (Scenario *s,
                           uint32_t node,
                           ScenarioClass class_id,
                           uint32_t run_ms,
                           uint32_t give_up_ms);
/** scenario_call() - sends any other request; Return: number of the call */
uint32_t scenario_call (Scenario *s, uint32_t node, MuxCoreRequest *ask);
/** scenario_cancel() - requests the cancellation of the job @tag */
void scenario_cancel (Scenario *s, uint32_t node, uint32_t tag);
/** scenario_stop() - lets a daemon shut down in order */
void scenario_stop (Scenario *s, uint32_t node);
void scenario_restart_worker (Scenario *s, uint32_t worker);
/** scenario_cut() - cuts or restores the link between two daemons, both ways */
void scenario_cut (Scenario *s, uint32_t a, uint32_t b, bool cut);
/** scenario_runs_on() - counts runs started on @worker at or after @since_ms */
uint32_t
scenario_runs_on (const Scenario *s, uint32_t worker, int64_t since_ms);
/** scenario_until_running() - advances the simulation until @tag runs
 * Return: its worker */
uint32_t scenario_until_running (Scenario *s, uint32_t tag);
/** scenario_has_outcome() - whether the call has exactly one response, with
 * this outcome */
bool
scenario_has_outcome (const Scenario *s, uint32_t call, MuxOutcome outcome);
/** scenario_heal_and_check() - ends all faults, restarts daemons that are down,
 * runs for @ms and calls scenario_check_ended() */
void scenario_heal_and_check (Scenario *s, int64_t ms);

/* The checker (scenario_check.c). */
/** scenario_violation() - records that a guarantee was violated */
void scenario_violation (Scenario *s, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** scenario_logged() - checks an event of a worker's log */
void scenario_logged (void *ctx, const StandinWorkerEvent *event);
/** scenario_answered() - checks a response */
void
scenario_answered (void *user, uint32_t node, const MuxCoreResponse *answer);
/** scenario_incarnation_ended() - records the end of all runs of a worker that
 * restarts */
void scenario_incarnation_ended (Scenario *s, uint32_t worker);
/** scenario_check_ended() - checks, once all faults are over, that every call
 * has a response, that nothing reported as not run has run, and that accepted
 * jobs have ended */
void scenario_check_ended (Scenario *s);

#endif
