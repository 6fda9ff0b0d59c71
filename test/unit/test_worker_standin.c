#include "standin/worker_log.h"
#include "standin/worker_logic.h"
#include "support/test.h"

#include <jansson.h>

#define INCARNATION 77
#define LEASE_MS 1000
#define GRACE_MS 500
#define RETAIN_MS 5000

typedef struct
{
  StandinWorker *worker;
  int64_t now_ms;
  char last_event[32];
  char event_before[32];
  char last_reason[32];
  uint32_t overcommits;
} Fixture;

static void
on_event (void *ctx, const StandinWorkerEvent *event)
{
  Fixture *f = ctx;
  const char *reason = event->reason != NULL ? event->reason : "";

  strcpy (f->event_before, f->last_event);
  strcpy (f->last_event, event->event);
  strcpy (f->last_reason, reason);
  f->overcommits += strcmp (event->event, "overcommit_attempt") == 0;
}

static MuxWorkerReply *
send (Fixture *f, MuxWorkerCall call)
{
  MuxWorkerReply *reply
      = standin_worker_call (f->worker, &call, f->now_ms, NULL);

  assert_non_null (reply);
  return reply;
}

static MuxWorkerStatus
status_of (Fixture *f, MuxWorkerCall call)
{
  MuxWorkerReply *reply = send (f, call);
  MuxWorkerStatus status = reply->status;

  mux_worker_reply_free (reply);
  return status;
}

static MuxTaskState
state_of (Fixture *f, uint64_t id)
{
  MuxWorkerReply *reply = send (
      f, (MuxWorkerCall){ .verb = MUX_WORKER_FETCH, .task = { 0, id } });
  MuxTaskState state = reply->state;

  assert_int_equal (reply->status, MUX_WORKER_OK);
  mux_worker_reply_free (reply);
  return state;
}

static MuxWorkerStatus
claim (Fixture *f, uint64_t epoch)
{
  return status_of (f, (MuxWorkerCall){ .verb = MUX_WORKER_CLAIM,
                                        .owner = "m1",
                                        .epoch = epoch,
                                        .lease_ms = LEASE_MS });
}

static MuxWorkerCall
start_call (uint64_t id, uint64_t epoch)
{
  return (MuxWorkerCall){ .verb = MUX_WORKER_START,
                          .task = { 0, id },
                          .epoch = epoch,
                          .incarnation = INCARNATION,
                          .class_name = "booking",
                          .home = "m2",
                          .size = { 1000, 100, 0, 1 } };
}

static int
set_up (void **state)
{
  static Fixture f;
  StandinWorkerOptions options = { .name = "w1",
                                   .incarnation = INCARNATION,
                                   .capacity = { 4000, 1000, 0, 2 },
                                   .grace_ms = GRACE_MS,
                                   .retain_ms = RETAIN_MS,
                                   .run_ms = 100,
                                   .usage_lag_ms = 50,
                                   .ctx = &f,
                                   .on_event = on_event };

  memset (&f, 0, sizeof f);
  f.now_ms = 1000;
  f.worker = standin_worker_new (&options);
  *state = &f;
  return f.worker == NULL;
}

static int
tear_down (void **state)
{
  Fixture *f = *state;

  standin_worker_free (f->worker);
  return 0;
}

/* Two owners each believe that they hold the worker: the first was paused
 * while its lease expired and the second claimed the worker.  The first
 * resumes with its old epoch.  If its calls were accepted, both would book
 * the same room. */
static void
test_paused_owner_is_fenced (void **state)
{
  Fixture *f = *state;

  assert_int_equal (claim (f, 1), MUX_WORKER_OK);
  assert_int_equal (claim (f, 2), MUX_WORKER_OK);
  assert_int_equal (claim (f, 2), MUX_WORKER_OLD_EPOCH);
  assert_int_equal (status_of (f, start_call (1, 1)), MUX_WORKER_OLD_EPOCH);
  assert_int_equal (
      status_of (f, (MuxWorkerCall){ .verb = MUX_WORKER_RENEW, .epoch = 1 }),
      MUX_WORKER_OLD_EPOCH);
  assert_int_equal (state_of (f, 1), MUX_TASK_ABSENT);
}

/* The owner dies with a task running; its successor claims within the grace
 * period.  The caller must see the task end once: a claim passes the
 * worker's tasks on, and the new lease keeps them running beyond the old
 * one's expiry. */
