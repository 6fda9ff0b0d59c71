#include "support/cell_world.h"
#include "support/test.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

/* Workspaces that compete for room: what the others lose while one sends ten
 * times its usual load, and what all get in a burst. */

#define CELLS 3
#define WORKERS 16
#define WORKSPACES 8
#define HOT 0
/* A gang of 8 tasks of 4.5 processors for two seconds, and a job of 3 tasks of
 * 4 for half a second, each 170 ms: with 0.83 of the room of 16 workers of 32
 * processors, in shares of an eighth by workspace. */
#define EACH_MS 170
#define GANG_TASKS 8
#define GANG_CPU_MILLI 4500
#define GANG_MS 2000
#define SMALL_TASKS 3
#define SMALL_CPU_MILLI 4000
#define SMALL_MS 500
#define SETTLE_MS 100
#define STEP_MS 10
#define TRIES_MAX 4
#define TRY_FOR_MS 3000
#define JOBS_MAX 3000
/* Promised: four times the run time and the query, and a second. */
#define GANG_DONE_MS 9000
#define SMALL_DONE_MS 3000
#define BEFORE_MS 4000
#define BURST_MS 10000
#define DRAIN_MS 12000
#define AT_ONCE_MS 50
/* After so long without a reply the planner's heartbeat counts, */
#define SILENT_MS 850
/* which names this wait, short enough that the planner does not count as
 * overloaded. */
#define QUEUE_WAIT_MS 900

static const char *const names[WORKSPACES]
    = { "ws-a", "ws-b", "ws-c", "ws-d", "ws-e", "ws-f", "ws-g", "ws-h" };

typedef struct
{
  char id[MUX_JOB_ID_LEN];
  uint32_t workspace;
  bool gang;
  int64_t sent_ms;
  int64_t try_ms;
  int64_t next_ms; /* of the next try; 0: none */
  uint32_t tries;
  uint64_t call;
  bool waits;
  bool accepted;
  int64_t answer_ms; /* time to the last refusal */
} Job;

typedef struct
{
  World *world;
  uint32_t count;
  int64_t due_us[WORKSPACES];
  Job job[JOBS_MAX];
} Play;

typedef struct
{
  uint32_t sent;
  uint32_t accepted;
  uint32_t in_time;
  uint32_t gangs;
  uint32_t gangs_in_time;
  int64_t slowest_refusal_ms;
} Sum;

static void
try_job (Play *play, Job *job)
{
  MuxJobSpec *spec = world_job (1, job->gang ? GANG_TASKS : SMALL_TASKS,
                                job->gang ? GANG_CPU_MILLI : SMALL_CPU_MILLI);
  uint32_t cell = job->tries++ % CELLS;

  while (play->world->cell[cell].dead)
    cell = (cell + 1) % CELLS;
  spec->step[0].gang = job->gang;
  spec->step[0].estimate_ms = job->gang ? GANG_MS : SMALL_MS;
  play->world->task_ms = job->gang ? GANG_MS : SMALL_MS;
  job->try_ms = play->world->now_ms;
  job->next_ms = 0;
  job->waits = true;
  world_set_key (play->world,
                 play->world->workspaces != NULL ? names[job->workspace] : "");
  job->call = world_submit (play->world, cell, spec, job->id);
}

static void
receive_answer (Play *play, Job *job)
{
  const MuxResponse *answer = &play->world->response[job->call];

  if (!job->waits || !play->world->answered[job->call])
    return;
  job->waits = false;
  job->accepted = answer->outcome == MUX_RESPONSE_ACCEPTED;
  if (answer->outcome != MUX_RESPONSE_REFUSED)
    return;
  job->answer_ms = play->world->now_ms - job->try_ms;
  if (job->tries < TRIES_MAX
      && play->world->now_ms + answer->retry_ms <= job->sent_ms + TRY_FOR_MS)
    job->next_ms = play->world->now_ms + answer->retry_ms;
}

static void
send_new (Play *play, uint32_t workspace, bool gang)
{
  Job *job = &play->job[play->count];

  assert_true (play->count < JOBS_MAX);
  snprintf (job->id, sizeof job->id, "job-%u", play->count++);
  job->workspace = workspace;
  job->gang = gang;
  job->sent_ms = play->world->now_ms;
  try_job (play, job);
}

