#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <stdlib.h>

/*
 * Gangs under randomized faults: daemons, the store, the policy service,
 * messages and workers fail in any order for some seconds, then all work
 * again. Whatever was lost, each accepted gang then ends, as the cell has room
 * for it, and no task runs twice at a time. GANG_SEED=n plays that seed alone,
 * GANG_SEEDS=n so many from GANG_SEED on, GANG_WORKERS=350 on so many workers.
 */

#define CELLS 3
/* Over 96, so that daemons proxy the planner's calls. */
#define WORKERS 120
#define APPROVED_ONE_IN 3
/* Seeds of a usual run: 4 s of processor time with the cases below. */
#define SEEDS 8
#define MORE_SEEDS 4
#define FAULTS_MS 7000
#define STEP_MS 10
/* Between two faults. */
#define FAULT_INTERVAL_MS 300
/* A worker that the new planner never heard from counts as free after 8 s of
 * trust, 4 s of lease and a margin. */
#define RECOVERY_MS 14000
/* After that something starts at least so often: two approval queries, the
 * longest task and a stop that is sent again. */
#define IDLE_MAX_MS 6000
/* All jobs end within this, however they compete. */
#define ENDS_WITHIN_MS 60000
#define JOBS_MAX 64
#define REMOVED_WORKERS_MAX 6
/* Of the policy service in a play with more faults: 0.7 s for 40 workers,
 * 1.1 s for a hundred. */
#define APPROVAL_QUERY_MS 442
#define APPROVAL_QUERY_US_PER_WORKER 6370
/* Longest response time of the policy service that is not a time-out. */
#define APPROVAL_TIMEOUT_MS 350

typedef enum
{
  FAULT_DAEMON_RESTARTS,
  FAULT_DAEMON_DIES,
  FAULT_DAEMON_FREEZES,
  FAULT_DAEMON_CUT,
  FAULT_PEERS_CUT,
  FAULT_STORE,
  FAULT_APPROVALS_LOST,
  FAULT_APPROVALS_SLOW,
  FAULT_COMMANDS,
  FAULT_WORKERS_CUT,
  FAULT_WORKERS_FAIL,
  FAULT_WORKERS_RESTART,
  FAULT_COUNT,
  /* In a play with more of them. */
  FAULT_WORKERS_DRAIN = FAULT_COUNT,
  FAULT_WORKERS_UNLISTED,
  FAULT_WORKERS_LEAVE,
  FAULT_MORE_COUNT
} Fault;

typedef struct
{
  World *world;
  uint64_t random;
  uint32_t workers;
  bool more; /* more kinds of faults and gangs */
  int64_t next_fault_ms;
  /* When each daemon that died is restarted, a frozen one resumes, and the
   * partition or the lack of the store of one ends. */
  int64_t restart_at_ms[CELLS];
  int64_t resume_at_ms[CELLS];
  int64_t partition_end_ms[CELLS];
  int64_t store_back_at_ms[CELLS];
  /* Until then messages between daemons, and responses of the policy service,
   * are lost. */
  int64_t messages_lost_until_ms;
  int64_t approvals_lost_until_ms;
  /* Until then the worker has a fault. */
  int64_t worker_fault_until_ms[WORLD_WORKERS_MAX];
  bool unlisted[WORLD_WORKERS_MAX];
  uint32_t removed_workers; /* so far */
  uint32_t job_count;
  uint64_t call[JOBS_MAX];
  char job[JOBS_MAX][MUX_JOB_ID_LEN];
} Play;

static uint32_t
draw (Play *play, uint32_t below)
{
  play->random ^= play->random << 13;
  play->random ^= play->random >> 7;
  play->random ^= play->random << 17;
  return (uint32_t) (play->random >> 32) % below;
}

static int64_t
fault_end_ms (Play *play, uint32_t most_ms)
{
  return play->world->now_ms + 1 + draw (play, most_ms);
}

static uint32_t
first_running_daemon (const Play *play, uint32_t from)
{
  for (uint32_t i = 0; i < CELLS; i++)
    {
      const WorldCell *cell = &play->world->cell[(from + i) % CELLS];

      if (!cell->dead && !cell->frozen)
        return (from + i) % CELLS;
    }
  return CELLS;
}

/* One task a worker where the approved third has enough of them; one rack,
 * if it has room; or as much memory for a task as half of a worker has. */
static void
vary (Play *play, MuxJobSpec *job)
{
  uint32_t kind = draw (play, 4);

  for (uint32_t i = 0; i < job->step_count; i++)
    {
      if (kind == 0 && job->step[i].count <= 32)
        job->step[i].per_worker_max = 1;
      else if (kind == 1)
        job->step[i].rack_sensitive = true;
      else if (kind == 2)
        job->step[i].size.mem_mib = 50992;
    }
}

