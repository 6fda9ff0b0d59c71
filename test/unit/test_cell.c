#include "support/cell_world.h"
#include "support/test.h"

#define CELLS 3
#define WORKERS 4
/* A takeover and the waiting times that it includes. */
#define TAKEOVER_MS 4000
/* A successor waits so long for a worker it has not heard from: the time for
 * which its predecessor trusts its claim, and a lease. */
#define UNCONFIRMED_WAIT_MS 13000

static uint32_t
daemon_other_than (uint32_t cell)
{
  return (cell + 1) % CELLS;
}

static void
assert_accepted (World *world, uint64_t call)
{
  assert_true (world->answered[call]);
  assert_int_equal (world->response[call].outcome, MUX_RESPONSE_ACCEPTED);
}

static MuxJobSpec *
gang (uint32_t tasks, uint32_t cpu_milli)
{
  MuxJobSpec *job = world_job (1, tasks, cpu_milli);

  job->step[0].gang = true;
  return job;
}

static void
test_steps_in_order (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint64_t call = world_submit (world, 0, world_job (2, 3, 1000), "job-a");

  (void) state;
  world_run (world, 200);
  assert_accepted (world, call);
  assert_int_equal (world_state (world, 1, "job-a"), MUX_JOB_ACTIVE);
  assert_int_equal (world_starts (world, "job-a"), 3);
  world_run (world, 3000);
  assert_int_equal (world_starts (world, "job-a"), 6);
  for (uint32_t i = 0; i < 3; i++)
    assert_true (world->start[3 + i].at_ms >= world->start[i].ended_ms);
  for (uint32_t cell = 0; cell < CELLS; cell++)
    assert_int_equal (world_state (world, cell, "job-a"), MUX_JOB_COMPLETED);
  assert_int_equal (world_state (world, 0, "job-b"), MUX_JOB_ABSENT);
  assert_false (world_double_run (world));
  world_free (world);
}

static void
test_same_id_is_one_job (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint64_t a = world_submit (world, 0, world_job (1, 1, 1000), "job-a");
  uint64_t b = world_submit (world, 0, world_job (1, 1, 1000), "job-a");
  uint64_t c = world_submit (world, 1, world_job (1, 1, 1000), "job-a");
  uint64_t d;

  (void) state;
  world_run (world, 3000);
  d = world_submit (world, 2, world_job (1, 1, 1000), "job-a");
  world_run (world, 2000);
  assert_accepted (world, a);
  assert_accepted (world, b);
  assert_accepted (world, c);
  assert_accepted (world, d);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world_free (world);
}

/* The store commits a job and its response is lost. If the daemon reported
 * "not accepted", the caller would submit the job elsewhere and it would be
 * done twice. The daemon must report "accepted" or "unknown". */
static void
test_unanswered_commit_is_never_refused (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint64_t lost;
  uint64_t known;

  (void) state;
  world->cell[0].store = WORLD_LOSES_ANSWER;
  lost = world_submit (world, 0, world_job (1, 1, 1000), "job-a");
  world_run (world, 100);
  world->cell[0].store = WORLD_REFUSES;
  world_run (world, 5000);
  assert_true (world->answered[lost]);
  assert_int_equal (world->response[lost].outcome, MUX_RESPONSE_UNKNOWN);
  world->cell[0].store = WORLD_SERVES;
  world_run (world, 1000);
  known = world_submit (world, 0, world_job (1, 1, 1000), "job-a");
  world_run (world, 1000);
  assert_accepted (world, known);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world_free (world);
}

/* The store is unreachable for one daemon. A caller that waits until its
 * deadline can't use another daemon in time; it must be refused within a
 * fraction of a second, and the refusal must be true. */
static void
test_refusal_without_store_is_early_and_true (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint64_t call;

  (void) state;
  world->cell[0].store = WORLD_REFUSES;
  call = world_submit (world, 0, world_job (1, 1, 1000), "job-a");
  world_run (world, 500);
  assert_true (world->answered[call]);
  assert_int_equal (world->response[call].outcome, MUX_RESPONSE_REFUSED);
  assert_true (world->response[call].retry_ms > 0);
  world->cell[0].store = WORLD_SERVES;
  world_run (world, 3000);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_ABSENT);
  assert_int_equal (world_starts (world, "job-a"), 0);
  world_free (world);
}

