#include "support/door_bench.h"
#include "support/test.h"

#include <unistd.h>

#define TASK_ID "00000000000000010000000000000002"

/* Request and response bodies pass unchanged, also with bytes of value 0 and
 * with form content types, which HTTP libraries tend to cut or to parse. */
static void
test_bytes_pass_unchanged (void **state)
{
  FakeBackend *fake = *state;
  char bytes[1024];
  RawReply reply;

  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (char) i;
  fake->response.outcome = MUX_OUTCOME_DONE;
  fake->response.task = (MuxId){ 1, 2 };
  fake->response.body = mux_blob_new (bytes, sizeof bytes);
  reply
      = door_bench_ask (fake,
                        "POST /v1/request/basket HTTP/1.1\r\n"
                        "idempotency-key: k 1~\r\nCuminmux-Give-Up-Ms: 1500\r\n"
                        "Content-Type: application/x-www-form-urlencoded",
                        bytes, sizeof bytes);
  assert_int_equal (reply.status, 200);
  assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "done");
  assert_string_equal (raw_header (&reply, "Cuminmux-Reason"), "");
  assert_string_equal (raw_header (&reply, "Cuminmux-Task"), TASK_ID);
  assert_string_equal (raw_header (&reply, "Content-Type"),
                       "application/octet-stream");
  assert_int_equal (reply.body_len, sizeof bytes);
  assert_memory_equal (reply.body, bytes, sizeof bytes);
  assert_int_equal (fake->request_count, 1);
  assert_int_equal (fake->requests[0].verb, MUX_CORE_RUN_TASK);
  assert_string_equal (fake->requests[0].name, "basket");
  assert_string_equal (fake->requests[0].key, "k 1~");
  assert_int_equal (fake->requests[0].timeout_ms, 1500);
  assert_int_equal (fake->requests[0].body->len, sizeof bytes);
  assert_memory_equal (fake->requests[0].body->bytes, bytes, sizeof bytes);
  mux_blob_unref (fake->response.body);
  raw_reply_free (&reply);
}

/* Two callers wait, and the second one's response is ready first.  Each must
 * get its own. */
static void
test_answers_out_of_order (void **state)
{
  FakeBackend *fake = *state;
  RawReply reply;
  int first;
  int second;

  fake->mode = FAKE_HOLD;
  first = door_bench_begin (fake, "POST /v1/request/a HTTP/1.1");
  fake_backend_wait_requests (fake, 1);
  second = door_bench_begin (fake, "POST /v1/request/b HTTP/1.1");
  fake_backend_wait_requests (fake, 2);
  door_bench_answer (fake, fake->requests[1].call_id, "of the second");
  reply = raw_read_reply (second);
  door_bench_expect_body (&reply, "of the second");
  door_bench_answer (fake, fake->requests[0].call_id, "of the first");
  reply = raw_read_reply (first);
  door_bench_expect_body (&reply, "of the first");
  close (first);
  close (second);
}

/* Under overload callers hold every slot.  The next one must get "not run" and
 * a retry delay at once, and an operator must still have access. */
static void
test_callers_full (void **state)
{
  FakeBackend *fake = *state;
  int fds[DOOR_BENCH_CALLERS_MAX];
  RawReply reply;

  fake->mode = FAKE_HOLD;
  for (uint32_t i = 0; i < DOOR_BENCH_CALLERS_MAX; i++)
    {
      fds[i] = door_bench_begin (fake, "POST /v1/request/a HTTP/1.1");
      fake_backend_wait_requests (fake, i + 1);
    }
  reply = door_bench_ask (fake, "POST /v1/request/a HTTP/1.1", "", 0);
  door_bench_expect_come_back (&reply, "callers_full");
  assert_int_equal (mux_refused_value (fake->counters, MUX_REASON_CALLERS_FULL),
                    1);
  raw_reply_free (&reply);
  pthread_mutex_lock (&fake->lock);
  fake->mode = FAKE_RESPOND;
  pthread_mutex_unlock (&fake->lock);
  door_bench_expect_status (fake, "GET /v1/status HTTP/1.1", "", 0, 200);
  for (uint32_t i = 0; i < DOOR_BENCH_CALLERS_MAX; i++)
    {
      door_bench_answer (fake, fake->requests[i].call_id, "whole");
      reply = raw_read_reply (fds[i]);
      door_bench_expect_body (&reply, "whole");
      close (fds[i]);
    }
}

static void
test_ring_full (void **state)
{
  FakeBackend *fake = *state;
  RawReply reply;

  fake->mode = FAKE_FULL;
  reply = door_bench_ask (fake, "POST /v1/request/a HTTP/1.1", "body", 4);
  door_bench_expect_come_back (&reply, "ring_full");
  raw_reply_free (&reply);
}

static void
test_refusal_of_the_core (void **state)
{
  FakeBackend *fake = *state;
  RawReply reply;

  fake->response = (MuxCoreResponse){ .outcome = MUX_OUTCOME_NOT_RUN,
                                      .reason = MUX_REASON_QUEUE_FULL,
                                      .status = 429,
                                      .retry_after_ms = 1500 };
  reply = door_bench_ask (fake, "POST /v1/request/a HTTP/1.1", "", 0);
  assert_int_equal (reply.status, 429);
  assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "not_run");
  assert_string_equal (raw_header (&reply, "Cuminmux-Reason"), "queue_full");
  assert_string_equal (raw_header (&reply, "Retry-After"), "2");
  assert_string_equal (raw_header (&reply, "Cuminmux-Retry-Ms"), "1500");
  assert_string_equal (raw_header (&reply, "Content-Type"), "application/json");
  assert_non_null (strstr (reply.body, "\"queue_full\""));
  raw_reply_free (&reply);
}

