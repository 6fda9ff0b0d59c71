#include "adapter/worker.h"
#include "base/ring.h"
#include "standin/listen.h"
#include "standin/worker_server.h"
#include "support/canned_server.h"
#include "support/cli_server.h"
#include "support/raw_http.h"
#include "support/test.h"

#include <stdatomic.h>
#include <sys/socket.h>
#include <unistd.h>

#define INCARNATION 77
#define LEASE_MS 1000
#define GRACE_MS 500
/* Far beyond any wait of a test that passes. */
#define TIMEOUT_MS 20000

typedef struct
{
  MuxInbox inbox;
  MuxRing *replies;
  MuxWorkerPort *port;
  StandinWorkerServer *server;
  atomic_llong now_ms;
  uint64_t calls;
} Fixture;

static bool
on_reply (MuxInbox *inbox, MuxWorkerReply *reply)
{
  Fixture *f = (Fixture *) inbox;

  assert_true (mux_ring_push (f->replies, reply));
  return true;
}

static int64_t
fake_now (void *ctx)
{
  Fixture *f = ctx;

  return atomic_load (&f->now_ms);
}

static int
set_up (void **state)
{
  Fixture *f = calloc (1, sizeof *f);
  StandinWorkerServerOptions options
      = { .worker = { .name = "w1",
                      .incarnation = INCARNATION,
                      .capacity = { 8000, 8000, 0, 8 },
                      .grace_ms = GRACE_MS,
                      .retain_ms = 60000,
                      .run_ms = 0,
                      .usage_lag_ms = 50 },
          .listen = "127.0.0.1:0",
          .log_fd = -1,
          .now_ms = fake_now,
          .ctx = f };
  MuxWorkerHttpOptions adapter
      = { .inbox = &f->inbox, .threads = 4, .control_threads = 2, .queue = 64 };

  f->inbox.worker_reply = on_reply;
  f->replies = mux_ring_new (64);
  atomic_store (&f->now_ms, 1000);
  f->server = standin_worker_server_new (&options, NULL);
  f->port = mux_worker_http_new (&adapter, NULL);
  *state = f;
  return f->server == NULL || f->port == NULL;
}

static int
tear_down (void **state)
{
  Fixture *f = *state;
  MuxWorkerReply *reply;

  if (f->port != NULL)
    f->port->free (f->port);
  standin_worker_server_free (f->server);
  while ((reply = mux_ring_pop (f->replies)) != NULL)
    mux_worker_reply_free (reply);
  mux_ring_free (f->replies);
  free (f);
  return 0;
}

static void
post (Fixture *f, MuxWorkerCall call)
{
  call.call_id = ++f->calls;
  if (call.worker[0] == 0)
    strcpy (call.worker, "w1");
  if (call.addr[0] == 0)
    strcpy (call.addr, standin_worker_server_addr (f->server));
  if (call.timeout_ms == 0)
    call.timeout_ms = TIMEOUT_MS;
  assert_true (f->port->call (f->port, &call));
}

static MuxWorkerReply *
next_reply (Fixture *f)
{
  MuxWorkerReply *reply = NULL;

  while (reply == NULL)
    reply = mux_ring_wait (f->replies, -1);
  return reply;
}

static MuxWorkerReply *
send_call (Fixture *f, MuxWorkerCall call)
{
  MuxWorkerReply *reply;

  post (f, call);
  reply = next_reply (f);
  assert_int_equal (reply->call_id, f->calls);
  return reply;
}

static MuxWorkerStatus
status_of (Fixture *f, MuxWorkerCall call)
{
  MuxWorkerReply *reply = send_call (f, call);
  MuxWorkerStatus status = reply->status;

  mux_worker_reply_free (reply);
  return status;
}

static MuxTaskState
state_of (Fixture *f, MuxWorkerVerb verb, uint64_t id)
{
  MuxWorkerReply *reply
      = send_call (f, (MuxWorkerCall){ .verb = verb, .task = { 0, id } });
  MuxTaskState state = reply->state;

  assert_int_equal (reply->status, MUX_WORKER_OK);
  mux_worker_reply_free (reply);
  return state;
}

static MuxWorkerCall
claim_call (uint64_t epoch)
{
  return (MuxWorkerCall){ .verb = MUX_WORKER_CLAIM,
                          .owner = "m1",
                          .epoch = epoch,
                          .lease_ms = LEASE_MS };
}

static MuxWorkerCall
start_call (uint64_t id, MuxKind kind)
{
  return (MuxWorkerCall){ .verb = MUX_WORKER_START,
                          .task = { 0, id },
                          .epoch = 1,
                          .incarnation = INCARNATION,
                          .class_name = "booking",
                          .home = "m2",
                          .kind = kind,
                          .size = { 1000, 100, 0, 1 } };
}