/* The planner dies while tasks run. Its successor must adopt the running
 * tasks from the workers' lists: started again they would run twice,
 * forgotten the job would never end. */
static void
test_successor_adopts_running_tasks (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint64_t call;

  (void) state;
  world->task_ms = 6000;
  call = world_submit (world, daemon_other_than (planner),
                       world_job (1, 4, 1000), "job-a");
  world_run (world, 500);
  assert_accepted (world, call);
  assert_int_equal (world_starts (world, "job-a"), 4);
  world_cell_kill (world, planner);
  world_run (world, 10000);
  assert_int_not_equal (world_planner (world), planner);
  assert_int_equal (world_starts (world, "job-a"), 4);
  assert_int_equal (world_state (world, daemon_other_than (planner), "job-a"),
                    MUX_JOB_COMPLETED);
  assert_false (world_double_run (world));
  world_free (world);
}

/* A gang completes just as its planner is replaced. The successor learns of
 * the success while the gang is still in its plan; it must not start the
 * gang again, and the room of members not yet listed as ended stays booked. */
static void
test_ended_gang_is_not_started_again (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);

  (void) state;
  (void) world_submit (world, daemon_other_than (planner), gang (6, 9000),
                       "job-a");
  world_run (world, 900);
  assert_int_equal (world_starts (world, "job-a"), 6);
  world_cell_kill (world, planner);
  world_run (world, TAKEOVER_MS);
  assert_int_equal (world_starts (world, "job-a"), 6);
  assert_int_equal (world_state (world, daemon_other_than (planner), "job-a"),
                    MUX_JOB_COMPLETED);
  world_free (world);
}

/* A planner is frozen while another takes over, and resumes with all its
 * state. Its next commands would start tasks that its successor runs
 * elsewhere; it must read the claim before it sends any command. */
static void
test_resumed_planner_sends_no_command (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);

  (void) state;
  world->task_ms = 2000;
  (void) world_submit (world, daemon_other_than (planner),
                       world_job (2, 4, 9000), "job-a");
  world_run (world, 500);
  world->cell[planner].frozen = true;
  world_run (world, 5000);
  assert_int_not_equal (world_planner (world), planner);
  world->cell[planner].frozen = false;
  world_run (world, 5000);
  assert_int_equal (world_state (world, planner, "job-a"), MUX_JOB_COMPLETED);
  assert_int_equal (world_starts (world, "job-a"), 8);
  assert_false (world_double_run (world));
  world_free (world);
}

/* A worker becomes unreachable and keeps running. Its task may be started
 * elsewhere only once its lease has certainly expired there, however slow
 * its clock. */
