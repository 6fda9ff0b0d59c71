#ifndef CORE_CORE_PRIVATE_H
#define CORE_CORE_PRIVATE_H

#include "base/log.h"
#include "core/core.h"
#include "policy/sched.h"

#include <uthash.h>

/* Validity of a grant, on the worker's clock. */
#define GRANT_TTL_MS 3000
/* Interval at which a home repeats an unanswered grant request. */
#define GRANT_REQUEST_REPEAT_MS 1000
/* Timeout of worker calls that do not wait for a task. */
#define WORKER_TIMEOUT_MS INT64_C (1000)
/* Timeout of a table call. */
#define TABLE_TIMEOUT_MS 2000
/* Shortest delay between two attempts at the same operation. */
#define RETRY_MS INT64_C (100)

/*
 * Terms: the home of a task is the daemon that accepted it and drives it
 * towards the caller and the worker. The owner of a worker is the daemon that
 * holds the claim on it, under an epoch that fences previous owners, and books
 * its room. A home requests room from owners; a grant is the room that an
 * owner has booked for one start. The intent of a keyed task is the row that
 * names where it is about to start.
 */

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

/* State of the core. Each module keeps its own state behind its pointer. */
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
  int64_t started_ms; /* time of the first event; 0: none yet */
  int64_t last_step_ms;
  int64_t wall_ms; /* time of day, from requests; 0: not known */
  int64_t next_heartbeat_ms;
  int64_t next_remote_heartbeat_ms;
  int64_t next_worker_check_ms;
  int64_t next_overdue_check_ms;
  int64_t next_fit_check_ms; /* whether waiting grants still fit; 0: none due */
  int64_t next_repeat_check_ms; /* whether homes repeat waiting requests */
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

/** core_random() - return the next number of the seeded generator */
uint64_t core_random (MuxCore *core);
/** core_jitter() - return a random time from @base_ms to twice @base_ms */
int64_t core_jitter (MuxCore *core, int64_t base_ms);
/** core_new_task_id() - return a task id that has not been used before */
MuxId core_new_task_id (MuxCore *core);
/** core_log() - log a change of state for operators
 * @level: MUX_LOG_* */
void
core_log (MuxCore *core, int level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
/** core_respond() - send the one response to a request */
void core_respond (MuxCore *core,
                   uint64_t call_id,
                   MuxOutcome outcome,
                   MuxReason reason,
                   uint32_t retry_ms,
                   MuxId task,
                   MuxBlob *body);
/** core_respond_json() - send an INFO response; takes ownership of @json,
 * where NULL stands for exhausted memory */
void core_respond_json (MuxCore *core,
                        uint64_t call_id,
                        uint32_t status,
                        json_t *json);
/** core_respond_findings() - send BAD_FIELD with the list of findings */
void core_respond_findings (MuxCore *core,
                            uint64_t call_id,
                            const MuxFindings *findings);

#endif
