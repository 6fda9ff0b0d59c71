#ifndef POLICY_TYPES_H
#define POLICY_TYPES_H

#include "heap.h"
#include "hist.h"
#include "idmap.h"
#include "policy/sched.h"
#include "policy/tuning.h"

#include <uthash.h>

/* Dimensions of a MuxSize, for loops over all of them. */
#define MUX_DIMS 4
typedef enum
{
  MUX_DIM_CPU,
  MUX_DIM_MEM,
  MUX_DIM_ACCELS,
  MUX_DIM_SLOTS,
} MuxDim;

/* Levels of free room by which the index groups workers; the last level holds
 * idle workers only. */
#define MUX_LEVELS 32

/**
 * struct MuxList - doubly linked list of tasks, by index into MuxSched.task
 */
typedef struct
{
  uint32_t head;
  uint32_t tail;
  uint32_t count;
} MuxList;

typedef struct
{
  uint32_t prev;
  uint32_t next;
} MuxLink;

/* Which of a task's links a list uses. */
typedef enum
{
  MUX_LINK_AGE,    /* waiting tasks in order of submission; free list */
  MUX_LINK_MEMBER, /* members of a gang, of MuxSched.dropped or .placed */
  MUX_LINK_WORKER, /* tasks booked on one worker */
  MUX_LINKS
} MuxLinkKind;

/* Queues of a class, each ordered by start deadline, earliest first. */
typedef enum
{
  MUX_QUEUE_ON_TIME, /* all others */
  MUX_QUEUE_LATE,    /* deferrable and past the start deadline */
  MUX_QUEUES
} MuxQueueKind;

typedef enum
{
  MUX_TASK_FREE,
  MUX_TASK_GATHERING, /* member of a gang that is not complete */
  MUX_TASK_WAITING,
  MUX_TASK_DROPPING, /* in MuxSched.dropped, not yet returned to the caller */
  MUX_TASK_BOOKED,
} MuxTaskState;

/**
 * struct MuxTask - a task that waits or is booked
 * @id: unique id, given by the caller
 * @seq: submission number, breaks ties
 * @start_by_ms: deadline of the start
 * @expires_ms: dropped if still waiting then
 * @submitted_ms: when it was submitted
 * @booked_ms: when it was booked
 * @size: resources booked
 * @class_id: index into MuxSched.class_at
 * @gang: index of its gang while it waits, or MUX_NONE
 * @worker: where it is booked, or MUX_NONE
 * @avoid: worker not to use, or MUX_NONE
 * @link: its places in lists, by MuxLinkKind
 * @state: a MuxTaskState
 * @queue_kind: queue it waits in, a MuxQueueKind
 * @reason: why it is dropped, a MuxReason
 * @unreported: booked, but the placement is not yet returned to the caller
 * @started: was reported running
 */
typedef struct
{
  MuxId id;
  uint64_t seq;
  int64_t start_by_ms;
  int64_t expires_ms;
  int64_t submitted_ms;
  int64_t booked_ms;
  MuxSize size;
  uint32_t class_id;
  uint32_t gang;
  uint32_t worker;
  uint32_t avoid;
  MuxLink link[MUX_LINKS];
  uint8_t state;
  uint8_t queue_kind;
  uint8_t reason;
  bool unreported;
  bool started;
} MuxTask;

/**
 * struct MuxGang - tasks that start together
 * @group: id, given by the caller
 * @members: waiting tasks submitted so far; the first one represents the gang
 *   in its class's queue
 * @task_count: tasks of the complete gang; in a free entry, the next free one
 * @class_id: class of all members
 * @in_use: false: in the free list
 * @queued: complete and in its class's queue
 * @tried_gen: MuxSched.room_gen at the last attempt to place it
 */
typedef struct
{
  MuxId group;
  MuxList members;
  uint32_t task_count;
  uint32_t class_id;
  bool in_use;
  bool queued;
  uint64_t tried_gen;
} MuxGang;

/**
 * struct MuxProduct - a product and the sum of its bookings
 * @spec: as configured; has no quota until configured
 * @configured: @spec was set by the caller
 * @booked: sum of its tasks' bookings, by MuxDim
 */
