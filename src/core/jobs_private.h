#ifndef CORE_JOBS_PRIVATE_H
#define CORE_JOBS_PRIVATE_H

#include "call.h"
#include "jobs.h"

/* Tasks whose whereabouts share one row. */
#define TASKS_PER_PART 32
/* Most tasks of a job, not a gang, that ask for room or start at once. */
#define WINDOW_TASKS 64
/* Bytes of an object's key. */
#define OBJECT_KEY_LEN 64

/**
 * enum SlotState - a job's task as recorded
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
  bool has_task; /* a task of the core minds it */
  uint32_t attempt;
  char worker[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  uint64_t incarnation;
  int64_t not_after_ms; /* last moment of its start, worker's clock */
} Slot;

/**
 * enum JobState - a job as recorded
 */
typedef enum
{
  JOB_OPEN,
  JOB_DONE,      /* every task ended well */
  JOB_FAILED,    /* every task ended, some not well */
  JOB_CANCELLED, /* an operator or caller ended it */
  JOB_STATE_COUNT
} JobState;

/* What the row job/open/<id> or job/done/<id> holds. */
typedef struct
{
  MuxId id;
  char class_name[MUX_NAME_LEN];
  uint32_t task_count;
  JobState state;
  bool cancel_requested; /* asked for; the home has to carry it out */
  char home[MUX_NAME_LEN];
  uint64_t home_incarnation;
  char object[OBJECT_KEY_LEN]; /* where the body is; "": no body */
  uint32_t done;               /* ended tasks, in a job that has ended */
  uint32_t failed;
  int64_t at_ms; /* time of day when it was submitted, then when it ended */
} JobHeader;

/* Most owners that a gang is spread over. */
#define GANG_PARTS_MAX 32

/* What an owner is asked to hold of a gang. */
typedef struct
{
  char owner[MUX_NAME_LEN];
  uint32_t tasks;
  uint32_t requested;
  uint32_t first_task; /* number of its first task */
} GangPart;

/* What an owner turned out to be able to hold at most. */
typedef struct
{
  char owner[MUX_NAME_LEN];
  uint32_t tasks;
} GangBound;

/**
 * enum GangState - how far a gang is with its places
 */
typedef enum
{
  GANG_NONE,       /* no gang, or all of it is placed */
  GANG_BACKOFF,    /* asks when gang_at_ms comes */
  GANG_REQUESTING, /* its parts are asked one after the other */
} GangState;

typedef struct Job Job;
struct Job
{
  MuxId id;
  uint64_t generation; /* which carrying of this job by this process it is */
  JobHeader header;
  uint64_t rev; /* of its row: fences a former home */
  MuxBlob *body;
  Slot *slots;
  uint8_t *dirty; /* parts to be written */
  bool dirty_any;
  bool loaded; /* the slots are those on record */
  bool urgent; /* a task waits for the write */
  bool writing;
  bool reading;
  bool needs_reread;  /* its rows must be read before the next write */
  uint8_t *in_write;  /* parts in the write in flight */
  uint64_t *part_rev; /* as last known */
  bool ended;         /* every slot is final; only its last write is missing */
  bool dropped;       /* carried on elsewhere */
  uint32_t active_count;
  uint32_t unplaced_count; /* of which not placed yet */
  uint32_t final_count;
  uint32_t next_new; /* no SLOT_NEW below this one */
  GangState gang_state;
  int64_t gang_timer_ms;
  uint32_t gang_rounds;
  uint32_t gang_part_count;
  uint32_t gang_current_part; /* part that is being asked */
  uint32_t gang_granted;      /* tasks of that part that have room */
  GangPart gang_part[GANG_PARTS_MAX];
  GangBound gang_bound[GANG_PARTS_MAX];
  uint32_t gang_bound_count;
  int64_t write_ms;     /* not before */
  MuxId *inflight_keys; /* keys of tasks that wait for the write in flight */
  uint32_t inflight_count;
  MuxId *pending_keys; /* the same for the next write */
  uint32_t pending_count;
  UT_hash_handle hh;
};

/* A caller that waits for a job's end, own or another daemon's. */
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
  uint32_t tries;
  UT_hash_handle hh;
};

/* A job whose row names this life of this daemon, or may soon, and which is
 * not carried here. */
typedef struct JobRecheck JobRecheck;
struct JobRecheck
{
  MuxId id;
  int64_t at_ms;
  uint32_t checks_left; /* left, while there is no row */
  UT_hash_handle hh;
};

struct Jobs
{
  uint64_t last_generation;
  JobRecheck *rechecks;
  Job *open; /* carried by this daemon */
  JobSubmit *submits;
  JobWait *waits;
  int64_t next_write_ms;
  int64_t next_activation_ms;
  int64_t next_scan_ms;
  bool scanning;
  bool scan_again; /* something changed during the look under way */
  char scan_after[MUX_ROW_KEY_LEN];
};