static void
test_lost_worker_runs_until_its_lease_ends (void **state)
{
  World *world = world_new (1, 2);

  (void) state;
  world->task_ms = 20000;
  (void) world_submit (world, 0, world_job (1, 1, 1000), "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world->worker[world->start[0].worker].unreachable = true;
  world_run (world, 3500);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world_run (world, 4000);
  assert_int_equal (world_starts (world, "job-a"), 2);
  assert_int_not_equal (world->start[0].worker, world->start[1].worker);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * A worker and the planner are lost at the same moment. The successor has
 * never heard from that worker: what ran there is started again only after the
 * longest time that it can still run, while jobs that can't have run there go
 * on at once.
 */
static void
test_unconfirmed_worker_blocks_only_its_own_jobs (void **state)
{
  World *world = world_new (CELLS, 1);
  uint32_t planner = world_planner (world);
  uint32_t other = daemon_other_than (planner);

  (void) state;
  world->task_ms = 30000;
  (void) world_submit (world, other, world_job (1, 1, 1000), "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world->worker[0].unreachable = true;
  world_cell_kill (world, planner);
  world_run (world, TAKEOVER_MS);
  world_worker_copy (world, 1, 0);
  world->worker[1].unreachable = false;
  snprintf (world->worker[1].info.addr, MUX_ADDR_LEN, "10.1.0.99:8000");
  world_worker_restart (world, 1);
  /* The restart of the copy removed the incarnation it was copied from. */
  world->start[0].ended_ms = 0;
  (void) world_submit (world, other, world_job (1, 1, 1000), "job-b");
  world_run (world, 1000);
  assert_int_equal (world_starts (world, "job-b"), 1);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world_run (world, UNCONFIRMED_WAIT_MS);
  assert_int_equal (world_starts (world, "job-a"), 2);
  world_free (world);
}

/* A start is carried out and its response is lost. It is unknown whether the
 * task runs; started elsewhere at once it might run twice. */
static void
test_start_of_unknown_fate_is_resolved_first (void **state)
{
  World *world = world_new (1, 2);
  uint32_t first;

  (void) state;
  for (uint32_t i = 0; i < 2; i++)
    world->worker[i].fault = WORLD_LOSES_ANSWER;
  (void) world_submit (world, 0, world_job (1, 1, 1000), "job-a");
  world_run (world, 400);
  first = world->start[0].worker;
  for (uint32_t i = 0; i < 2; i++)
    world->worker[i].fault = WORLD_SERVES;
  world_run (world, 6000);
  assert_true (first < 2);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
  assert_false (world_double_run (world));
  world_free (world);
}

/* An approval query is lost with the daemon that put it. The workers it
 * named must be queried again, else a gang waits for ever beside idle
 * workers. */
static void
test_lost_approval_query_is_retried (void **state)
{
  World *world = world_new (1, WORKERS);

  (void) state;
  world->lose_approvals = true;
  (void) world_submit (world, 0, gang (6, 9000), "job-a");
  world_run (world, 1000);
  assert_int_equal (world_starts (world, "job-a"), 0);
  world->lose_approvals = false;
  world_run (world, 3000);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
  world_free (world);
}

/*
 * A task fails every time, on two workers; the planner dies in between, and
 * its successor learns of the ends in the order of the workers' lists. Each
 * failed run counts once: one too few and the task is tried more often than
 * its queue allows, one too many and a sound job is given up.
 */
static void
test_attempts_are_counted_over_a_takeover (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t other = daemon_other_than (planner);

  (void) state;
  world->task_ms = 300;
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].fails = true;
  /* No end is stored any more, so that all of them stay in the lists. */
  (void) world_submit (world, other, world_job (1, 1, 1000), "job-a");
  world_run (world, 150);
  world->cell[planner].store = WORLD_REFUSES;
  world_run (world, 900);
  world_cell_kill (world, planner);
  world_run (world, TAKEOVER_MS);
  assert_int_equal (world_state (world, other, "job-a"), MUX_JOB_FAILED);
  assert_int_equal (world_starts (world, "job-a"), 3);
  world_free (world);
}

/* Jobs arrive while the store trims its change history: the planner's feed
 * ends, and a reread that missed the parts with these jobs would leave them
 * waiting for ever and report none of them as pending. */
static void
test_trimmed_history_is_reread (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t other = daemon_other_than (planner);

  (void) state;
  world->cell[planner].store = WORLD_REFUSES;
  world_run (world, 5200);
  (void) world_submit (world, other, world_job (1, 1, 1000), "job-a");
  (void) world_submit (world, other, world_job (1, 1, 1000), "job-b");
  (void) world_submit (world, other, world_job (1, 1, 1000), "job-c");
  world_run (world, 50);
  world->compacted_version = world->version;
  world->cell[planner].store = WORLD_SERVES;
  world_run (world, 5000);
  assert_int_equal (world_state (world, other, "job-a"), MUX_JOB_COMPLETED);
  assert_int_equal (world_state (world, other, "job-b"), MUX_JOB_COMPLETED);
  assert_int_equal (world_state (world, other, "job-c"), MUX_JOB_COMPLETED);
  world_free (world);
}

static void
test_cancel_stops_what_runs (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t other = daemon_other_than (planner);
  uint64_t cancel;

  (void) state;
  world->task_ms = 5000;
  (void) world_submit (world, other, world_job (2, 4, 1000), "job-a");
  world_run (world, 500);
  cancel = world_request (world, other, MUX_REQUEST_CANCEL, "job-a");
  world_run (world, 500);
  assert_true (world->answered[cancel]);
  assert_int_equal (world->response[cancel].outcome, MUX_RESPONSE_CANCELLED);
  for (uint32_t i = 0; i < world->start_count; i++)
    assert_int_equal (world->start[i].end, MUX_RUN_STOPPED);
  world_run (world, 3000);
  assert_int_equal (world_starts (world, "job-a"), 4);
  for (uint32_t cell = 0; cell < CELLS; cell++)
    assert_int_equal (world_state (world, cell, "job-a"), MUX_JOB_CANCELLED);
  cancel = world_request (world, other, MUX_REQUEST_CANCEL, "job-z");
  world_run (world, 500);
  assert_int_equal (world->response[cancel].outcome, MUX_RESPONSE_NO_JOB);
  world_free (world);
}

/* A worker's tasks make no progress while its health is good. They are
 * stopped and run elsewhere; a gang member that has finished and waits for
 * the others is left alone. */
static void
test_hung_tasks_run_elsewhere (void **state)
{
  World *world = world_new (1, 2);

  (void) state;
  world->worker[0].stuck_percent = 40;
  world->worker[1].stuck_percent = 40;
  (void) world_submit (world, 0, world_job (1, 1, 1000), "job-a");
  world_run (world, 300);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world->worker[0].stuck_percent = 0;
  world->worker[1].stuck_percent = 0;
  for (uint32_t i = 0; i < 2; i++)
    if (world->worker[i].run_end > 0)
      world->worker[i].run[0].percent = 40;
  world->worker[world->start[0].worker].stuck_percent = 40;
  world_run (world, 8000);
  assert_true (world_starts (world, "job-a") >= 2);
  assert_int_equal (world->start[0].end, MUX_RUN_STOPPED);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
  assert_false (world_double_run (world));
  world_free (world);
}

static void
test_finished_gang_member_is_not_stopped (void **state)
{
  World *world = world_new (1, 1);

  (void) state;
  world->worker[0].stuck_percent = 100;
  (void) world_submit (world, 0, gang (2, 9000), "job-a");
  world_run (world, 9000);
  assert_int_equal (world_starts (world, "job-a"), 2);
  assert_int_equal (world->start[0].ended_ms, 0);
  world_free (world);
}

/* A worker crashes and a new incarnation answers at its address. The tasks
 * of the previous incarnation are known to be gone: they are started again
 * at once rather than after the lease. */
static void
test_new_incarnation_frees_tasks_at_once (void **state)
{
  World *world = world_new (1, 1);

  (void) state;
  world->task_ms = 3000;
  (void) world_submit (world, 0, world_job (1, 2, 1000), "job-a");
  world_run (world, 500);
  world_worker_restart (world, 0);
  world_run (world, 1500);
  assert_int_equal (world_starts (world, "job-a"), 4);
  world_run (world, 4000);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
  world_free (world);
}

static void
test_room_is_never_exceeded (void **state)
{
  World *world = world_new (CELLS, 2);
  uint32_t used[2];

  (void) state;
  for (uint32_t i = 0; i < 12; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, i % CELLS, world_job (1, 3, 7000), id);
    }
  world_run (world, 15000);
  for (uint32_t i = 0; i < world->start_count; i++)
    {
      used[0] = used[1] = 0;
      for (uint32_t j = 0; j < world->start_count; j++)
        if (world->start[j].at_ms <= world->start[i].at_ms
            && (world->start[j].ended_ms == 0
                || world->start[j].ended_ms > world->start[i].at_ms))
          used[world->start[j].worker] += 7000;
      assert_true (used[0] <= 32000 && used[1] <= 32000);
    }
  assert_int_equal (world_state (world, 0, "job-11"), MUX_JOB_COMPLETED);
  world_free (world);
}

/* Daemons are restarted one after the other. A planner that stops names its
 * successor, which plans at once instead of after the silence by which a
 * dead planner is detected. */
static void
test_stopping_planner_hands_over (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);

  (void) state;
  (void) world_submit (world, daemon_other_than (planner),
                       world_job (2, 4, 1000), "job-a");
  world_run (world, 300);
  mux_cell_stop (world->cell[planner].cell,
                 (MuxCellTime){ world->now_ms, 1700000000000, world->now_ms });
  world_run (world, 400);
  assert_true (mux_cell_stopped (world->cell[planner].cell));
  assert_int_not_equal (world_planner (world), planner);
  assert_true (world_planner (world) < WORLD_CELLS_MAX);
  world_run (world, 4000);
  assert_int_equal (world_state (world, daemon_other_than (planner), "job-a"),
                    MUX_JOB_COMPLETED);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * Messages between the daemons are lost, while all of them reach the store and
 * the workers. No daemon hears from the planner; if that were enough to claim,
 * planners would replace each other every second and little would be
 * scheduled.
 */
static void
test_cut_between_daemons_keeps_the_planner (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);

  (void) state;
  world->peers_cut = true;
  world_run (world, 8000);
  assert_int_equal (world_planner (world), planner);
  assert_true (world_claim_version (world) < 40);
  (void) world_submit (world, daemon_other_than (planner),
                       world_job (1, 2, 1000), "job-a");
  world_run (world, 2000);
  assert_int_equal (world_state (world, daemon_other_than (planner), "job-a"),
                    MUX_JOB_COMPLETED);
  world_free (world);
}