typedef struct
{
  MuxProductSpec spec;
  bool configured;
  uint64_t booked[MUX_DIMS];
  uint32_t classes;
  UT_hash_handle hh;
} MuxProduct;

/**
 * struct MuxRate - event rate, as two exponentially weighted means
 * @count: events since the last tick
 * @fast: events per ms, time constant of some seconds
 * @slow: events per ms, time constant of half a minute
 */
typedef struct
{
  uint32_t count;
  double fast;
  double slow;
} MuxRate;

/**
 * struct MuxClass - a class of work with its queues, rates and bookings
 * @spec: as configured
 * @id: index into MuxSched.class_at
 * @configured: false: exists only for tasks that were adopted or still run
 * @size: resources booked for each new task
 * @shape: entry of @size in the index, or MUX_NONE
 * @product: its product; NULL until configured
 * @queue: by MuxQueueKind: waiting tasks and first members of complete gangs,
 *   by start_by_ms
 * @waiting: waiting tasks, those of incomplete gangs included
 * @booked: booked tasks
 * @blocked_decision: by MuxQueueKind: MuxSched.decisions when the head of the
 *   queue last could not be placed
 * @urgent: a short wait is promised, and deferrable classes (all others) yield
 * @arrivals: submitted tasks, refused ones included
 * @starts: tasks placed, or refused for overload
 * @on_time: tasks placed within the promised wait
 * @run_hist: run times in ms, the declared one as prior
 * @run_mean_ms: exponentially weighted mean of the run times
 * @cpu_hist: reported CPU usage in thousandths of a processor
 * @mem_hist: reported memory usage in MiB
 * @wait_hist: waits in ms until placed
 * @shedding: load shedding is on: its queue is kept short by refusals
 * @last_on_target_ms: when its forecast wait was last within the target
 * @last_shed_ms: when a task was last refused by load shedding
 * @reports: usage reports since @size was last recomputed
 * @failures: failures, only the first on each worker; decays
 * @outcomes: those failures and all successes; decays
 * @rack_count: booked tasks by rack id
 * @fit_gen: MuxSched.worker_gen at which @fit_count was computed
 * @fit_count: tasks that all workers together hold when empty
 */
typedef struct
{
  MuxClassSpec spec;
  uint32_t id;
  bool configured;
  MuxSize size;
  uint32_t shape;
  MuxProduct *product;
  MuxHeap queue[MUX_QUEUES];
  uint32_t waiting;
  uint32_t booked;
  uint64_t blocked_decision[MUX_QUEUES];
  bool urgent;
  MuxRate arrivals;
  MuxRate starts;
  MuxRate on_time;
  MuxHist run_hist;
  double run_mean_ms;
  MuxHist cpu_hist;
  MuxHist mem_hist;
  MuxHist wait_hist;
  bool shedding;
  int64_t last_on_target_ms;
  int64_t last_shed_ms;
  uint32_t reports;
  double failures;
  double outcomes;
  uint32_t *rack_count;
  uint64_t fit_gen;
  uint64_t fit_count;
  UT_hash_handle hh;
} MuxClass;

typedef enum
{
  MUX_BREAKER_CLOSED,
  MUX_BREAKER_OPEN,      /* no work until open_until_ms, then one probe */
  MUX_BREAKER_HALF_OPEN, /* the probe is running */
} MuxBreakerState;

/**
 * struct MuxBreaker - circuit breaker of a worker
 * @state: a worker gets ordinary work only while MUX_BREAKER_CLOSED
 * @failure_score: failures here, weighted by how rarely the class of the task
 *   fails on other workers; the breaker opens when it is high
 * @backoff_ms: delay before the next probe
 * @open_until_ms: when it may be probed
 * @closed_unprobed: closed because no task could probe it; if it opens again
 *   the back-off goes on from where it was
 * @probe: id of the task that probes it
 * @failing_classes: set of classes, by id modulo 64, whose last task failed
 * @last_failure_ms: time of the last failure
 */
typedef struct
{
  MuxBreakerState state;
  double failure_score;
  uint32_t backoff_ms;
  int64_t open_until_ms;
  bool closed_unprobed;
  MuxId probe;
  uint64_t failing_classes;
  int64_t last_failure_ms;
} MuxBreaker;