/* Runs the world while each workspace sends @tenths[] / 10 times its usual. */
static void
play_for (Play *play, int64_t ms, const uint32_t *tenths)
{
  int64_t end_ms = play->world->now_ms + ms;

  while (play->world->now_ms < end_ms)
    {
      for (uint32_t i = 0; i < WORKSPACES; i++)
        for (play->due_us[i] += (int64_t) STEP_MS * 100 * tenths[i];
             play->due_us[i] >= (int64_t) EACH_MS * 1000 * WORKSPACES;
             play->due_us[i] -= (int64_t) EACH_MS * 1000 * WORKSPACES)
          {
            send_new (play, i, true);
            send_new (play, i, false);
          }
      for (uint32_t i = 0; i < play->count; i++)
        {
          Job *job = &play->job[i];

          receive_answer (play, job);
          if (job->next_ms != 0 && play->world->now_ms >= job->next_ms)
            try_job (play, job);
        }
      world_run (play->world, STEP_MS);
    }
}

static Sum
sum_of (const Play *play, uint32_t workspace, int64_t from_ms, int64_t to_ms)
{
  Sum sum = { 0 };

  for (uint32_t i = 0; i < play->count; i++)
    {
      const Job *job = &play->job[i];
      int64_t done_ms = job->gang ? GANG_DONE_MS : SMALL_DONE_MS;
      bool in_time;

      if (job->workspace != workspace || job->sent_ms < from_ms
          || job->sent_ms >= to_ms)
        continue;
      in_time = world_done_by (play->world, job->id, job->sent_ms + done_ms)
                == (job->gang ? GANG_TASKS : SMALL_TASKS);
      sum.sent++;
      sum.accepted += job->accepted;
      sum.in_time += in_time;
      sum.gangs += job->gang;
      sum.gangs_in_time += job->gang && in_time;
      if (job->answer_ms > sum.slowest_refusal_ms)
        sum.slowest_refusal_ms = job->answer_ms;
    }
  return sum;
}

static Play *
begin (bool with_workspaces, bool with_approval)
{
  Play *play = calloc (1, sizeof *play);

  assert_non_null (play);
  play->world = world_new (CELLS, WORKERS);
  play->world->times_at_submit = true;
  if (with_workspaces)
    world_set_workspaces (
        play->world, world_workspaces (names, WORKSPACES, (MuxQuota){ 0 }));
  if (!with_approval)
    world_skip_approval (play->world);
  world_run (play->world, 5000);
  for (uint32_t i = 0; i < WORKSPACES; i++)
    play->due_us[i] = (int64_t) i * EACH_MS * 1000;
  return play;
}

static void
finish (Play *play)
{
  assert_false (world_double_run (play->world));
  assert_int_equal (play->world->over_capacity, 0);
  world_free (play->world);
  free (play);
}

typedef struct
{
  Sum hot;
  Sum others;
  uint32_t worst_milli; /* share of jobs in time of the worst of the others */
} Outcome;

static Outcome
outcome_of (const Play *play, int64_t from_ms, int64_t to_ms)
{
  Outcome outcome = { .worst_milli = 1000 };

  outcome.hot = sum_of (play, HOT, from_ms, to_ms);
  for (uint32_t i = 0; i < WORKSPACES; i++)
    {
      Sum sum = sum_of (play, i, from_ms, to_ms);

      if (i == HOT || sum.sent == 0)
        continue;
      outcome.others.sent += sum.sent;
      outcome.others.accepted += sum.accepted;
      outcome.others.in_time += sum.in_time;
      outcome.others.gangs += sum.gangs;
      outcome.others.gangs_in_time += sum.gangs_in_time;
      if (sum.slowest_refusal_ms > outcome.others.slowest_refusal_ms)
        outcome.others.slowest_refusal_ms = sum.slowest_refusal_ms;
      if (sum.in_time * 1000 / sum.sent < outcome.worst_milli)
        outcome.worst_milli = sum.in_time * 1000 / sum.sent;
    }
  return outcome;
}

static void
print (const char *what, const Outcome *outcome)
{
  const Sum *sum[2] = { &outcome->hot, &outcome->others };

  print_message ("%s; worst of the others %u\n", what, outcome->worst_milli);
  for (uint32_t i = 0; i < 2; i++)
    print_message ("  %s: %u sent, %u accepted, %u in time; gangs %u, %u in "
                   "time; slowest refusal %lld ms\n",
                   i == 0 ? "hot" : "others", sum[i]->sent, sum[i]->accepted,
                   sum[i]->in_time, sum[i]->gangs, sum[i]->gangs_in_time,
                   (long long) sum[i]->slowest_refusal_ms);
}