/* All processes are killed at once and start again, and callers return at
 * once. While a daemon waits for the dead planner's silence to time out,
 * nobody is served. */
static void
test_all_restarted_plan_at_once (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint64_t call;

  (void) state;
  world->task_ms = 3000;
  (void) world_submit (world, 0, world_job (1, 4, 1000), "job-a");
  world_run (world, 500);
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_start (world, i);
  world_run (world, 300);
  call = world_submit (world, 0, world_job (1, 2, 1000), "job-b");
  world_run (world, 500);
  assert_accepted (world, call);
  assert_int_equal (world_starts (world, "job-b"), 2);
  world_run (world, 3000);
  assert_int_equal (world_state (world, 1, "job-a"), MUX_JOB_COMPLETED);
  assert_int_equal (world_starts (world, "job-a"), 4);
  world_free (world);
}

/* The store is unreachable for one daemon and serves the others. The planner
 * stores jobs of that daemon's callers for it; refused, they would have to
 * find another daemon themselves. */
static void
test_daemon_without_store_relays_jobs_to_the_planner (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t other = daemon_other_than (world_planner (world));
  uint64_t call;

  (void) state;
  world_run (world, 1000);
  world->cell[other].store = WORLD_REFUSES;
  world_run (world, 3000);
  call = world_submit (world, other, world_job (1, 2, 1000), "job-a");
  world_run (world, 100);
  assert_accepted (world, call);
  world_run (world, 3000);
  assert_int_equal (world_state (world, other, "job-a"), MUX_JOB_COMPLETED);
  world_free (world);
}

