#ifndef CORE_CORE_PRIVATE_H
#define CORE_CORE_PRIVATE_H

#include "core/core.h"
#include "policy/sched.h"

#include <uthash.h>

/* How long a grant may be used, on the worker's clock. */
#define GRANT_TTL_MS 3000
/* What a home waits before it asks for a grant again, if nothing was heard. */
#define GRANT_REQUEST_REPEAT_MS 1000
/* Time limit of calls that a worker answers at once. */
#define WORKER_TIMEOUT_MS INT64_C (1000)
/* Time limit of a table call. */
#define TABLE_TIMEOUT_MS 2000
/* Least time between two tries of the same thing. */
#define RETRY_MS INT64_C (100)

typedef struct PendingCall PendingCall;
typedef struct Member Member;
typedef struct Worker Worker;
typedef struct Grant Grant;
typedef struct Task Task;
typedef struct Timers Timers;
typedef struct Commit Commit;
typedef struct Config Config;
typedef struct Jobs Jobs;
typedef struct RetryBudget RetryBudget;
typedef struct Sweep Sweep;

/* The core: every part keeps its own state behind its pointer. */
struct MuxCore
{
  MuxCoreOptions opt;
  char name[MUX_NAME_LEN];
  char data_centre[MUX_NAME_LEN];
  char peer_addr[MUX_ADDR_LEN];
  MuxCoreSink *sink;
  MuxCounters *counters;
  MuxSched *sched;
  int64_t now_ms;
  uint64_t rng;
  uint64_t next_call_id;
  uint64_t next_task;
  uint64_t next_grant;
  int64_t started_ms; /* first event; 0: none yet */
  int64_t last_step_ms;
  int64_t wall_ms; /* time of day, first told by an ask; 0: not yet */
  int64_t next_heartbeat_ms;
  int64_t next_remote_heartbeat_ms;
  int64_t next_worker_check_ms;
  int64_t next_overdue_check_ms;
  int64_t
      next_fit_check_ms; /* of asks that may fit nowhere any more; 0: not due */
  int64_t next_repeat_check_ms; /* next look for asks that are not repeated */
  bool stopping;
  bool stopped;
  bool processing_placements;
  PendingCall *pending_calls;
  Member *members;
  Worker *workers;
  Worker **by_index; /* workers by the scheduler's index */
  uint32_t index_count;
  Grant *grants;
  Task *tasks;
  Task *tasks_by_id;
  Timers *timers;
  Commit *commit;
  Config *config;
  Jobs *jobs;
  RetryBudget *retry_budgets;
  Sweep *sweep;
};

/** core_random() - next number of the seeded generator */
uint64_t core_random (MuxCore *core);
/** core_jitter() - @base_ms plus up to as much again */
int64_t core_jitter (MuxCore *core, int64_t base_ms);
/** core_mint() - a task id never given before */
MuxId core_new_task_id (MuxCore *core);
/** core_log() - a change of state, for people */
void
core_log (MuxCore *core, int level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
/** core_answer() - the one answer to a call */
void core_respond (MuxCore *core,
                   uint64_t call,
                   MuxOutcome outcome,
                   MuxReason reason,
                   uint32_t retry_ms,
                   MuxId task,
                   MuxBlob *body);
/** core_answer_json() - INFO answer; takes @json over; NULL: memory is out */
void
core_respond_json (MuxCore *core, uint64_t call, uint32_t status, json_t *json);
/** core_answer_findings() - BAD_FIELD with everything that is wrong */
void core_respond_findings (MuxCore *core,
                            uint64_t call,
                            const MuxFindings *findings);

#endif