static void
test_claim_passes_tasks_on (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, 1);
  MuxWorkerReply *reply;

  start.kind = MUX_KIND_LONG_RUNNING;
  claim (f, 1);
  assert_int_equal (status_of (f, start), MUX_WORKER_OK);
  f->now_ms += LEASE_MS + GRACE_MS - 1;
  reply = send (f, (MuxWorkerCall){ .verb = MUX_WORKER_CLAIM,
                                    .epoch = 2,
                                    .lease_ms = LEASE_MS });
  assert_int_equal (reply->report_count, 1);
  assert_int_equal (reply->reports[0].task.lo, 1);
  assert_string_equal (reply->reports[0].home, "m2");
  mux_worker_reply_free (reply);
  f->now_ms += LEASE_MS;
  assert_int_equal (state_of (f, 1), MUX_TASK_RUNNING);
}

/* Every owner is partitioned from the worker.  Its tasks are stopped when
 * the lease and the grace period have expired, so that they may be run
 * again elsewhere; a start that arrives under the expired lease is refused. */
static void
test_lapsed_lease_stops_tasks (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, 1);

  start.kind = MUX_KIND_LONG_RUNNING;
  claim (f, 1);
  status_of (f, start);
  f->now_ms += LEASE_MS;
  assert_int_equal (status_of (f, start_call (2, 1)), MUX_WORKER_OLD_EPOCH);
  assert_int_equal (state_of (f, 1), MUX_TASK_RUNNING);
  f->now_ms += GRACE_MS;
  assert_int_equal (standin_worker_tick (f->worker, f->now_ms), INT64_MAX);
  assert_string_equal (f->event_before, "stop");
  assert_string_equal (f->last_event, "end");
  assert_string_equal (f->last_reason, "lease");
  assert_int_equal (state_of (f, 1), MUX_TASK_STOPPED);
}

/* A home that lost a start's response puts a tombstone and reports "not
 * run" to its caller.  The start was only delayed and arrives after that:
 * if it ran, the voucher would be redeemed although the caller was told
 * that it was not. */
static void
test_tombstone_refuses_start (void **state)
{
  Fixture *f = *state;
  MuxWorkerReply *reply;

  claim (f, 1);
  reply = send (f,
                (MuxWorkerCall){ .verb = MUX_WORKER_FORGET, .task = { 0, 1 } });
  assert_int_equal (reply->state, MUX_TASK_FORGOTTEN);
  mux_worker_reply_free (reply);
  assert_int_equal (status_of (f, start_call (1, 1)), MUX_WORKER_TOMBSTONE);
  assert_int_equal (state_of (f, 1), MUX_TASK_FORGOTTEN);
  f->now_ms += RETAIN_MS;
  assert_int_equal (state_of (f, 1), MUX_TASK_ABSENT);
}

static void
test_start_for_another_life_is_refused (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, 1);

  claim (f, 1);
  start.incarnation = INCARNATION - 1;
  assert_int_equal (status_of (f, start), MUX_WORKER_OLD_INCARNATION);
  assert_int_equal (state_of (f, 1), MUX_TASK_ABSENT);
}

static void
test_late_start_is_refused (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, 1);

  claim (f, 1);
  start.not_after_ms = f->now_ms - 1;
  assert_int_equal (status_of (f, start), MUX_WORKER_PAST_DEADLINE);
  start.not_after_ms = f->now_ms;
  assert_int_equal (status_of (f, start), MUX_WORKER_OK);
}

static void
test_full_worker_refuses (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall big = start_call (3, 1);

  claim (f, 1);
  assert_int_equal (status_of (f, start_call (1, 1)), MUX_WORKER_OK);
  big.size.cpu_milli = 3001;
  assert_int_equal (status_of (f, big), MUX_WORKER_NO_ROOM);
  assert_int_equal (status_of (f, start_call (2, 1)), MUX_WORKER_OK);
  assert_int_equal (status_of (f, start_call (4, 1)), MUX_WORKER_NO_ROOM);
  assert_int_equal (f->overcommits, 2);
  f->now_ms += 100;
  assert_int_equal (status_of (f, start_call (4, 1)), MUX_WORKER_OK);
}

/* A start is repeated hours later, after its answer has been dropped.  It
 * must be distinguished from a new one, or the report would be counted
 * twice. */
static void
test_repeated_start_is_not_run_again (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, 1);
  MuxWorkerReply *reply;
  bool repeated;

  claim (f, 1);
  status_of (f, start);
  f->now_ms += 100;
  assert_int_equal (state_of (f, 1), MUX_TASK_DONE);
  reply = standin_worker_call (f->worker, &start, f->now_ms, &repeated);
  assert_true (repeated);
  assert_int_equal (reply->state, MUX_TASK_DONE);
  assert_int_equal (reply->ran_ms, 100);
  mux_worker_reply_free (reply);
  f->now_ms += RETAIN_MS;
  assert_int_equal (state_of (f, 1), MUX_TASK_DONE_GONE);
  assert_int_equal (status_of (f, start), MUX_WORKER_OK);
  assert_int_equal (state_of (f, 1), MUX_TASK_DONE_GONE);
}