/* Widths and sizes at which the approved third holds it, with some workers
 * lost. */
static void
submit_gang (Play *play)
{
  static const uint32_t width[] = { 20, 32, 56, 12 };
  static const uint32_t cpu_milli[] = { 30000, 30000, 15000, 10000 };
  uint32_t kind = draw (play, 4);
  uint32_t cell = first_running_daemon (play, draw (play, CELLS));
  MuxJobSpec *job;

  if (cell == CELLS || play->job_count == JOBS_MAX)
    return;
  job = world_job (1 + draw (play, 2), width[kind], cpu_milli[kind]);
  for (uint32_t i = 0; i < job->step_count; i++)
    job->step[i].gang = true;
  if (play->more)
    vary (play, job);
  snprintf (play->job[play->job_count], MUX_JOB_ID_LEN, "gang-%u",
            play->job_count);
  play->call[play->job_count]
      = world_submit (play->world, cell, job, play->job[play->job_count]);
  play->job_count++;
}

static void
submit_tasks (Play *play)
{
  uint32_t cell = first_running_daemon (play, draw (play, CELLS));

  if (cell == CELLS || play->job_count == JOBS_MAX)
    return;
  snprintf (play->job[play->job_count], MUX_JOB_ID_LEN, "tasks-%u",
            play->job_count);
  play->call[play->job_count] = world_submit (
      play->world, cell, world_job (1, 1 + draw (play, 12), 9000),
      play->job[play->job_count]);
  play->job_count++;
}

static void
daemon_dies (Play *play, int64_t back_ms)
{
  uint32_t cell = draw (play, CELLS);

  world_cell_kill (play->world, cell);
  play->resume_at_ms[cell] = 0;
  play->restart_at_ms[cell] = back_ms;
}

/* Removes a worker permanently; few enough that the gangs still fit. */
static void
remove_worker (Play *play, uint32_t number)
{
  if (play->removed_workers++ >= REMOVED_WORKERS_MAX)
    return;
  world_worker_restart (play->world, number);
  world_worker_set_unlisted (play->world, number, true);
  play->world->worker[number].used = false;
}

static void
make_workers_fail (Play *play, Fault fault)
{
  uint32_t count = 1 + draw (play, 10);

  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t number = draw (play, play->workers);
      WorldWorker *worker = &play->world->worker[number];

      if (!worker->used)
        continue;
      if (fault == FAULT_COMMANDS)
        worker->fault = (WorldFault) (1 + draw (play, 3));
      worker->unreachable = worker->unreachable || fault == FAULT_WORKERS_CUT;
      worker->fails = worker->fails || fault == FAULT_WORKERS_FAIL;
      if (fault == FAULT_WORKERS_RESTART)
        world_worker_restart (play->world, number);
      if (fault == FAULT_WORKERS_DRAIN)
        world_worker_drains (play->world, number, true);
      if (fault == FAULT_WORKERS_UNLISTED)
        {
          world_worker_set_unlisted (play->world, number, true);
          play->unlisted[number] = true;
        }
      if (fault == FAULT_WORKERS_LEAVE)
        remove_worker (play, number);
      play->worker_fault_until_ms[number] = fault_end_ms (play, 6000);
    }
}

static void
begin_fault (Play *play)
{
  World *world = play->world;
  Fault fault
      = (Fault) draw (play, play->more ? FAULT_MORE_COUNT : FAULT_COUNT);
  uint32_t cell = draw (play, CELLS);

  if (fault == FAULT_DAEMON_RESTARTS)
    daemon_dies (play, world->now_ms + 1);
  else if (fault == FAULT_DAEMON_DIES)
    daemon_dies (play, fault_end_ms (play, 2500));
  else if (fault == FAULT_DAEMON_FREEZES)
    {
      world->cell[cell].frozen = true;
      play->resume_at_ms[cell] = fault_end_ms (play, 2000);
    }
  else if (fault == FAULT_DAEMON_CUT)
    {
      world->cell[cell].isolated = true;
      play->partition_end_ms[cell] = fault_end_ms (play, 1500);
    }
  else if (fault == FAULT_PEERS_CUT)
    {
      world->peers_cut = true;
      play->messages_lost_until_ms = fault_end_ms (play, 800);
    }
  else if (fault == FAULT_STORE)
    {
      world->cell[cell].store = (WorldFault) (1 + draw (play, 3));
      play->store_back_at_ms[cell] = fault_end_ms (play, 1500);
    }
  else if (fault == FAULT_APPROVALS_LOST)
    {
      world->lose_approvals = true;
      play->approvals_lost_until_ms = fault_end_ms (play, 1000);
    }
  else if (fault == FAULT_APPROVALS_SLOW && play->more)
    world_slow_approvals (world, 1 + draw (play, APPROVAL_QUERY_MS),
                          APPROVAL_QUERY_US_PER_WORKER);
  else if (fault == FAULT_APPROVALS_SLOW)
    world->approval_ms = 1 + draw (play, APPROVAL_TIMEOUT_MS);
  else
    make_workers_fail (play, fault);
}