/**
 * struct MuxRack - a rack
 * @id: index into MuxClass.rack_count
 * @workers: present workers in it
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  uint32_t id;
  uint32_t workers;
  UT_hash_handle hh;
} MuxRack;

/**
 * struct MuxWorker - a worker and the bookings on it
 * @capacity: its resources
 * @booked: sum of the bookings, by MuxDim; exceeds @capacity only by adoption,
 *   growth of a booking or a resize
 * @free: @capacity less @booked, never below 0
 * @tasks: tasks booked on it
 * @present: the index is in use
 * @usable: may get new work, as set by the caller
 * @reserved: drained for the task or gang of the reservation
 * @urgent_room: tasks of MuxSched.urgent_size that it could start now
 * @level: its level in the index; MUX_NONE: it gets no ordinary work
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  MuxRack *rack;
  MuxSize capacity;
  uint64_t booked[MUX_DIMS];
  MuxSize free;
  MuxList tasks;
  bool present;
  bool usable;
  bool reserved;
  uint32_t urgent_room;
  uint32_t level;
  MuxBreaker breaker;
} MuxWorker;

/**
 * struct MuxRelease - room that a running task is forecast to release
 * @end_ms: when it is forecast to end
 * @worker: index into MuxReservation.workers
 * @size: its booking
 */
typedef struct
{
  int64_t end_ms;
  uint32_t worker;
  MuxSize size;
} MuxRelease;

/**
 * struct MuxReservation - workers that are drained for one blocked task or gang
 * @task: index of the task, or of the first member of the gang, or MUX_NONE
 * @task_id: its id, as the index may be reused
 * @workers: the workers, in @count entries
 * @count: used entries of @workers
 * @workers_allocated: allocated entries of @workers and @free_when_ready
 * @ready_ms: when all tasks are forecast to fit there; others may backfill
 *   until then
 * @expires_ms: when it is given up
 * @tried_gen: MuxSched.room_gen at the last attempt to place it
 * @urgent_room_taken: how many fewer tasks of MuxSched.urgent_size fit once
 *   the task or gang has been placed
 * @free_when_ready: scratch: room on each of @workers at @ready_ms
 * @releases: scratch: forecast ends of the tasks on @workers
 * @releases_allocated: allocated entries of @releases
 */
typedef struct
{
  uint32_t task;
  MuxId task_id;
  uint32_t *workers;
  uint32_t count;
  uint32_t workers_allocated;
  int64_t ready_ms;
  int64_t expires_ms;
  uint64_t tried_gen;
  uint64_t urgent_room_taken;
  MuxSize *free_when_ready;
  MuxRelease *releases;
  uint32_t releases_allocated;
} MuxReservation;

/**
 * struct MuxWorkerQuery - parameters of a search for a worker
 * @class: class of the task to place
 * @avoid: worker not to use, or MUX_NONE
 * @may_use_reserved: workers of the reservation may be taken
 * @now_ms: the time
 */
typedef struct
{
  const MuxClass *class;
  uint32_t avoid;
  bool may_use_reserved;
  int64_t now_ms;
} MuxWorkerQuery;

/**
 * struct MuxBits - bit set of workers
 * @word: the bits
 * @summary: one bit for each non-zero word of @word; same allocation
 * @count: bits that are set
 */
typedef struct
{
  uint64_t *word;
  uint64_t *summary;
  uint32_t count;
} MuxBits;

/**
 * struct MuxShape - one distinct booking size
 * @size: the size
 * @refs: classes with that size; 0: unused entry
 * @fits: workers that get ordinary work and have that much free
 */
typedef struct
{
  MuxSize size;
  uint32_t refs;
  MuxBits fits;
} MuxShape;

/**
 * struct MuxIndex - workers by free room
 * @words: allocated words of each bit set
 * @level: workers by level of free room, least room first
 * @reserved: workers of the reservation
 * @shape: the distinct sizes
 * @shapes: used entries of @shape
 * @shapes_allocated: allocated entries of @shape
 */
typedef struct
{
  uint32_t words;
  MuxBits level[MUX_LEVELS];
  MuxBits reserved;
  MuxShape *shape;
  uint32_t shapes;
  uint32_t shapes_allocated;
} MuxIndex;