static void
test_renewal_lists_changes (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall renew
      = { .verb = MUX_WORKER_RENEW, .epoch = 1, .lease_ms = LEASE_MS };
  MuxWorkerReply *reply;

  claim (f, 1);
  status_of (f, start_call (1, 1));
  reply = send (f, renew);
  assert_int_equal (reply->report_count, 1);
  assert_int_equal (reply->reports[0].used.cpu_milli, 0);
  renew.cursor = reply->cursor;
  mux_worker_reply_free (reply);
  reply = send (f, renew);
  assert_int_equal (reply->report_count, 0);
  mux_worker_reply_free (reply);
  f->now_ms += 50;
  reply = send (f, renew);
  assert_int_equal (reply->report_count, 1);
  assert_int_equal (reply->reports[0].used.cpu_milli, 1000);
  renew.cursor = reply->cursor;
  mux_worker_reply_free (reply);
  f->now_ms += 50;
  reply = send (f, renew);
  assert_int_equal (reply->report_count, 1);
  assert_int_equal (reply->reports[0].state, MUX_TASK_DONE);
  mux_worker_reply_free (reply);
}

static void
test_released_claim_takes_no_starts (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall release = { .verb = MUX_WORKER_RELEASE, .epoch = 1 };

  claim (f, 1);
  status_of (f, start_call (1, 1));
  assert_int_equal (status_of (f, release), MUX_WORKER_OK);
  assert_int_equal (state_of (f, 1), MUX_TASK_RUNNING);
  assert_int_equal (status_of (f, start_call (2, 1)), MUX_WORKER_OLD_EPOCH);
  assert_int_equal (claim (f, 2), MUX_WORKER_OK);
  assert_int_equal (status_of (f, start_call (2, 2)), MUX_WORKER_OK);
}

static void
test_faults (void **state)
{
  Fixture *f = *state;

  claim (f, 1);
  standin_worker_set_fail_all (f->worker, true);
  status_of (f, start_call (1, 1));
  f->now_ms += 10;
  assert_int_equal (state_of (f, 1), MUX_TASK_FAILED);
  standin_worker_set_leaving (f->worker, true);
  assert_int_equal (status_of (f, start_call (2, 1)), MUX_WORKER_IS_LEAVING);
}

static void
test_body_sets_run_time (void **state)
{
  static const char json[] = "{\"run_ms\":7}";
  static const char line[] = "run_ms=9\nrest";
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, 1);

  claim (f, 1);
  start.body = mux_blob_new (json, strlen (json));
  status_of (f, start);
  mux_blob_unref (start.body);
  assert_int_equal (standin_worker_tick (f->worker, f->now_ms), f->now_ms + 7);
  f->now_ms += 7;
  start = start_call (2, 1);
  start.body = mux_blob_new (line, strlen (line));
  status_of (f, start);
  mux_blob_unref (start.body);
  assert_int_equal (standin_worker_tick (f->worker, f->now_ms), f->now_ms + 9);
}

static void
test_log_line (void **state)
{
  StandinWorkerEvent event = { .event = "start",
                               .mono_ms = 5,
                               .task = { 0, 255 },
                               .class_name = "booking",
                               .home = "m2",
                               .epoch = 3,
                               .size = { 1, 2, 0, 1 },
                               .state = "running" };
  char line[STANDIN_WORKER_LINE_MAX];

  (void) state;
  standin_worker_log_line (&event, "w1", 77, 9, line);
  assert_string_equal (
      line, "{\"t_ms\":9,\"mono_ms\":5,\"worker\":\"w1\",\"incarnation\":77,"
            "\"event\":\"start\",\"epoch\":3,"
            "\"task\":\"000000000000000000000000000000ff\","
            "\"size\":{\"cpu_milli\":1,\"mem_mib\":2,\"accels\":0,"
            "\"slots\":1},\"ran_ms\":0,\"class\":\"booking\","
            "\"home\":\"m2\",\"state\":\"running\"}\n");
}

#define TEST(f) cmocka_unit_test_setup_teardown (f, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (test_paused_owner_is_fenced),
    TEST (test_claim_passes_tasks_on),
    TEST (test_lapsed_lease_stops_tasks),
    TEST (test_tombstone_refuses_start),
    TEST (test_start_for_another_life_is_refused),
    TEST (test_late_start_is_refused),
    TEST (test_full_worker_refuses),
    TEST (test_repeated_start_is_not_run_again),
    TEST (test_renewal_lists_changes),
    TEST (test_released_claim_takes_no_starts),
    TEST (test_faults),
    TEST (test_body_sets_run_time),
    TEST (test_log_line),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
