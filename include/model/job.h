#ifndef MODEL_JOB_H
#define MODEL_JOB_H

#include "base/error.h"
#include "base/id.h"
#include "model/spec.h"
#include "model/workspace.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Bytes of a job's id with its closing NUL. */
#define MUX_JOB_ID_LEN 33
/* Workers that a stored step names. */
#define MUX_STEP_NAMED_MAX 100
/* Most steps of a job: a step names the earlier ones in a 64-bit set. */
#define MUX_STEPS_MAX 64
/* Most tasks of one step; over it a single job could fill the daemon's
 * memory.  Far above the widest step of the size to design for. */
#define MUX_STEP_TASKS_MAX 4096
/* Bytes of a job's payload, without its closing NUL. */
#define MUX_JOB_PAYLOAD_MAX 4000
/* Furthest time of day of a job, either way; sums of a few stay in 64 bits.  In
 * ms, some 140,000 years. */
#define MUX_WALL_MS_MAX (INT64_C (1) << 52)

/**
 * struct MuxApprovalSpec - a policy service decides which workers may run a
 * queue's steps
 * @needed: no task of the queue starts without an approval
 * @base_us: time that the service takes for any question
 * @per_worker_us: and for each worker named in it
 * @valid_ms: how long the proof of an approval can be presented
 */
typedef struct
{
  bool required;
  uint32_t base_us;
  uint32_t per_worker_us;
  uint32_t valid_ms;
} MuxApprovalSpec;

/**
 * struct MuxQueueSpec - a queue of jobs and what its jobs are promised
 * @name: unique among queues
 * @host: HTTP host that its callers name
 * @prefix: begin of the paths of its jobs
 * @service: pool of workers that runs its tasks
 * @priority: 0 is the most urgent
 * @attempts_max: failed runs after which a task, and its job, has failed
 * @slack_milli: promised time as a multiple of the job's longest chain of
 *   work, in thousandths
 * @target_ms: added to that
 * @is_public: its callers need no key
 * @approval: see struct MuxApprovalSpec
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  char host[128];
  char prefix[128];
  char service[MUX_NAME_LEN];
  uint32_t priority;
  uint32_t attempts_max;
  uint32_t slack_milli;
  uint32_t target_ms;
  bool is_public;
  MuxApprovalSpec approval;
} MuxQueueSpec;

/**
 * struct MuxQueueConfig - the queues in force; one version is never changed
 * @version: grows with each change
 * @workspaces: whose keys callers show; owned; NULL: no caller needs a key
 * @count: used entries
 * @item: the queues
 */
typedef struct
{
  uint64_t version;
  MuxWorkspaces *workspaces;
  uint32_t count;
  MuxQueueSpec item[];
} MuxQueueConfig;

/**
 * struct MuxStepSpec - tasks of a job that are alike
 * @count: tasks
 * @size: what each needs; its slots count nothing here
 * @estimate_ms: rough run time of one task
 * @after: set of earlier steps, by number, whose tasks must all be done first
 * @checkpointing: a run can resume what an earlier one had saved
 * @gang: the tasks work only while all of them run
 * @rack_sensitive: slower when its tasks run on more than one rack
 * @copies_allowed: a task may run twice at once; the first end counts
 * @long_running: runs until the job is cancelled, restarted whenever it ends
 * @fills: takes what others leave unused; its processors count nothing, and
 *   it may slow those that serve beside it
 * @tail_target_ms: a long-running task's own users' tail of response times is
 *   to stay under this; 0: it has none
 * @label: that the worker must carry; "": any
 * @data_rack: where it runs fastest; "": anywhere
 * @per_worker_max: most tasks of one occurrence on a worker; 0: no bound
 * @named: workers that a task may have been started on, beside those that the
 *   job's progress names; owned
 * @unavailable_max: tasks of a long-running step that may be away at once
 *   through the scheduler's own doing
 */
typedef struct
{
  uint32_t count;
  MuxSize size;
  uint32_t estimate_ms;
  uint64_t after;
  bool checkpointing;
  bool gang;
  bool rack_sensitive;
  bool copies_allowed;
  bool long_running;
  bool best_effort;
  char label[MUX_NAME_LEN];
  char data_rack[MUX_NAME_LEN];
  uint32_t per_worker_max;
  uint32_t unavailable_max;
  uint32_t tail_target_ms;
  uint32_t named_count;
  char (*named)[MUX_NAME_LEN];
} MuxStepSpec;

/**
 * struct MuxJobSpec - a job as accepted
 * @id: chosen by the caller; one id, one job
 * @workspace: whose it is; "": it was accepted without a key
 * @queue: the queue as it was when the job was accepted
 * @payload: handed to every task; owned
 * @accepted_wall_ms: time of day at acceptance
 * @data_centre: of the instance that accepted it; "": not known
 * @first_due_ms: time of day of occurrence 0
 * @repetitions: occurrences; 0: the steps run once, at once
 * @interval_ms: between due times
 * @step_count: used entries of @step
 * @step: the steps; owned
 */
typedef struct
{
  char id[MUX_JOB_ID_LEN];
  char workspace[MUX_NAME_LEN];
  MuxQueueSpec queue;
  char *payload;
  int64_t accepted_wall_ms;
  char data_centre[MUX_NAME_LEN];
  int64_t first_due_ms;
  uint32_t repetitions;
  uint32_t interval_ms;
  uint32_t step_count;
  MuxStepSpec *step;
} MuxJobSpec;

/**
 * enum MuxJobState - what a caller is told about its job
 */
typedef enum
{
  MUX_JOB_QUEUED,
  MUX_JOB_ACTIVE,
  MUX_JOB_COMPLETED,
  MUX_JOB_FAILED,
  MUX_JOB_CANCELLED,
  MUX_JOB_ABSENT, /* no such job */
  MUX_JOB_STATE_COUNT
} MuxJobState;

const char *mux_job_state_name (MuxJobState state);
bool mux_job_state_parse (const char *text, MuxJobState *state);

/** mux_job_id_valid() - 1 to 32 bytes of a-z A-Z 0-9 - */
bool mux_job_id_valid (const char *id);
MuxJobSpec *mux_job_new (uint32_t steps);
void mux_job_free (MuxJobSpec *job);
/** mux_job_core_ms() - core-time of all its tasks by their estimates, an
 * accelerator as eight cores; INT64_MAX where it is more */
int64_t mux_job_core_ms (const MuxJobSpec *job);
/** mux_job_check() - what no single field shows; adds to @findings */
bool mux_job_check (const MuxJobSpec *job, MuxFindings *findings);
/** mux_job_to_json() - the form that is stored; NULL: memory is out */
json_t *mux_job_to_json (const MuxJobSpec *job);
/** mux_job_from_json() - NULL with @findings when it is no stored job */
MuxJobSpec *mux_job_from_json (const json_t *json, MuxFindings *findings);
/** mux_queue_config_new() - with room for so many queues, zeroed
 * Return: NULL when memory is out; so does mux_queue_config_copy(). */
MuxQueueConfig *mux_queue_config_new (uint32_t count);
MuxQueueConfig *mux_queue_config_copy (const MuxQueueConfig *from);
void mux_queue_config_free (MuxQueueConfig *config);
/** mux_queue_find() - the queue of @host with the longest prefix of @path
 * @rest: receives what follows the prefix in @path
 * Return: NULL when there is none. */
const MuxQueueSpec *mux_queue_find (const MuxQueueConfig *config,
                                    const char *host,
                                    const char *path,
                                    const char **rest);

#endif