/* The planner dies with a job that it was asked to store. It is unknown
 * whether it did; the daemon that asked stores the job itself, once. */
static void
test_relayed_job_survives_the_planner (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t other = daemon_other_than (planner);
  uint64_t call;

  (void) state;
  world_run (world, 1000);
  call = world_submit (world, other, world_job (1, 2, 1000), "job-a");
  world_cell_kill (world, planner);
  world_run (world, 2000);
  assert_accepted (world, call);
  world_run (world, 6000);
  assert_int_equal (world_state (world, other, "job-a"), MUX_JOB_COMPLETED);
  assert_int_equal (world_starts (world, "job-a"), 2);
  world_free (world);
}

static void
test_occurrences_at_their_times (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t other = daemon_other_than (planner);
  MuxJobSpec *job = world_job (1, 1, 1000);
  int64_t first_ms = world->now_ms + 1000;

  (void) state;
  job->first_due_ms = 1700000000000 + first_ms;
  job->repetitions = 3;
  job->interval_ms = 2000;
  (void) world_submit (world, other, job, "job-a");
  world_run (world, 900);
  assert_int_equal (world_starts (world, "job-a"), 0);
  world_run (world, 400);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world_cell_kill (world, planner);
  world_run (world, 7000);
  assert_int_equal (world_starts (world, "job-a"), 3);
  for (uint32_t i = 0; i < 3; i++)
    {
      assert_int_equal (world->start[i].task.occurrence, i);
      assert_true (world->start[i].at_ms >= first_ms + 2000 * (int64_t) i);
    }
  assert_int_equal (world_state (world, other, "job-a"), MUX_JOB_COMPLETED);
  world_free (world);
}