/**
 * struct MuxSched - the scheduler
 * @share_ppm: this owner's share of the cell's capacity and of each quota
 * @task_ids: task ids to indexes into @task
 * @task: table of tasks
 * @queue_pos: by task: position in the heap of its class's queue, or MUX_NONE
 * @expire_pos: by task: position in @expire, or MUX_NONE
 * @tasks: entries of @task that have ever been used
 * @task_free: head of the list of free entries, or MUX_NONE
 * @seq: next submission number
 * @gang_ids: gang ids to indexes into @gang
 * @gang: table of gangs
 * @gang_free: head of the list of free entries, or MUX_NONE
 * @class_at: classes by id; never shrinks
 * @worker: table of workers
 * @workers: entries of @worker that have ever been used
 * @present: workers that exist
 * @usable: of which usable
 * @worker_gen: generation of the workers' capacities, changes with each of them
 * @room_gen: generation of the free room: changes whenever something that did
 *   not fit before may fit now
 * @total: capacity of usable workers, by MuxDim
 * @free: free room of usable workers, by MuxDim
 * @racks: racks that have a worker
 * @rack_ids: rack ids given out; they are never reused
 * @tripped: workers whose breaker is not closed
 * @next_probe_ms: earliest time at which a breaker may be probed
 * @next_tick_ms: when mux_sched_tick() is due; INT64_MIN: it never ran
 * @decisions: number of searches for the first task to place
 * @ends: tasks ended
 * @reserve_target: urgent tasks that are to find room, running ones included
 * @urgent_size: largest booking size of the urgent classes, by dimension
 * @urgent_room: tasks of @urgent_size that fit now, all workers together
 * @urgent_room_max: tasks of @urgent_size that all usable workers hold when
 *   empty
 * @urgent_running: booked tasks of urgent classes
 * @deferrable_booked: sum of the bookings of deferrable classes, by MuxDim
 * @reservation: at most one at a time
 * @rng_state: state of the random generator, never 0
 * @expire: waiting tasks by expires_ms
 * @waiting_by_age: waiting tasks in order of submission
 * @dropped: dropped tasks not yet returned to the caller
 * @placed: placed tasks not yet returned to the caller
 * @waiting: waiting tasks
 * @booked: booked tasks
 * @late_credit: starts due to the late queues; negative: they had too many
 */
struct MuxSched
{
  MuxSchedOptions options;
  MuxCellSpec cell;
  uint32_t share_ppm;

  MuxIdMap task_ids;
  MuxTask *task;
  uint32_t *queue_pos;
  uint32_t *expire_pos;
  uint32_t tasks;
  uint32_t tasks_allocated;
  uint32_t task_free;
  uint64_t seq;

  MuxIdMap gang_ids;
  MuxGang *gang;
  uint32_t gangs;
  uint32_t gangs_allocated;
  uint32_t gang_free;

  MuxClass **class_at;
  uint32_t classes;
  uint32_t classes_allocated;
  MuxClass *classes_by_name;
  MuxProduct *products_by_name;

  MuxWorker *worker;
  uint32_t workers;
  uint32_t workers_allocated;
  uint32_t present;
  uint32_t usable;
  uint64_t worker_gen;
  uint64_t room_gen;
  uint64_t total[MUX_DIMS];
  uint64_t free[MUX_DIMS];

  MuxRack *racks_by_name;
  uint32_t racks;
  uint32_t rack_ids;
  uint32_t racks_allocated;
  uint32_t tripped;
  int64_t next_probe_ms;
  int64_t next_tick_ms;
  uint64_t decisions;
  MuxRate ends;
  double reserve_target;
  MuxSize urgent_size;
  uint64_t urgent_room;
  uint64_t urgent_room_max;
  uint32_t urgent_running;
  uint64_t deferrable_booked[MUX_DIMS];
  MuxTuning tuning;
  MuxReservation reservation;
  uint64_t rng_state;

  MuxIndex index;
  MuxHeap expire;
  MuxList waiting_by_age;
  MuxList dropped;
  MuxList placed;
  uint32_t waiting;
  uint32_t booked;
  double late_credit;
};

#endif