static void
end_daemon_faults (Play *play, uint32_t i, int64_t now)
{
  WorldCell *cell = &play->world->cell[i];

  if (cell->dead && now >= play->restart_at_ms[i])
    world_cell_start (play->world, i);
  if (now >= play->resume_at_ms[i])
    cell->frozen = false;
  if (now >= play->partition_end_ms[i])
    cell->isolated = false;
  if (now >= play->store_back_at_ms[i])
    cell->store = WORLD_SERVES;
}

/* Ends the faults that were to last until @now. */
static void
end_faults (Play *play, int64_t now)
{
  for (uint32_t i = 0; i < CELLS; i++)
    end_daemon_faults (play, i, now);
  if (now >= play->messages_lost_until_ms)
    play->world->peers_cut = false;
  if (now >= play->approvals_lost_until_ms)
    play->world->lose_approvals = false;
  for (uint32_t i = 0; i < play->workers; i++)
    if (now >= play->worker_fault_until_ms[i])
      {
        if (play->unlisted[i] && play->world->worker[i].used)
          world_worker_set_unlisted (play->world, i, false);
        play->unlisted[i] = false;
        if (play->world->worker[i].info.draining)
          world_worker_drains (play->world, i, false);
        play->world->worker[i].fault = WORLD_SERVES;
        play->world->worker[i].unreachable = false;
        play->world->worker[i].fails = false;
      }
}

static void
play_faults (Play *play)
{
  World *world = play->world;
  int64_t end_ms = world->now_ms + FAULTS_MS;

  while (world->now_ms < end_ms)
    {
      world_run (world, STEP_MS);
      end_faults (play, world->now_ms);
      if (world->now_ms < play->next_fault_ms)
        continue;
      play->next_fault_ms = fault_end_ms (play, 2 * FAULT_INTERVAL_MS);
      begin_fault (play);
      if (draw (play, 4) == 0)
        submit_gang (play);
      if (draw (play, 2) == 0)
        submit_tasks (play);
    }
  end_faults (play, INT64_MAX);
}

static bool
is_accepted (const Play *play, uint32_t job)
{
  return play->world->answered[play->call[job]]
         && play->world->response[play->call[job]].outcome
                == MUX_RESPONSE_ACCEPTED;
}

static bool
has_ended (const World *world, const char *id)
{
  for (uint32_t i = 0; i < world->row_count; i++)
    if (world->row[i].table == MUX_TABLE_ENDED && !world->row[i].removed
        && strcmp (world->row[i].key, id) == 0)
      return true;
  return false;
}

/* Return: the first accepted job that has not ended; NULL: none. */
static const char *
first_unfinished_job (const Play *play)
{
  for (uint32_t i = 0; i < play->job_count; i++)
    if (is_accepted (play, i) && !has_ended (play->world, play->job[i]))
      return play->job[i];
  return NULL;
}

static void
run_to_the_end (Play *play, int64_t calm_ms)
{
  World *world = play->world;
  uint32_t starts = world->start_count;
  int64_t moved_ms = calm_ms + RECOVERY_MS;

  while (world->now_ms < calm_ms + ENDS_WITHIN_MS
         && world->now_ms < moved_ms + IDLE_MAX_MS
         && first_unfinished_job (play) != NULL)
    {
      world_run (world, 200);
      if (world->start_count != starts && world->now_ms > moved_ms)
        moved_ms = world->now_ms;
      starts = world->start_count;
    }
}

static void
assert_one_run_at_a_time (const World *world, uint64_t seed)
{
  for (uint32_t i = 0; i < world->start_count; i++)
    for (uint32_t j = 0; j < i; j++)
      {
        const WorldStart *a = &world->start[j];
        const WorldStart *b = &world->start[i];

        if (memcmp (&a->task, &b->task, sizeof a->task) == 0
            && (a->ended_ms == 0 || b->at_ms < a->ended_ms))
          fail_msg ("seed %llu: %s step %u task %u: run %u began at %lld on "
                    "worker %u, run %u at %lld on worker %u",
                    (unsigned long long) seed, a->task.job, a->task.step,
                    a->task.index, a->run, (long long) a->at_ms, a->worker,
                    b->run, (long long) b->at_ms, b->worker);
      }
}