const char *job_state_name (JobState state);
const char *slot_state_name (SlotState state);

/* Rows (jobs_row.c). */
void job_row_key (const char *prefix, MuxId id, char out[MUX_ROW_KEY_LEN]);
void job_part_key (MuxId id, uint32_t part, char out[MUX_ROW_KEY_LEN]);
MuxBlob *job_header_to_blob (const JobHeader *header);
bool job_header_from_blob (const MuxBlob *blob, JobHeader *header);
/** job_part_to_blob() - the slots of part number @part */
MuxBlob *job_part_to_blob (const Job *job, uint32_t part);
bool job_part_from_blob (Job *job, uint32_t part, const MuxBlob *blob);
uint32_t job_part_count (const JobHeader *header);
/** job_part_of_key() - number of the part that a row holds; UINT32_MAX: none */
uint32_t job_part_of_key (const Job *job, const char *key);
/** job_read_parts() - all parts of a job; false: nothing was sent */
bool job_read_parts (MuxCore *core, Job *job, TableCallback done);
/** job_parts_found() - learn the parts' revisions */
void job_set_part_revisions (Job *job, const MuxTableReply *reply);

/* Jobs carried here (jobs.c, jobs_carry.c, jobs_gang.c). */
Job *job_find (MuxCore *core, MuxId id);
/**
 * job_of_turn() - the job that a call was made for; NULL: it is not carried
 * any more, or anew
 *
 * Failure: a job is let go with a write in flight and soon carried again.
 * Taken for the answer of the new turn's write, the old one's would start
 * tasks whose places are not recorded.
 */
Job *job_of_generation (MuxCore *core, MuxId id, uint64_t turn);
/** job_new() - takes a reference of @body; NULL: memory is out */
Job *
job_new (MuxCore *core, const JobHeader *header, uint64_t rev, MuxBlob *body);
void job_free (MuxCore *core, Job *job);
/** job_none_placed() - no task has been placed or has ended */
bool job_none_placed (const Job *job);
/** job_carry() - give its tasks something to do, as far as its window goes */
void job_activate_tasks (MuxCore *core, Job *job);
/** job_gang_begin() - its tasks are there and wait to be placed together */
void job_gang_begin (MuxCore *core, Job *job);
void job_gang_tick (MuxCore *core, Job *job);
/** job_cancel() - carry out what header.cancel says */
void job_cancel (MuxCore *core, Job *job);
/** job_drop() - it has another home now: let go of its tasks */
void job_drop (MuxCore *core, Job *job);
/** job_write() - send what is dirty, if it is time and none is in flight */
void job_write (MuxCore *core, Job *job);
/** job_write_wake_ms() - when job_write() has something to do */
int64_t job_write_wake_ms (const MuxCore *core, const Job *job);
/** job_reread() - somebody changed its row: learn who and why */
void job_reread (MuxCore *core, Job *job);
/** job_ended() - its last write is done: tell who waits and free it */
void job_ended (MuxCore *core, Job *job);

/* Submission, adoption and questions (jobs_submit.c, jobs_adopt.c,
 * jobs_show.c). */
void job_submit (MuxCore *core, const MuxCoreRequest *ask);
/** job_submitting() - a submission of this id is not recorded yet */
bool job_submitting (MuxCore *core, MuxId id);
void job_submits_free (MuxCore *core);
void job_scan (MuxCore *core);
/** job_home_lives() - the daemon that carries the job is not known dead */
bool job_home_alive (MuxCore *core, const JobHeader *header);
/** job_retake() - look at the row of a job that this daemon had to let go */
void job_recheck (MuxCore *core, MuxId id);
/** job_let_go() - drop it as another home's, and look whether that one lives */
void job_release (MuxCore *core, Job *job);
int64_t job_rechecks_wake_ms (const MuxCore *core);
void job_rechecks_free (MuxCore *core);
/** job_scan_soon() - look through the open jobs after @after_ms or so */
void job_scan_soon (MuxCore *core, int64_t after_ms);
void job_show (MuxCore *core, const MuxCoreRequest *ask);
void job_list (MuxCore *core, const MuxCoreRequest *ask);
void job_wait (MuxCore *core, const MuxCoreRequest *ask);
void job_waits_tick (MuxCore *core);
int64_t job_waits_wake_ms (const MuxCore *core);
void job_request_cancel (MuxCore *core, const MuxCoreRequest *ask);
/** job_answer() - the job as known here, to one call */
void
job_respond (MuxCore *core, uint64_t call, uint32_t status, const Job *job);
/** job_answer_header() - the job as its row has it */
void job_respond_header (MuxCore *core,
                         uint64_t call,
                         uint32_t status,
                         const JobHeader *header);
void job_waits_notify (MuxCore *core, const JobHeader *header);
void job_waits_free (MuxCore *core);

#endif
