#ifndef CORE_JOBS_PRIVATE_H
#define CORE_JOBS_PRIVATE_H

#include "call.h"
#include "jobs.h"

/* Tasks of a job whose slots share one row, a part. */
#define TASKS_PER_PART 32
/* Most unplaced tasks of a job at one time; a gang has no such limit. */
#define UNPLACED_TASKS_MAX 64
/* Bytes of an object's key. */
#define OBJECT_KEY_LEN 64

/**
 * enum SlotState - recorded state of one task of a job
 *
 * NEW until room is granted, then PLACED, also between attempts.  The final
 * states (DONE and above) never change.
 */
typedef enum
{
  SLOT_NEW,    /* not placed on any worker yet */
  SLOT_PLACED, /* may have been started where the slot says */
  SLOT_DONE,
  SLOT_FAILED,
  SLOT_UNKNOWN, /* may have run; must not run again */
  SLOT_CANCELLED,
  SLOT_STATE_COUNT
} SlotState;

typedef struct
{
  SlotState state;
  bool has_task; /* a Task handles it now */
  uint32_t attempt;
  char worker[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  uint64_t incarnation;
  int64_t not_after_ms; /* latest start, on the worker's clock */
} Slot;

/**
 * enum JobState - recorded state of a job
 *
 * OPEN until every task has ended, then one of the others, finally.
 */
typedef enum
{
  JOB_OPEN,
  JOB_DONE,      /* every task ended well */
  JOB_FAILED,    /* every task ended, some not done */
  JOB_CANCELLED, /* a caller or operator cancelled it */
  JOB_STATE_COUNT
} JobState;

/* What the row job/open/<id> or job/done/<id> holds. */
typedef struct
{
  MuxId id;
  char class_name[MUX_NAME_LEN];
  uint32_t task_count;
  JobState state;
  bool cancel_requested; /* requested; the home has to do it */
  char home[MUX_NAME_LEN];
  uint64_t home_incarnation;
  char object[OBJECT_KEY_LEN]; /* key of the stored body; "": no body */
  uint32_t done; /* tasks done; as recorded only once the job has ended */
  uint32_t failed;
  int64_t at_ms; /* time of day of the submission, then of the end */
} JobHeader;

/* Most owners that a gang is spread over. */
#define GANG_PARTS_MAX 32

/* The tasks of a gang that one owner is requested to hold. */
typedef struct
{
  char owner[MUX_NAME_LEN];
  uint32_t tasks;
  uint32_t requested; /* tasks that room was requested for */
  uint32_t first_task;
} GangPart;

/* Most tasks of the gang that an owner can hold, learnt from a refusal. */
typedef struct
{
  char owner[MUX_NAME_LEN];
  uint32_t tasks;
} GangBound;

/**
 * enum GangState - placement of a gang
 *
 * @GANG_NONE: not a gang, or all of it is placed
 * @GANG_BACKOFF: the next round of requests begins at gang_timer_ms
 * @GANG_REQUESTING: its parts are requested one after the other; when one is
 *   refused or takes too long, all is released and BACKOFF follows
 */
typedef enum
{
  GANG_NONE,
  GANG_BACKOFF,
  GANG_REQUESTING,
} GangState;

typedef struct Job Job;
struct Job
{
  MuxId id;
  uint64_t generation; /* number of this object among all made for jobs */
  JobHeader header;
  uint64_t rev; /* of its row; fences writes of a previous home */
  MuxBlob *body;
  Slot *slots;
  uint8_t *dirty; /* parts to be written */
  bool dirty_any;
  bool loaded; /* the slots have been read or are new */
  bool urgent; /* a task waits for the write */
  bool writing;
  bool reading;
  bool needs_reread;  /* the rows must be read before the next write */
  uint8_t *in_write;  /* parts of the write in flight */
  uint64_t *part_rev; /* last known revision of each part */
  bool ended;         /* every slot is final; its last write is due */
  bool dropped;       /* it has another home */
  uint32_t active_count;
  uint32_t unplaced_count; /* of them, not placed yet */
  uint32_t final_count;
  uint32_t next_new; /* every slot below has a Task or needs none */
  GangState gang_state;
  int64_t gang_timer_ms;
  uint32_t gang_rounds;
  uint32_t gang_part_count;
  uint32_t gang_current_part; /* index of the part being requested */
  uint32_t gang_granted;      /* granted tasks of that part */
  GangPart gang_part[GANG_PARTS_MAX];
  GangBound gang_bound[GANG_PARTS_MAX];
  uint32_t gang_bound_count;
  int64_t write_ms;     /* earliest time of the next write */
  MuxId *inflight_keys; /* tasks that wait for the write in flight */
  uint32_t inflight_count;
  MuxId *pending_keys; /* tasks that wait for the next write */
  uint32_t pending_count;
  UT_hash_handle hh;
};

/* A caller that waits for the end of a job, which may have another home. */
typedef struct JobWait JobWait;
struct JobWait
{
  uint64_t call_id;
  MuxId id;
  int64_t expires_ms;
  int64_t next_poll_ms;
  bool polling;
  JobWait *next;
};

/* A submission until it is recorded. */
typedef struct JobSubmit JobSubmit;
struct JobSubmit
{
  MuxId id;
  uint64_t call_id;
  JobHeader header;
  MuxBlob *body;
  int64_t expires_ms;
  uint32_t write_count;
  UT_hash_handle hh;
};

/* A job that is not handled here although its row may name this incarnation of
 * this daemon as its home, or name a home that has died. */
typedef struct JobRecheck JobRecheck;
struct JobRecheck
{
  MuxId id;
  int64_t at_ms;
  uint32_t checks_left; /* while there is no row */
  UT_hash_handle hh;
};

struct Jobs
{
  uint64_t last_generation;
  JobRecheck *rechecks;
  Job *open; /* jobs handled by this daemon */
  JobSubmit *submits;
  JobWait *waits;
  int64_t next_write_ms;
  int64_t next_activation_ms;
  int64_t next_scan_ms;
  bool scanning;
  bool scan_again; /* a scan was requested during the one under way */
  char scan_after[MUX_ROW_KEY_LEN];
};

const char *job_state_name (JobState state);
const char *slot_state_name (SlotState state);

/* Rows (jobs_row.c). */
/** job_row_key() - key of the row "open" or "done" of a job, as @prefix says */
void job_row_key (const char *prefix, MuxId id, char out[MUX_ROW_KEY_LEN]);
/** job_part_key() - key of the row of part number @part */
void job_part_key (MuxId id, uint32_t part, char out[MUX_ROW_KEY_LEN]);
MuxBlob *job_header_to_blob (const JobHeader *header);
bool job_header_from_blob (const MuxBlob *blob, JobHeader *header);
/** job_part_to_blob() - encodes the slots of part number @part */
MuxBlob *job_part_to_blob (const Job *job, uint32_t part);
bool job_part_from_blob (Job *job, uint32_t part, const MuxBlob *blob);
uint32_t job_part_count (const JobHeader *header);
/** job_part_of_key() - number of the part that a row holds; UINT32_MAX: none */
uint32_t job_part_of_key (const Job *job, const char *key);
/** job_read_parts() - reads all parts of a job; false: nothing was sent */
bool job_read_parts (MuxCore *core, Job *job, TableCallback done);
/** job_set_part_revisions() - takes the parts' revisions from @reply */
void job_set_part_revisions (Job *job, const MuxTableReply *reply);

/* Jobs handled here (jobs.c, jobs_write.c, jobs_gang.c). */
Job *job_find (MuxCore *core, MuxId id);
/**
 * job_of_generation() - the job that a call was made for; NULL: it is no longer
 * handled here, or was taken again since
 *
 * A job can be released with a write in flight and taken again soon after.  If
 * the old write's reply were taken for that of the new object's write, tasks
 * would start whose placement is not recorded.
 */
Job *job_of_generation (MuxCore *core, MuxId id, uint64_t generation);
/** job_new() - takes a reference to @body; NULL: out of memory */
Job *
job_new (MuxCore *core, const JobHeader *header, uint64_t rev, MuxBlob *body);
void job_free (MuxCore *core, Job *job);
/** job_none_placed() - whether no task has been placed or has ended */
bool job_none_placed (const Job *job);
/** job_activate_tasks() - makes a Task for each slot that needs one, as far as
 * the limit on unplaced tasks allows */
void job_activate_tasks (MuxCore *core, Job *job);
/** job_gang_begin() - begins to place the gang; its tasks exist and wait */
void job_gang_begin (MuxCore *core, Job *job);
void job_gang_tick (MuxCore *core, Job *job);
/** job_cancel() - ends or stops all tasks and marks the job as cancelled */
void job_cancel (MuxCore *core, Job *job);
/** job_drop() - the job has another home now: frees it and its tasks */
void job_drop (MuxCore *core, Job *job);
/** job_write() - sends what is dirty, if it is due and no write is in flight */
void job_write (MuxCore *core, Job *job);
/** job_write_wake_ms() - when job_write() has something to do */
int64_t job_write_wake_ms (const MuxCore *core, const Job *job);
/** job_reread() - its row was changed by another daemon: reads it again */
void job_reread (MuxCore *core, Job *job);
/** job_ended() - its last write is done: answers the waiting callers and frees
 * it */
void job_ended (MuxCore *core, Job *job);

/* Submission, adoption and queries (jobs_submit.c, jobs_adopt.c, jobs_show.c).
 */
void job_submit (MuxCore *core, const MuxCoreRequest *request);
/** job_submitting() - whether a submission of this id is not recorded yet */
bool job_submitting (MuxCore *core, MuxId id);
void job_submits_free (MuxCore *core);
void job_scan (MuxCore *core);
/** job_home_alive() - whether the job's home is not known to be dead */
bool job_home_alive (MuxCore *core, const JobHeader *header);
/** job_recheck() - schedules a read of the row of a job that may name this
 * daemon, or a dead one, as its home */
void job_recheck (MuxCore *core, MuxId id);
/** job_release() - drops a job that another daemon took, and checks later
 * whether that one is alive */
void job_release (MuxCore *core, Job *job);
int64_t job_rechecks_wake_ms (const MuxCore *core);
void job_rechecks_free (MuxCore *core);
/** job_scan_soon() - begins a scan of the open jobs after @after_ms to twice
 * that */
void job_scan_soon (MuxCore *core, int64_t after_ms);
void job_show (MuxCore *core, const MuxCoreRequest *request);
void job_list (MuxCore *core, const MuxCoreRequest *request);
void job_wait (MuxCore *core, const MuxCoreRequest *request);
void job_waits_tick (MuxCore *core);
int64_t job_waits_wake_ms (const MuxCore *core);
void job_request_cancel (MuxCore *core, const MuxCoreRequest *request);
/** job_respond() - answers one call with the job as known here */
void
job_respond (MuxCore *core, uint64_t call_id, uint32_t status, const Job *job);
/** job_respond_header() - answers one call with the job as its row has it */
void job_respond_header (MuxCore *core,
                         uint64_t call_id,
                         uint32_t status,
                         const JobHeader *header);
void job_waits_notify (MuxCore *core, const JobHeader *header);
void job_waits_free (MuxCore *core);

#endif