/* The daemon stops while a request runs.  New requests are refused, the
 * response under way is still written completely, and only then may the process
 * end. */
static void
test_stop_cuts_nothing_off (void **state)
{
  FakeBackend *fake = *state;
  RawReply reply;
  int fd;

  fake->mode = FAKE_HOLD;
  fd = door_bench_begin (fake, "POST /v1/request/a HTTP/1.1");
  fake_backend_wait_requests (fake, 1);
  mux_http_server_begin_drain (fake->server);
  reply = door_bench_ask (fake, "POST /v1/request/a HTTP/1.1", "", 0);
  door_bench_expect_come_back (&reply, "stopping");
  assert_string_equal (raw_header (&reply, "Connection"), "close");
  raw_reply_free (&reply);
  door_bench_expect_status (fake, "GET /readyz HTTP/1.1", "", 0, 503);
  mux_http_server_stop_accepting (fake->server);
  assert_false (mux_http_server_drain (fake->server, 0));
  door_bench_answer (fake, fake->requests[0].call_id, "confirmed");
  assert_true (mux_http_server_drain (fake->server, 60000));
  mux_http_server_stop (fake->server);
  reply = raw_read_reply (fd);
  door_bench_expect_body (&reply, "confirmed");
  close (fd);
}

/* The stop's timeout passes while a request is in flight: its caller must not
 * get "not run". */
static void
test_abandoned_is_unknown (void **state)
{
  FakeBackend *fake = *state;
  RawReply reply;
  int fd;

  fake->mode = FAKE_HOLD;
  fd = door_bench_begin (fake, "POST /v1/request/a HTTP/1.1");
  fake_backend_wait_requests (fake, 1);
  mux_http_server_fail_pending (fake->server);
  reply = raw_read_reply (fd);
  assert_int_equal (reply.status, 504);
  assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "unknown");
  raw_reply_free (&reply);
  close (fd);
}

/* A request takes longer than the idle timeout of connections.  Its caller's
 * connection is idle because it waits; if it were closed, then or when the
 * response comes, the response would be lost.  A connection without a waiting
 * caller must be closed, or dead ones accumulate. */
static void
test_waiting_is_not_silence (void **state)
{
  FakeBackend *fake = *state;
  RawReply reply;
  int waiting;
  int silent;

  fake->mode = FAKE_HOLD;
  waiting = door_bench_begin (fake, "POST /v1/request/a HTTP/1.1");
  fake_backend_wait_requests (fake, 1);
  silent = raw_connect (fake->addr);
  raw_wait_closed (silent);
  close (silent);
  door_bench_answer (fake, fake->requests[0].call_id, "late but whole");
  reply = raw_read_reply (waiting);
  door_bench_expect_body (&reply, "late but whole");
  raw_wait_closed (waiting);
  close (waiting);
}

/* A caller closes its connection.  The core gets the event, and a response that
 * still comes must not reach the next caller. */
static void
test_caller_hangs_up (void **state)
{
  MuxCoreResponse late = { .outcome = MUX_OUTCOME_DONE, .status = 200 };
  FakeBackend *fake = *state;
  uint64_t call;

  fake->mode = FAKE_HOLD;
  close (door_bench_begin (fake, "POST /v1/request/a HTTP/1.1"));
  call = fake_backend_wait_disconnect (fake);
  assert_int_equal (call, fake->requests[0].call_id);
  assert_true (mux_http_server_drain (fake->server, 60000));
  late.call_id = call;
  assert_false (mux_http_server_respond (fake->server, &late));
}

static void
test_keep_alive (void **state)
{
  static const char next[] = "GET /v1/risk HTTP/1.1\r\nHost: x\r\n\r\n";
  FakeBackend *fake = *state;
  int fd = door_bench_begin (fake, "GET /v1/status HTTP/1.1");
  RawReply reply = raw_read_reply (fd);

  assert_int_equal (reply.status, 200);
  raw_reply_free (&reply);
  assert_true (raw_send (fd, next, sizeof next - 1));
  reply = raw_read_reply (fd);
  assert_int_equal (reply.status, 200);
  assert_int_equal (fake->request_count, 2);
  raw_reply_free (&reply);
  close (fd);
}

static RawReply
own_page (FakeBackend *fake, const char *line, int status)
{
  RawReply reply = door_bench_ask (fake, line, "", 0);

  assert_int_equal (reply.status, status);
  assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "info");
  return reply;
}

static void
test_own_pages (void **state)
{
  FakeBackend *fake = *state;
  RawReply reply = own_page (fake, "GET /healthz HTTP/1.1", 200);

  raw_reply_free (&reply);
  reply = own_page (fake, "GET /readyz HTTP/1.1", 200);
  raw_reply_free (&reply);
  fake->is_ready = false;
  reply = own_page (fake, "GET /readyz HTTP/1.1", 503);
  raw_reply_free (&reply);
  reply = own_page (fake, "GET /metrics HTTP/1.1", 200);
  assert_non_null (strstr (reply.body, "cuminmux_refused_total{reason=\"bad_"));
  raw_reply_free (&reply);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    DOOR_TEST (test_bytes_pass_unchanged),
    DOOR_TEST (test_answers_out_of_order),
    DOOR_TEST (test_callers_full),
    DOOR_TEST (test_ring_full),
    DOOR_TEST (test_refusal_of_the_core),
    DOOR_TEST (test_stop_cuts_nothing_off),
    DOOR_TEST (test_abandoned_is_unknown),
    DOOR_TEST (test_waiting_is_not_silence),
    DOOR_TEST (test_caller_hangs_up),
    DOOR_TEST (test_keep_alive),
    DOOR_TEST (test_own_pages),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
