#ifndef POLICY_TYPES_H
#define POLICY_TYPES_H

#include "heap.h"
#include "hist.h"
#include "idmap.h"
#include "policy/sched.h"
#include "policy/tuning.h"

#include <uthash.h>

/* Resources of a MuxSize seen as an array, for loops over all of them. */
#define MUX_DIMS 4
typedef enum
{
  MUX_DIM_CPU,
  MUX_DIM_MEM,
  MUX_DIM_ACCELS,
  MUX_DIM_SLOTS,
} MuxDim;

/* Levels of free room that the index sorts workers into; the last one holds
 * idle workers alone. */
#define MUX_LEVELS 32

/**
 * struct MuxList - doubly linked list of tasks by index
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

/* Which of a task's links a list runs through. */
typedef enum
{
  MUX_LINK_AGE,    /* waiting tasks by the time they asked */
  MUX_LINK_MEMBER, /* members of a gang, of the drops or of the emission */
  MUX_LINK_WORKER, /* tasks booked on one worker */
  MUX_LINKS
} MuxLinkKind;

/* Queues of a class; within each the earliest start deadline goes first. */
typedef enum
{
  MUX_QUEUE_ON_TIME, /* can start in time still */
  MUX_QUEUE_LATE,    /* deferrable and past the deadline of its start */
  MUX_QUEUES
} MuxQueueKind;

typedef enum
{
  MUX_TASK_FREE,
  MUX_TASK_GATHERING, /* member of a gang that is not complete */
  MUX_TASK_WAITING,
  MUX_TASK_DROPPING, /* in the list of drops not yet told */
  MUX_TASK_BOOKED,
} MuxTaskState;

/**
 * struct MuxTask - a task that waits or is booked
 * @id: its id
 * @seq: order of asking, breaks ties
 * @start_by_ms: target for the start
 * @give_up_ms: dropped after this
 * @asked_ms: when it asked
 * @booked_ms: when it was booked
 * @size: what is booked
 * @class_id: its class
 * @gang: its gang while it waits, or MUX_NONE
 * @worker: where it is booked, or MUX_NONE
 * @avoid: worker not to use, or MUX_NONE
 * @state: see enum MuxTaskState
 * @lane: queue it waits in, see enum MuxLane
 * @reason: why it is dropped
 * @emitting: booked but not yet told
 * @started: was seen running
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
 * @group: its id
 * @members: those that have asked
 * @wanted: how many there are
 * @class_id: class of all members
 * @queued: complete and in its class's queue
 * @tried: room generation of the last vain try
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
 * struct MuxProduct - a product's part of the books
 * @spec: as configured; without a quota until it is
 * @booked: what its tasks hold now
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
 * struct MuxFlow - rate of something, over a short and a long memory
 * @ticked: happenings since the last tick
 * @fast: per ms, over some seconds
 * @slow: per ms, over half a minute
 */
typedef struct
{
  uint32_t count;
  double fast;
  double slow;
} MuxRate;

/**
 * struct MuxClass - a class, its queue and its part of the books
 * @spec: as configured
 * @configured: false: only for tasks that were adopted or still run
 * @size: what a task of it is booked with
 * @shape: entry of @size in the index, or MUX_NONE
 * @queue: for each lane, waiting tasks and leaders of complete gangs by
 *   start_by_ms
 * @waiting: tasks waiting, gathering ones too
 * @booked: tasks booked
 * @tried: for each lane, decision in which its head could not be placed
 * @urgent: a short wait is promised; others yield to it
 * @arrivals: tasks that asked
 * @starts: tasks placed, or refused for want of room
 * @inside: tasks placed inside the promised wait
 * @run_hist: run times, the declared one as prior
 * @run_mean_ms: their mean
 * @cpu_hist: processors used, as reported
 * @mem_hist: memory used, as reported
 * @wait_hist: waits until placed
 * @shedding: its queue is held short by refusals
 * @calm_ms: when its forecast wait was last inside the target
 * @shed_ms: when it was last refused for it
 * @reports: reports since its booking size was last looked at
 * @failed: failures, the first on each worker alone, that are not forgotten
 * @judged: those and all successes
 * @rack_count: tasks booked in each rack
 * @fit_gen: worker generation at which @fit_count was computed
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
  MUX_BREAKER_HALF_OPEN, /* its probe runs */
} MuxBreakerState;

/**
 * struct MuxBreaker - whether a worker is trusted with work
 * @state: see enum MuxBreakerState
 * @blame: failures that were unlike their class's record elsewhere
 * @backoff_ms: pause before the next probe
 * @open_until_ms: when it may be probed
 * @on_trial: closed because nothing probed it; it opens as if it had failed one
 * @probe: task of the probe
 * @failing: classes, by id modulo 64, whose last task here failed
 * @failing_ms: when the last of them did
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
 * struct MuxRack - a rack's name; its index counts in MuxClass.rack_count
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  uint32_t id;
  uint32_t workers;
  UT_hash_handle hh;
} MuxRack;

/**
 * struct MuxWorker - a worker and what is booked on it
 * @capacity: what it has
 * @booked: sums of what is booked, beyond @capacity only by adoption
 * @free: capacity less booked, never below 0
 * @present: the index is in use
 * @usable: may get new work, as the caller says
 * @held: drained for the task or gang of the reservation
 * @urgent_room: urgent tasks of the largest size that it could start now
 * @level: level of the index it stands in, or MUX_NONE
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
 * struct MuxRelease - room that a running task is forecast to give back
 */
typedef struct
{
  int64_t end_ms;
  uint32_t worker;
  MuxSize size;
} MuxRelease;

/**
 * struct MuxReservation - workers that are drained for one blocked task or gang
 * @task: the task, or the leader of the gang, or MUX_NONE
 * @task_id: its id, as the index may be reused
 * @workers: the workers, in @count entries
 * @ready_ms: when all is forecast to fit there; others may backfill until then
 * @until_ms: when it expires
 * @tried: room generation of the last vain try
 * @need: room for urgent tasks that it is going to take
 * @left: scratch, as long as @workers
 * @release: scratch, of @release_room entries
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
 * struct MuxSeek - what a search for a worker asks for
 * @class: whose task it is
 * @avoid: worker not to use, or MUX_NONE
 * @into_reservation: workers reserved for another may be taken
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
 * struct MuxBits - set of workers with a summary of its non-zero words
 */
typedef struct
{
  uint64_t *word;
  uint64_t *summary;
  uint32_t count;
} MuxBits;

/**
 * struct MuxShape - one distinct size that classes are booked with
 * @size: the size
 * @refs: classes with it; 0: unused
 * @fits: workers where it fits now
 */
typedef struct
{
  MuxSize size;
  uint32_t refs;
  MuxBits fits;
} MuxShape;

/**
 * struct MuxIndex - workers by free room
 * @words: words of each set
 * @level: workers by level of free room
 * @held: workers of the reservation
 * @shape: the distinct sizes
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
  double late_credit; /* starts that the late lanes are owed */
};

#endif