static Outcome
play_load (Play *play, uint32_t hot, uint32_t others, bool lose_planner)
{
  uint32_t usual[WORKSPACES];
  uint32_t burst[WORKSPACES];
  uint32_t none[WORKSPACES] = { 0 };
  int64_t from_ms;
  int64_t to_ms;

  for (uint32_t i = 0; i < WORKSPACES; i++)
    {
      usual[i] = others == 0 && i != HOT ? 0 : 10;
      burst[i] = i == HOT ? hot : others;
    }
  play_for (play, BEFORE_MS, usual);
  from_ms = play->world->now_ms;
  play_for (play, BURST_MS / 2, burst);
  if (lose_planner)
    world_cell_kill (play->world, world_planner (play->world));
  play_for (play, BURST_MS / 2, burst);
  to_ms = play->world->now_ms;
  play_for (play, DRAIN_MS, none);
  return outcome_of (play, from_ms, to_ms);
}

/* Guards against refusals and limits where all work is done in time. */
static void
test_usual_load_is_served_in_full (void **state)
{
  Play *play = begin (true, false);
  Outcome outcome = play_load (play, 10, 10, false);

  (void) state;
  print ("usual", &outcome);
  assert_int_equal (outcome.others.in_time, outcome.others.sent);
  assert_int_equal (outcome.hot.in_time, outcome.hot.sent);
  assert_int_equal (world_logged (play->world, "shares_limited"), 0);
  finish (play);
}

/* Guards against a workspace at ten times its usual load that takes room, and
 * acceptances, from workspaces that send no more than usual: 41 of their 102
 * jobs were in time with one order and one backlog for all. */
static void
test_hot_workspace_takes_nothing_from_others (void **state)
{
  Play *play = begin (true, false);
  Outcome outcome = play_load (play, 100, 10, false);

  (void) state;
  print ("ten times", &outcome);
  assert_int_equal (outcome.others.in_time, outcome.others.sent);
  assert_true (outcome.hot.in_time >= 20);
  assert_true (outcome.hot.in_time * 10 >= outcome.hot.accepted * 9);
  assert_true (outcome.hot.slowest_refusal_ms <= AT_ONCE_MS);
  assert_true (world_logged (play->world, "share_exceeded") > 0);
  finish (play);
}

/* The same where each start needs a proof by the policy service. */
static void
test_hot_workspace_with_approvals (void **state)
{
  Play *play = begin (true, true);
  Outcome outcome = play_load (play, 100, 10, false);

  (void) state;
  print ("ten times, approvals", &outcome);
  assert_int_equal (outcome.others.in_time, outcome.others.sent);
  assert_true (outcome.hot.in_time >= 20);
  finish (play);
}

/* Guards against an unfair phase after a takeover: a successor has counted
 * nothing and goes on with the waits that it received. */
static void
test_takeover_keeps_shares (void **state)
{
  Play *play = begin (true, false);
  Outcome outcome = play_load (play, 100, 10, true);

  (void) state;
  print ("ten times, takeover", &outcome);
  assert_true (outcome.others.in_time * 100 >= outcome.others.sent * 95);
  assert_true (outcome.worst_milli >= 850);
  finish (play);
}

/* Guards against limits that count workers which have left the pool. */
static void
test_leaving_workers_keep_shares (void **state)
{
  Play *play = begin (true, false);
  Outcome outcome;

  (void) state;
  for (uint32_t i = 0; i < 2; i++)
    world_worker_leaves (play->world, i, 6000);
  outcome = play_load (play, 100, 8, false);
  print ("ten times, two workers leave", &outcome);
  assert_true (outcome.others.in_time * 100 >= outcome.others.sent * 95);
  finish (play);
}

/* Guards against shares that cost goodput when all workspaces send 2.6 times
 * their usual load alike: 105 of 306 jobs were in time without them. */
static void
test_burst_of_all_loses_no_goodput (void **state)
{
  Play *play = begin (true, false);
  Outcome outcome = play_load (play, 26, 26, false);

  (void) state;
  print ("burst", &outcome);
  assert_true (outcome.others.in_time + outcome.hot.in_time >= 105);
  assert_true (outcome.others.in_time * 100 >= outcome.others.accepted * 95);
  assert_true (outcome.others.slowest_refusal_ms <= AT_ONCE_MS);
  assert_true (outcome.worst_milli >= 260);
  finish (play);
}