/* A long-running task ends, successfully or not. Its users are without it
 * until it runs again; it never exhausts its attempts and only a cancel ends
 * it. */
static void
test_long_running_is_restarted (void **state)
{
  World *world = world_new (1, 2);
  MuxJobSpec *job = world_job (1, 2, 1000);

  (void) state;
  job->step[0].long_running = true;
  world->task_ms = 500;
  world->worker[0].fails = true;
  world->worker[1].fails = true;
  (void) world_submit (world, 0, job, "job-a");
  world_run (world, 12000);
  assert_true (world_starts (world, "job-a") >= 12);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_ACTIVE);
  (void) world_request (world, 0, MUX_REQUEST_CANCEL, "job-a");
  world_run (world, 1500);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_CANCELLED);
  world_free (world);
}

static const WorldRun *
running (const World *world, const char *job)
{
  for (uint32_t i = 0; i < world->worker[0].run_end; i++)
    if (world->worker[0].run[i].used && world->worker[0].run[i].number == 0
        && strcmp (world->worker[0].run[i].task.job, job) == 0)
      return &world->worker[0].run[i];
  return NULL;
}

/* A task that fills spare room runs beside a service, whose response times then
 * exceed their target. The filling task must not go on working there, must not
 * return soon, and must end once the service has time to spare. */
static void
test_filling_task_stops_working_beside_a_slow_service (void **state)
{
  World *world = world_new (1, 1);
  MuxJobSpec *serving = world_job (1, 1, 1000);
  MuxJobSpec *filling = world_job (1, 1, 0);

  (void) state;
  world->task_ms = 60000;
  serving->step[0].long_running = true;
  serving->step[0].tail_target_ms = 100;
  filling->step[0].best_effort = true;
  (void) world_submit (world, 0, serving, "job-a");
  (void) world_submit (world, 0, filling, "job-b");
  world_run (world, 3000);
  assert_int_equal (world_starts (world, "job-a"), 1);
  assert_int_equal (world_starts (world, "job-b"), 1);
  world->worker[0].usage = 150;
  world_run (world, 2500);
  assert_non_null (running (world, "job-b"));
  assert_int_equal (running (world, "job-b")->pace, 0);
  world_run (world, 7500);
  assert_null (running (world, "job-b"));
  assert_int_equal (world_starts (world, "job-b"), 1);
  world->worker[0].usage = 50;
  world_run (world, 12000);
  assert_int_equal (world_starts (world, "job-b"), 2);
  assert_int_equal (running (world, "job-b")->pace, 100);
  world_free (world);
}

/*
 * On a large cell other daemons proxy the planner's calls to workers. One of
 * them dies with calls in flight: what it was asked to start may run or not;
 * it must run once all the same, and the planner must go on without the proxy.
 */
static void
test_proxy_dies_with_calls_in_flight (void **state)
{
  World *world = world_new (CELLS, 100);
  uint32_t planner = world_planner (world);
  uint32_t proxy = daemon_other_than (planner);

  (void) state;
  world_run (world, 1500);
  assert_true (world->worker_calls[proxy] > 0);
  for (uint32_t i = 0; i < 10; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, planner, world_job (1, 20, 1000), id);
    }
  world_run (world, 120);
  world_cell_kill (world, proxy);
  world_run (world, 16000);
  for (uint32_t i = 0; i < 10; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "job-%u", i);
      assert_int_equal (world_state (world, planner, id), MUX_JOB_COMPLETED);
    }
  assert_false (world_double_run (world));
  assert_int_equal (world_planner (world), planner);
  world_free (world);
}

/*
 * A gang waits until its approvals have expired. When its room is free it
 * queries again and holds the room meanwhile; what it holds must count as room
 * for itself, else it finds none when the response arrives and starts only
 * when the hold is released, 0.9 s later.
 */