static void
set_fault (Fixture *f, const char *json)
{
  char text[256];
  int n = snprintf (text, sizeof text,
                    "POST /ctl HTTP/1.1\r\nHost: x\r\n"
                    "Content-Length: %zu\r\n\r\n%s",
                    strlen (json), json);
  RawReply reply
      = raw_exchange (standin_worker_server_addr (f->server), text, (size_t) n);

  assert_in_range (reply.status, 200, 299);
  raw_reply_free (&reply);
}

static void
test_whole_answer (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, MUX_KIND_SERVICE);
  const char *head = "answer:00000000000000000000000000000001:";
  size_t head_len = strlen (head);
  unsigned char bytes[65536];
  MuxWorkerReply *reply;

  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (unsigned char) (i * 7 + i / 256);
  status_of (f, claim_call (1));
  start.body = mux_blob_new (bytes, sizeof bytes);
  start.wait_ms = TIMEOUT_MS;
  reply = send_call (f, start);
  mux_blob_unref (start.body);
  assert_int_equal (reply->status, MUX_WORKER_OK);
  assert_int_equal (reply->state, MUX_TASK_DONE);
  assert_int_equal (reply->result->len, head_len + sizeof bytes);
  assert_memory_equal (reply->result->bytes, head, head_len);
  assert_memory_equal (reply->result->bytes + head_len, bytes, sizeof bytes);
  mux_worker_reply_free (reply);
}

static void
test_claim_tells_the_worker (void **state)
{
  Fixture *f = *state;
  MuxWorkerReply *reply = send_call (f, claim_call (5));

  assert_int_equal (reply->status, MUX_WORKER_OK);
  assert_int_equal (reply->incarnation, INCARNATION);
  assert_int_equal (reply->epoch, 5);
  assert_int_equal (reply->worker_clock_ms, 1000);
  assert_int_equal (reply->capacity.cpu_milli, 8000);
  assert_int_equal (reply->capacity.slots, 8);
  assert_false (reply->leaving);
  mux_worker_reply_free (reply);
  set_fault (f, "{\"leaving\":true}");
  reply = send_call (f, (MuxWorkerCall){ .verb = MUX_WORKER_RENEW,
                                         .epoch = 5,
                                         .lease_ms = LEASE_MS });
  assert_int_equal (reply->status, MUX_WORKER_OK);
  assert_true (reply->leaving);
  mux_worker_reply_free (reply);
}

/* The worker's process has ended and its port refuses connections.  Nothing was
 * sent, so the task may be started elsewhere at once. */
static void
test_refused_connect_is_not_sent (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, MUX_KIND_SERVICE);
  int fd;

  snprintf (start.addr, sizeof start.addr, "127.0.0.1:%u",
            cli_port_refusing (&fd));
  assert_true (fd >= 0);
  assert_int_equal (status_of (f, start), MUX_WORKER_NOT_SENT);
  close (fd);
}

/* A worker is listed by host name, or with a path after its port.  A resolver
 * may block a thread for seconds and may return another machine, so only
 * numeric addresses are called. */
static void
test_address_that_is_no_number_is_not_sent (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall claim = claim_call (1);
  const char *addr = standin_worker_server_addr (f->server);

  snprintf (claim.addr, sizeof claim.addr, "localhost%s", strrchr (addr, ':'));
  assert_int_equal (status_of (f, claim), MUX_WORKER_NOT_SENT);
  snprintf (claim.addr, sizeof claim.addr, "user@%s", addr);
  assert_int_equal (status_of (f, claim), MUX_WORKER_NOT_SENT);
  snprintf (claim.addr, sizeof claim.addr, "%s", addr);
  assert_int_equal (status_of (f, claim), MUX_WORKER_OK);
}

/* A start takes effect and its response is lost.  The home must not respond
 * "not run": the worker's reply to FORGET says which tasks ran and which still
 * run.
 */
static void
test_lost_answer_is_settled (void **state)
{
  Fixture *f = *state;

  status_of (f, claim_call (1));
  set_fault (f, "{\"lose_answers\":2}");
  assert_int_equal (status_of (f, start_call (1, MUX_KIND_LONG_RUNNING)),
                    MUX_WORKER_NO_ANSWER);
  assert_int_equal (status_of (f, start_call (2, MUX_KIND_SERVICE)),
                    MUX_WORKER_NO_ANSWER);
  assert_int_equal (state_of (f, MUX_WORKER_FORGET, 1), MUX_TASK_RUNNING);
  assert_int_equal (state_of (f, MUX_WORKER_FORGET, 2), MUX_TASK_DONE);
}

