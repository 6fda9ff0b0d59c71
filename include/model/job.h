#ifndef MODEL_JOB_H
#define MODEL_JOB_H

#include "base/error.h"
#include "base/id.h"
#include "model/spec.h"
#include "model/workspace.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Size of a job id in bytes, with the terminating NUL. */
#define MUX_JOB_ID_LEN 33
/* Maximum number of workers in the stored form of a step, MuxStepSpec.named. */
#define MUX_STEP_NAMED_MAX 100
/* Maximum number of steps of a job: dependencies are a 64-bit set. */
#define MUX_STEPS_MAX 64
/* Maximum number of tasks of a step, so that a single job can't fill the
 * daemon's memory; far above the widest step that the design has to support. */
#define MUX_STEP_TASKS_MAX 4096
/* Maximum size of a job's payload in bytes, without the terminating NUL. */
#define MUX_JOB_PAYLOAD_MAX 4000
/* Bound of the absolute value of a job's times of day in ms, some 140,000
 * years: sums of a few of them fit into 64 bits. */
#define MUX_WALL_MS_MAX (INT64_C (1) << 52)

/**
 * struct MuxApprovalSpec - approval of the workers of a queue's steps by the
 * policy service
 * @required: no task of the queue starts without an approval
 * @base_us: time that the service takes for an approval query
 * @per_worker_us: additional time for each worker in the query
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
 * struct MuxQueueSpec - a queue of jobs and its service level
 * @name: unique among queues
 * @host: HTTP host in the requests of its callers; owned by the configuration;
 *   NULL in a job
 * @prefix: path prefix of its jobs; as @host
 * @bad_field: name of the field because of which it can't be used, and takes no
 *   jobs; static; NULL: none
 * @service: pool of workers that runs its tasks
 * @priority: 0 is the most urgent
 * @attempts_max: failed runs after which a task, and thereby its job, fails
 * @slack_milli: a job is promised to complete within this multiple, in
 *   thousandths, of the run time of its critical path, plus @target_ms
 * @target_ms: see @slack_milli
 * @is_public: its callers need no key
 * @approval: see struct MuxApprovalSpec
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  char *host;
  char *prefix;
  const char *bad_field;
  char service[MUX_NAME_LEN];
  uint32_t priority;
  uint32_t attempts_max;
  uint32_t slack_milli;
  uint32_t target_ms;
  bool is_public;
  MuxApprovalSpec approval;
} MuxQueueSpec;

/**
 * struct MuxPoolSpec - a pool of workers
 * @name: of the pool
 * @connections_max: connections that each of its workers accepts at a time from
 *   all daemons together; 0: not given
 * @bad_field: name of the field that can't be used and counts as not given;
 *   static; NULL: none
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  uint32_t connections_max;
  const char *bad_field;
} MuxPoolSpec;

/**
 * struct MuxQueueConfig - one version of the queue configuration; immutable
 * @version: grows with each change
 * @pool_count: entries of @pool
 * @pool: the pools of workers; owned
 * @workspaces: workspaces and their keys; owned; NULL: no caller needs a key
 * @count: used entries
 * @item: the queues; their hosts and prefixes are owned
 */
typedef struct
{
  uint64_t version;
  uint32_t pool_count;
  MuxPoolSpec *pool;
  MuxWorkspaces *workspaces;
  uint32_t count;
  MuxQueueSpec item[];
} MuxQueueConfig;

/**
 * struct MuxStepSpec - a step: identical tasks of a job
 * @count: number of tasks
 * @size: resources of one task; slots are not used here
 * @estimate_ms: estimated run time of one task
 * @after: set of earlier steps, by number, whose tasks must all be done first
 * @checkpointing: a run can resume from what an earlier run saved
 * @gang: the tasks work only while all of them run
 * @rack_sensitive: slower if its tasks run in more than one rack
 * @copies_allowed: a task may run twice at the same time; the first end counts
 * @long_running: runs until the job is cancelled, restarted whenever it ends
 * @best_effort: uses capacity that others leave idle: its CPUs are not counted
 *   as booked, and it may slow tasks that serve requests on the same worker
 * @label: label that the worker must have; "": any worker
 * @data_rack: rack where it runs fastest; "": no preference
 * @per_worker_max: maximum number of tasks of one occurrence on a worker; 0:
 *   unlimited
 * @unavailable_max: maximum number of tasks of a long-running step that the
 *   scheduler's own actions may make unavailable at the same time
 * @tail_target_ms: target for the tail latency that a long-running task gives
 *   its own users; 0: none
 * @named_count: used entries of @named
 * @named: workers on which a task may have been started, besides those in the
 *   job's stored progress; owned
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
 * @id: chosen by the caller, unique
 * @workspace: workspace it belongs to; "": it was accepted without a key
 * @queue: the queue as configured when the job was accepted
 * @payload: passed to every task; owned
 * @accepted_wall_ms: time of day at acceptance
 * @data_centre: of the instance that accepted it; "": not known
 * @first_due_ms: time of day at which occurrence 0 is due
 * @repetitions: number of occurrences; 0: the steps run once, immediately
 * @interval_ms: time between two occurrences, 0 to MUX_WALL_MS_MAX
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
  int64_t interval_ms;
  uint32_t step_count;
  MuxStepSpec *step;
} MuxJobSpec;

/**
 * enum MuxJobState - state of a job as reported to its caller
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
/** mux_job_core_ms() - returns the estimated core time of all tasks in ms, an
 * accelerator counted as eight cores; at most INT64_MAX */
int64_t mux_job_core_ms (const MuxJobSpec *job);
/** mux_job_check() - checks a job's id, limits and dependencies
 * @findings: receives what is wrong
 * Return: false: something is wrong. */
bool mux_job_check (const MuxJobSpec *job, MuxFindings *findings);
/** mux_job_check_content() - the same without its id */
bool mux_job_check_content (const MuxJobSpec *job, MuxFindings *findings);
/** mux_job_to_json() - returns the stored form; NULL: out of memory */
json_t *mux_job_to_json (const MuxJobSpec *job);
/** mux_job_from_json() - reads the stored form
 * Return: NULL, with @findings: it is not a valid job. */
MuxJobSpec *mux_job_from_json (const json_t *json, MuxFindings *findings);
/** mux_job_set_queue() - make @queue the queue of the job */
void mux_job_set_queue (MuxJobSpec *job, const MuxQueueSpec *queue);
/** mux_queue_config_new() - allocates a zeroed configuration of @count queues
 * Return: NULL when out of memory; so does mux_queue_config_copy(). */
MuxQueueConfig *mux_queue_config_new (uint32_t count);
MuxQueueConfig *mux_queue_config_copy (const MuxQueueConfig *from);
/** mux_queue_config_alloc_pools() - allocates @count zeroed pools, once
 * Return: false when out of memory. */
bool mux_queue_config_alloc_pools (MuxQueueConfig *config, uint32_t count);
void mux_queue_config_free (MuxQueueConfig *config);
/** mux_queue_find() - finds the queue of @host with the longest matching prefix
 * of @path
 * @rest: receives the part of @path after the prefix
 * Return: NULL when there is none. */
const MuxQueueSpec *mux_queue_find (const MuxQueueConfig *config,
                                    const char *host,
                                    const char *path,
                                    const char **rest);

#endif