static void
test_gang_starts_on_the_room_it_holds (void **state)
{
  World *world = world_new (1, 1);

  (void) state;
  world->task_ms = 4000;
  (void) world_submit (world, 0, world_job (1, 1, 32000), "job-a");
  world_run (world, 300);
  (void) world_submit (world, 0, gang (3, 9000), "job-b");
  world_run (world, 4400);
  assert_int_equal (world_starts (world, "job-b"), 3);
  world_free (world);
}

/*
 * Several tasks end on one worker at the same time, and it lists their ends
 * with the last one first. Processed by their numbers in that order, all but
 * that one would look like ends already reported: they would be acknowledged,
 * never counted, and their tasks run again.
 */
static void
test_ends_are_processed_in_any_order (void **state)
{
  World *world = world_new (CELLS, 1);

  (void) state;
  world->reports_newest_first = true;
  (void) world_submit (world, 0, world_job (1, 3, 1000), "job-a");
  world_run (world, 6000);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
  assert_int_equal (world_starts (world, "job-a"), 3);
  world_free (world);
}

static void
test_unknown_queue (void **state)
{
  World *world = world_new (1, 1);
  MuxRequest *request = calloc (1, sizeof *request);

  (void) state;
  request->verb = MUX_REQUEST_QUERY;
  request->call_id = 200;
  request->host = strdup ("other.example");
  request->path = strdup ("/batch/x");
  mux_cell_request (
      world->cell[0].cell,
      (MuxCellTime){ world->now_ms, 1700000000000, world->now_ms }, request);
  assert_true (world->answered[200]);
  assert_int_equal (world->response[200].outcome, MUX_RESPONSE_NO_QUEUE);
  world_free (world);
}

static void
send_bytes (World *world, MuxPeerVerb verb, const char *bytes, size_t len)
{
  uint32_t planner = world_planner (world);
  MuxPeerMsg msg = { .verb = verb, .call_id = 1 };
  MuxCellTime time
      = { world->now_ms, WORLD_WALL_MS + world->now_ms, world->now_ms };

  snprintf (msg.from, sizeof msg.from, "entry-%u", daemon_other_than (planner));
  msg.body = mux_blob_new (bytes, len);
  mux_cell_peer (world->cell[planner].cell, time, &msg);
  mux_blob_unref (msg.body);
}

/*
 * A daemon of another version asks for a proxied call to a worker, or reports
 * the end of one, in bytes that this one can't read: JSON, lists that are too
 * short, truncated or claim to hold billions, numbers in place of texts. They
 * call no worker, end no call and allocate no memory for the claimed length,
 * for which nine bytes asked for 128 GB; jobs go on.
 */
static void
test_malformed_proxied_calls_have_no_effect (void **state)
{
  static const struct
  {
    const char *bytes;
    size_t len;
  } bad[] = {
    { "", 0 },
    { "[0,1,[]]", 8 },
    { "\x93\x01\x02\x03", 4 },
    { "\x94\x05\x00\x01\xdd\xff\xff\xff\xff", 9 },
    { "\x94\x05\x7f\x01\x90", 5 },
    { "\xdc\x00\x10\x05\x05\x05\x05\x05\x05\x05\x05\x05\x05\x05\x05"
      "\x05\x05\x05\x05",
      19 },
  };
  World *world = world_new (CELLS, 4);
  uint32_t before;

  (void) state;
  world_run (world, 1000);
  before = world->worker_calls[world_planner (world)];
  for (uint32_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      send_bytes (world, MUX_PEER_PROXY_CALL, bad[i].bytes, bad[i].len);
      send_bytes (world, MUX_PEER_PROXY_REPLY, bad[i].bytes, bad[i].len);
    }
  assert_int_equal (world->worker_calls[world_planner (world)], before);
  (void) world_submit (world, world_planner (world), world_job (1, 1, 1000),
                       "job-a");
  world_run (world, 3000);
  assert_int_equal (world_state (world, world_planner (world), "job-a"),
                    MUX_JOB_COMPLETED);
  world_free (world);
}

/* Callers are promised a count no older than this. */
#define COUNT_AGE_MS 2000
#define WAITING_JOBS 5

/* Guards against a caller that is told for ever that nothing waits in a
 * queue. */