/* A start is delayed, its home resolves it by a tombstone and responds "not
 * run"; when the start then arrives, it must be refused. */
static void
test_tombstone_refuses_start (void **state)
{
  Fixture *f = *state;

  status_of (f, claim_call (1));
  assert_int_equal (state_of (f, MUX_WORKER_FORGET, 1), MUX_TASK_FORGOTTEN);
  assert_int_equal (status_of (f, start_call (1, MUX_KIND_SERVICE)),
                    MUX_WORKER_TOMBSTONE);
}

static void
test_stale_starts_are_refused (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, MUX_KIND_SERVICE);

  status_of (f, claim_call (2));
  assert_int_equal (status_of (f, start), MUX_WORKER_OLD_EPOCH);
  start.epoch = 2;
  start.incarnation = INCARNATION + 1;
  assert_int_equal (status_of (f, start), MUX_WORKER_OLD_INCARNATION);
  start.incarnation = INCARNATION;
  start.not_after_ms = 999;
  assert_int_equal (status_of (f, start), MUX_WORKER_PAST_DEADLINE);
  assert_int_equal (state_of (f, MUX_WORKER_FETCH, 1), MUX_TASK_ABSENT);
  assert_int_equal (status_of (f, claim_call (2)), MUX_WORKER_OLD_EPOCH);
}

static void
test_claim_passes_tasks_on (void **state)
{
  Fixture *f = *state;
  MuxWorkerReply *reply;

  status_of (f, claim_call (1));
  status_of (f, start_call (1, MUX_KIND_LONG_RUNNING));
  atomic_fetch_add (&f->now_ms, LEASE_MS + GRACE_MS - 1);
  reply = send_call (f, claim_call (2));
  assert_int_equal (reply->report_count, 1);
  assert_int_equal (reply->reports[0].task.lo, 1);
  assert_int_equal (reply->reports[0].state, MUX_TASK_RUNNING);
  assert_int_equal (reply->reports[0].kind, MUX_KIND_LONG_RUNNING);
  assert_int_equal (reply->reports[0].size.cpu_milli, 1000);
  assert_string_equal (reply->reports[0].class_name, "booking");
  assert_string_equal (reply->reports[0].home, "m2");
  mux_worker_reply_free (reply);
  atomic_fetch_add (&f->now_ms, LEASE_MS + GRACE_MS - 1);
  assert_int_equal (state_of (f, MUX_WORKER_FETCH, 1), MUX_TASK_RUNNING);
}

/* The same start reaches the worker twice, the second time with another body.
 * It runs once, and both get the first one's result. */
static void
test_repeated_start (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, MUX_KIND_SERVICE);
  const char *answer = "answer:00000000000000000000000000000001:first";
  MuxWorkerReply *reply;

  status_of (f, claim_call (1));
  start.body = mux_blob_new ("first", 5);
  status_of (f, start);
  mux_blob_unref (start.body);
  start.body = mux_blob_new ("second", 6);
  reply = send_call (f, start);
  mux_blob_unref (start.body);
  assert_int_equal (reply->state, MUX_TASK_DONE);
  assert_string_equal (reply->result->bytes, answer);
  mux_worker_reply_free (reply);
}

static void
test_start_waits_for_the_end (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, MUX_KIND_LONG_RUNNING);
  uint64_t start_id;

  status_of (f, claim_call (1));
  start.wait_ms = TIMEOUT_MS;
  post (f, start);
  start_id = f->calls;
  standin_worker_server_wait (f->server, 1);
  post (f, (MuxWorkerCall){ .verb = MUX_WORKER_STOP, .task = { 0, 1 } });
  for (int i = 0; i < 2; i++)
    {
      MuxWorkerReply *reply = next_reply (f);

      assert_in_range (reply->call_id, start_id, f->calls);
      assert_int_equal (reply->status, MUX_WORKER_OK);
      assert_int_equal (reply->state, MUX_TASK_STOPPED);
      mux_worker_reply_free (reply);
    }
}

/* A worker has left and another one has taken over its address.  The start for
 * the first must not run at the second, and counts as certainly not sent. */
static void
test_taken_over_address (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, MUX_KIND_SERVICE);

  status_of (f, claim_call (1));
  strcpy (start.worker, "w0");
  assert_int_equal (status_of (f, start), MUX_WORKER_NOT_SENT);
  assert_int_equal (state_of (f, MUX_WORKER_FETCH, 1), MUX_TASK_ABSENT);
}

/* The worker hangs after its kernel has accepted the request, so it is unknown
 * whether the task was started. */
