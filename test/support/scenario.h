#ifndef SUPPORT_SCENARIO_H
#define SUPPORT_SCENARIO_H

#include "support/fake_net.h"
#include "support/fake_worker.h"

#include <stdio.h>

#define SCENARIO_WORKERS_MAX 16
#define SCENARIO_UNITS_MAX 4096
#define SCENARIO_NO_TAG UINT32_MAX

/* Classes that every scenario has. */
typedef enum
{
  SCENARIO_ONCE,  /* service, not idempotent */
  SCENARIO_MANY,  /* service, idempotent */
  SCENARIO_BATCH, /* batch, not idempotent */
  SCENARIO_REDO,  /* batch, idempotent */
  SCENARIO_GANG,  /* gang, idempotent */
  SCENARIO_HUGE,  /* service that no worker can hold */
  SCENARIO_CLASSES
} ScenarioClass;

/* One piece of work, however often it is submitted: its submissions share key
 * and body. */
typedef struct
{
  ScenarioClass class_id;
  bool keyed;
  uint32_t parts; /* tasks of a job; 0: a request */
  MuxId id;       /* of the job, or of a keyed request */
  uint32_t run_ms;
  uint32_t runs;    /* executions begun */
  uint32_t running; /* of them now */
  uint32_t calls;
  uint32_t not_run; /* calls told so */
  bool accepted;    /* job: told so */
  bool cancelled;   /* job: asked for */
} ScenarioWork;

/* One execution, as the worker's log has it. */
typedef struct
{
  MuxId id;
  uint32_t tag;
  uint32_t part;
  uint32_t worker;
  uint64_t incarnation;
  int64_t start_ms;
  int64_t end_ms; /* 0: runs */
  MuxSize size;
  char home[MUX_NAME_LEN];
} ScenarioRun;

/* One submission. */
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
  bool body_intact;       /* the body was this work's whole answer */
} ScenarioCall;

/**
 * struct Scenario - daemons' cores, workers and a table on a fake clock, with
 *   a checker that looks at every execution and answer
 * @owner: node whose claim stands at a worker; UINT32_MAX: none
 * @claims: claims that a worker granted so far
 * @wrong: broken promises so far; @first_wrong names the first
 * @store_fails: the table will be away at times; then idempotent requests go
 *   on without their rows and two submissions of one may both run (DESIGN)
 * @lists_late: the platform's list of instances is not delivered
 * @without: the mechanism that a proof is about is to have its ground taken
 * @dated: asks tell the time of day, without which no row is swept
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
  uint32_t wrong;
  char first_wrong[256];
  bool store_fails;
  bool lists_late;
  bool mechanism_off;
  bool sends_time;
  bool verbose;
  uint32_t steps;
} Scenario;

/**
 * scenario_new() - a cell that is configured and has claimed its workers
 * @nodes: daemons and @workers: workers, each spread over @centres
 */
Scenario *scenario_new (uint64_t seed,
                        uint32_t nodes,
                        uint32_t workers,
                        uint32_t centres);
void scenario_free (Scenario *s);
/** scenario_lists() - give every daemon the list of workers now */
void scenario_lists (Scenario *s);
void scenario_run (Scenario *s, int64_t ms);
/** scenario_work() - new work; @parts over 0: a job of so many tasks */
uint32_t scenario_work (Scenario *s,
                        ScenarioClass class_id,
                        bool keyed,
                        uint32_t parts,
                        uint32_t run_ms);
/** scenario_submit() - submit @tag at @node; Return: number of the call */
uint32_t
scenario_submit (Scenario *s, uint32_t node, uint32_t tag, uint32_t give_up_ms);
/** scenario_request() - both at once */
uint32_t scenario_request (Scenario *s,
                           uint32_t node,
                           ScenarioClass class_id,
                           uint32_t run_ms,
                           uint32_t give_up_ms);
/** scenario_call() - a question or change; Return: number of the call */
uint32_t scenario_call (Scenario *s, uint32_t node, MuxCoreRequest *ask);
void scenario_cancel (Scenario *s, uint32_t node, uint32_t tag);
void scenario_stop (Scenario *s, uint32_t node);
void scenario_restart_worker (Scenario *s, uint32_t worker);
/** scenario_cut() - all links between two nodes, both ways */
void scenario_cut (Scenario *s, uint32_t a, uint32_t b, bool cut);
/** scenario_runs_on() - executions begun on @worker at or after @since_ms */
uint32_t
scenario_runs_on (const Scenario *s, uint32_t worker, int64_t since_ms);
/** scenario_until_running() - run until @tag runs; Return: its worker */
uint32_t scenario_until_running (Scenario *s, uint32_t tag);
/** scenario_told() - the call has one answer, with this outcome */
bool
scenario_has_outcome (const Scenario *s, uint32_t call, MuxOutcome outcome);
/** scenario_settle() - heal everything, run @ms, check what must have ended */
void scenario_heal_and_check (Scenario *s, int64_t ms);

/* The checker (scenario_check.c). */
/** scenario_wrong() - a promise is broken */
void scenario_violation (Scenario *s, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** scenario_logged() - a line of a worker's execution log */
void scenario_logged (void *ctx, const StandinWorkerEvent *event);
/** scenario_answered() - an answer came */
void
scenario_answered (void *user, uint32_t node, const MuxCoreResponse *answer);
/** scenario_life_over() - every execution of a worker's life has ended */
void scenario_incarnation_ended (Scenario *s, uint32_t worker);
/** scenario_check_ended() - after all has healed: every call was answered,
 * nothing told "not run" ran, and accepted jobs have ended */
void scenario_check_ended (Scenario *s);

#endif