static void
play_faults_of (uint64_t seed, uint32_t workers, bool more)
{
  Play *play = calloc (1, sizeof *play);
  World *world = world_new (CELLS, workers);
  const char *job;
  int64_t calm_ms;

  assert_non_null (play);
  play->world = world;
  play->workers = workers;
  play->more = more;
  play->random = seed * UINT64_C (0x9e3779b97f4a7c15) + 1;
  world->approve_one_in = APPROVED_ONE_IN;
  world->approval_ms = 1 + draw (play, APPROVAL_TIMEOUT_MS);
  world->approve_by_job = true;
  if (more)
    world_slow_approvals (world, APPROVAL_QUERY_MS,
                          APPROVAL_QUERY_US_PER_WORKER);
  world->task_ms = 300 + draw (play, 1000);
  world_run (world, 1000);
  for (uint32_t i = 0; i < 3; i++)
    submit_gang (play);
  play_faults (play);
  calm_ms = world->now_ms;
  run_to_the_end (play, calm_ms);
  job = first_unfinished_job (play);
  if (job != NULL)
    fail_msg ("seed %llu: %s has not ended %lld ms after the last fault",
              (unsigned long long) seed, job,
              (long long) (world->now_ms - calm_ms));
  assert_one_run_at_a_time (world, seed);
  if (getenv ("GANG_SEED") != NULL)
    print_message ("seed %llu: %u jobs, all ended after %lld ms\n",
                   (unsigned long long) seed, play->job_count,
                   (long long) (world->now_ms - calm_ms));
  world_free (world);
  free (play);
}

static void
play_seed (uint64_t seed)
{
  play_faults_of (seed, WORKERS, false);
}

static uint64_t
number_of (const char *variable, uint64_t otherwise)
{
  const char *text = getenv (variable);

  return text != NULL ? strtoull (text, NULL, 10) : otherwise;
}

/*
 * Steps of wide gangs need an approval query, room on a dozen workers at once,
 * approvals and starts that all arrive. What any of these leaves behind when
 * it is lost, such as a query that counts as in flight, room that counts as
 * booked or a worker as not approved, must expire by itself: else a gang waits
 * for ever while the cell is idle, and its caller sees nothing.
 */
static void
test_gangs_end_after_any_faults (void **state)
{
  uint64_t first = number_of ("GANG_SEED", 1);
  uint64_t count
      = number_of ("GANG_SEEDS", getenv ("GANG_SEED") != NULL ? 1 : SEEDS);

  (void) state;
  for (uint64_t i = 0; i < count; i++)
    play_seed (first + i);
}

/* The same with workers that drain, expire from the list and leave, queries
 * that take as long as those of many workers do, and gangs bound to one task
 * a worker, to one rack, or by memory. */
static void
test_gangs_end_after_more_faults (void **state)
{
  uint64_t first = number_of ("GANG_SEED", 1);
  uint64_t count
      = number_of ("GANG_SEEDS", getenv ("GANG_SEED") != NULL ? 1 : MORE_SEEDS);

  (void) state;
  for (uint64_t i = 0; i < count; i++)
    play_faults_of (first + i, (uint32_t) number_of ("GANG_WORKERS", WORKERS),
                    true);
}

/*
 * The planner's process is killed with proxied calls in flight, restarts, and
 * plans again at once. A worker refuses a command of the previous process, as
 * it has seen the new one, and the proxy reports so. If the new process has a
 * start with the same number in flight it takes that for refused, and starts
 * the task a second time while it runs.
 */
static void
test_response_to_a_previous_process_ends_no_call (void **state)
{
  (void) state;
  play_seed (53);
  play_seed (375);
  play_seed (780);
}

/*
 * The policy service gets slower than it was when the jobs arrived, by
 * somewhat less than the time by which a response may be late. Under load
 * responses arrive a few ms after their time-out, repeatedly, and a gang of
 * twelve waits for 25 s with most of the cell free.
 */
static void
test_policy_service_slower_than_configured_delays_no_gang (void **state)
{
  (void) state;
  play_faults_of (353, WORKERS, true);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_gangs_end_after_any_faults),
    cmocka_unit_test (test_gangs_end_after_more_faults),
    cmocka_unit_test (test_response_to_a_previous_process_ends_no_call),
    cmocka_unit_test (
        test_policy_service_slower_than_configured_delays_no_gang),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