static void
test_hanging_worker_is_no_answer (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, MUX_KIND_SERVICE);
  uint16_t port;
  int fd = standin_listen ("127.0.0.1:0", start.addr, &port, NULL);

  start.timeout_ms = 200;
  assert_int_equal (status_of (f, start), MUX_WORKER_NO_ANSWER);
  close (fd);
}

/* The worker is suspended while it handles a start and resumes after the
 * start's deadline, when its home has already responded "not run". */
static void
test_start_in_a_pause_is_late (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, MUX_KIND_SERVICE);
  MuxWorkerReply *reply;

  status_of (f, claim_call (1));
  set_fault (f, "{\"hang\":true}");
  start.not_after_ms = atomic_load (&f->now_ms);
  post (f, start);
  atomic_fetch_add (&f->now_ms, 1);
  set_fault (f, "{\"hang\":false}");
  reply = next_reply (f);
  assert_int_equal (reply->status, MUX_WORKER_PAST_DEADLINE);
  mux_worker_reply_free (reply);
  assert_int_equal (state_of (f, MUX_WORKER_FETCH, 1), MUX_TASK_ABSENT);
}

static void
test_deaf_worker (void **state)
{
  Fixture *f = *state;

  status_of (f, claim_call (1));
  set_fault (f, "{\"deaf\":true}");
  assert_int_equal (status_of (f, start_call (1, MUX_KIND_SERVICE)),
                    MUX_WORKER_NO_ANSWER);
  set_fault (f, "{\"deaf\":false}");
  assert_int_equal (state_of (f, MUX_WORKER_FORGET, 1), MUX_TASK_FORGOTTEN);
}

/* The connection breaks in the middle of a response, or in one without a
 * declared length.  The truncated body must not be passed on as complete. */
static void
test_cut_answer_is_no_answer (void **state)
{
  static const char *const lengths[]
      = { "Content-Length: 9\r\n", "Connection: close\r\n" };
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, MUX_KIND_SERVICE);

  for (int i = 0; i < 2; i++)
    {
      char answer[1024];
      CannedServer *server;

      snprintf (answer, sizeof answer,
                "HTTP/1.1 200 OK\r\n%sCuminmux-Status: ok\r\n"
                "Cuminmux-Worker: w1\r\nCuminmux-Incarnation: 77\r\n"
                "Cuminmux-Epoch: 1\r\nCuminmux-Now-Ms: 1\r\n"
                "Cuminmux-Leaving: 0\r\nCuminmux-State: done\r\n"
                "Cuminmux-Task: 00000000000000000000000000000001\r\n"
                "Cuminmux-Ran-Ms: 1\r\n\r\nhalf",
                lengths[i]);
      server = canned_server_new (answer, start.addr);
      assert_int_equal (status_of (f, start), MUX_WORKER_NO_ANSWER);
      canned_server_free (server);
    }
}

/* The daemon stops while calls are in flight and in the ring.  Each accepted
 * call gets exactly one reply: NO_ANSWER if it was sent, NOT_SENT if not. */
static void
test_free_replies_to_all (void **state)
{
  Fixture *f = *state;
  MuxWorkerCall start = start_call (1, MUX_KIND_SERVICE);
  uint16_t port;
  int fd = standin_listen ("127.0.0.1:0", start.addr, &port, NULL);
  uint32_t replies = 0;
  MuxWorkerReply *reply;

  for (int i = 0; i < 10; i++)
    post (f, start);
  f->port->free (f->port);
  f->port = NULL;
  while ((reply = mux_ring_pop (f->replies)) != NULL)
    {
      assert_true (reply->status == MUX_WORKER_NO_ANSWER
                   || reply->status == MUX_WORKER_NOT_SENT);
      mux_worker_reply_free (reply);
      replies++;
    }
  assert_int_equal (replies, 10);
  close (fd);
}

#define TEST(f) cmocka_unit_test_setup_teardown (f, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (test_whole_answer),
    TEST (test_claim_tells_the_worker),
    TEST (test_refused_connect_is_not_sent),
    TEST (test_address_that_is_no_number_is_not_sent),
    TEST (test_lost_answer_is_settled),
    TEST (test_tombstone_refuses_start),
    TEST (test_stale_starts_are_refused),
    TEST (test_claim_passes_tasks_on),
    TEST (test_repeated_start),
    TEST (test_start_waits_for_the_end),
    TEST (test_taken_over_address),
    TEST (test_hanging_worker_is_no_answer),
    TEST (test_start_in_a_pause_is_late),
    TEST (test_deaf_worker),
    TEST (test_cut_answer_is_no_answer),
    TEST (test_free_replies_to_all),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