static Outcome
alone (bool with_workspaces)
{
  Play *play = begin (with_workspaces, false);
  Outcome outcome = play_load (play, 200, 0, false);

  if (with_workspaces)
    assert_int_equal (world_logged (play->world, "share_exceeded"), 0);
  finish (play);
  return outcome;
}

/* Guards against limits on a workspace that no other competes with: it is
 * served as if no workspaces were configured. */
static void
test_workspace_alone_is_served_as_without_workspaces (void **state)
{
  Outcome with = alone (true);
  Outcome without = alone (false);

  (void) state;
  print ("alone", &with);
  print ("without workspaces", &without);
  assert_int_equal (with.hot.accepted, without.hot.accepted);
  assert_int_equal (with.hot.in_time, without.hot.in_time);
}

/* Returns the planner's heartbeat with a wait of the queue that is too long for
 * the job of the test, and @shares; NULL: without that key, as sent by older
 * planners. */
static char *
changed_heartbeat (const World *world, const char *shares)
{
  char *text = world_row_text (world, MUX_TABLE_CLAIM, "beat");
  json_t *json = json_loads (text, 0, NULL);
  json_t *waits = json_object_get (json, "waits");
  char *changed;

  assert_non_null (json);
  assert_true (json_array_size (waits) > 0);
  assert_non_null (json_object_get (json, "shares"));
  (void) json_array_set_new (json_array_get (waits, 0), 1,
                             json_integer (QUEUE_WAIT_MS));
  if (shares != NULL)
    (void) json_object_set_new (json, "shares", json_loads (shares, 0, NULL));
  else
    (void) json_object_del (json, "shares");
  changed = json_dumps (json, 0);
  json_decref (json);
  free (text);
  return changed;
}

/* Returns how a member answers a workspace within its share once it knows the
 * planner's waits by the heartbeat alone. */
static MuxResponseOutcome
outcome_by_heartbeat (const char *shares)
{
  Play *play = begin (true, false);
  World *world = play->world;
  uint32_t load[WORKSPACES];
  uint32_t planner;
  char *heartbeat;
  uint64_t call;
  MuxResponseOutcome outcome;

  for (uint32_t i = 0; i < WORKSPACES; i++)
    load[i] = i == HOT ? 100 : 10;
  play_for (play, BEFORE_MS, load);
  /* Half of its slack of a second is less than QUEUE_WAIT_MS. */
  world_set_slack (world, 1000);
  world_run (world, SETTLE_MS);
  planner = world_planner (world);
  world->cell[planner].frozen = true;
  world_run (world, SILENT_MS);
  heartbeat = changed_heartbeat (world, shares);
  world_put_row (world, MUX_TABLE_CLAIM, "", "beat", heartbeat);
  free (heartbeat);
  world_run (world, SETTLE_MS);
  world_set_key (world, names[HOT + 1]);
  call = world_submit (world, (planner + 1) % CELLS,
                       world_job (1, SMALL_TASKS, SMALL_CPU_MILLI), "job-x");
  world_run (world, AT_ONCE_MS);
  assert_true (world->answered[call]);
  outcome = world->response[call].outcome;
  finish (play);
  return outcome;
}

/* Guards against a member that takes the waits of an older planner, which sends
 * none by workspace, or those of a row that can't be read, for "no wait". */
static void
test_heartbeat_without_shares_means_the_queues_wait (void **state)
{
  char shares[128];

  (void) state;
  snprintf (shares, sizeof shares,
            "[{\"service\":%lld,\"within\":[0,0,0,0],\"over\":[]}]",
            (long long) mux_hash_name ("booking", 0));
  assert_int_equal (outcome_by_heartbeat (NULL), MUX_RESPONSE_REFUSED);
  assert_int_equal (outcome_by_heartbeat ("[7,{\"service\":\"x\"}]"),
                    MUX_RESPONSE_REFUSED);
  assert_int_equal (outcome_by_heartbeat (shares), MUX_RESPONSE_ACCEPTED);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_usual_load_is_served_in_full),
    cmocka_unit_test (test_hot_workspace_takes_nothing_from_others),
    cmocka_unit_test (test_hot_workspace_with_approvals),
    cmocka_unit_test (test_takeover_keeps_shares),
    cmocka_unit_test (test_leaving_workers_keep_shares),
    cmocka_unit_test (test_burst_of_all_loses_no_goodput),
    cmocka_unit_test (test_workspace_alone_is_served_as_without_workspaces),
    cmocka_unit_test (test_heartbeat_without_shares_means_the_queues_wait),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