static void
test_count_of_a_queue_is_recent (void **state)
{
  World *world = world_new (CELLS, 1);
  uint32_t planner = world_planner (world);
  uint64_t call;

  (void) state;
  world_run (world, 1000);
  call = world_request (world, planner, MUX_REQUEST_QUERY, "");
  world_run (world, 50);
  assert_int_equal (world->response[call].pending, 0);
  world->worker[0].fault = WORLD_REFUSES;
  for (uint32_t i = 0; i < WAITING_JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, planner, world_job (1, 1, 1000), id);
    }
  world_run (world, COUNT_AGE_MS);
  for (uint32_t i = 0; i < CELLS; i++)
    {
      call = world_request (world, i, MUX_REQUEST_QUERY, "");
      world_run (world, 50);
      assert_true (world->answered[call]);
      assert_int_equal (world->response[call].pending, WAITING_JOBS);
    }
  world_free (world);
}

#define MANY_ATTEMPTS 40

/* A job that fails on every run is started again for ever, and its caller
 * never learns of it; or it is given up before its queue's attempts are used.
 */
static void
test_job_of_many_attempts_ends (void **state)
{
  World *world = world_new (CELLS, 4);
  uint32_t planner = world_planner (world);

  (void) state;
  world_set_attempts (world, MANY_ATTEMPTS);
  for (uint32_t i = 0; i < 4; i++)
    world->worker[i].fails = true;
  world->task_ms = 50;
  world_run (world, 1000);
  (void) world_submit (world, planner, world_job (1, 1, 1000), "job-a");
  world_run (world, 60000);
  print_message ("%u starts\n", world_starts (world, "job-a"));
  assert_int_equal (world_state (world, planner, "job-a"), MUX_JOB_FAILED);
  assert_int_equal (world_starts (world, "job-a"), MANY_ATTEMPTS);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_steps_in_order),
    cmocka_unit_test (test_same_id_is_one_job),
    cmocka_unit_test (test_unanswered_commit_is_never_refused),
    cmocka_unit_test (test_refusal_without_store_is_early_and_true),
    cmocka_unit_test (test_successor_adopts_running_tasks),
    cmocka_unit_test (test_ended_gang_is_not_started_again),
    cmocka_unit_test (test_resumed_planner_sends_no_command),
    cmocka_unit_test (test_lost_worker_runs_until_its_lease_ends),
    cmocka_unit_test (test_unconfirmed_worker_blocks_only_its_own_jobs),
    cmocka_unit_test (test_start_of_unknown_fate_is_resolved_first),
    cmocka_unit_test (test_lost_approval_query_is_retried),
    cmocka_unit_test (test_attempts_are_counted_over_a_takeover),
    cmocka_unit_test (test_trimmed_history_is_reread),
    cmocka_unit_test (test_cancel_stops_what_runs),
    cmocka_unit_test (test_hung_tasks_run_elsewhere),
    cmocka_unit_test (test_finished_gang_member_is_not_stopped),
    cmocka_unit_test (test_new_incarnation_frees_tasks_at_once),
    cmocka_unit_test (test_room_is_never_exceeded),
    cmocka_unit_test (test_stopping_planner_hands_over),
    cmocka_unit_test (test_cut_between_daemons_keeps_the_planner),
    cmocka_unit_test (test_all_restarted_plan_at_once),
    cmocka_unit_test (test_daemon_without_store_relays_jobs_to_the_planner),
    cmocka_unit_test (test_relayed_job_survives_the_planner),
    cmocka_unit_test (test_occurrences_at_their_times),
    cmocka_unit_test (test_long_running_is_restarted),
    cmocka_unit_test (test_filling_task_stops_working_beside_a_slow_service),
    cmocka_unit_test (test_proxy_dies_with_calls_in_flight),
    cmocka_unit_test (test_malformed_proxied_calls_have_no_effect),
    cmocka_unit_test (test_count_of_a_queue_is_recent),
    cmocka_unit_test (test_job_of_many_attempts_ends),
    cmocka_unit_test (test_gang_starts_on_the_room_it_holds),
    cmocka_unit_test (test_ends_are_processed_in_any_order),
    cmocka_unit_test (test_unknown_queue),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
