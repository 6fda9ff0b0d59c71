#include "support/fake_backend.h"
#include "support/raw_http.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define BODY_MAX 4096
#define CALLERS_MAX 2
#define TASK_ID "00000000000000010000000000000002"

typedef struct
{
  FakeBackend fake;
  MuxCounters *counters;
  MuxDoor *door;
  char addr[MUX_ADDR_LEN];
} Bench;

static int
setup (void **state)
{
  Bench *bench = calloc (1, sizeof *bench);
  MuxDoorOptions options = { .listen = "127.0.0.1:0",
                             .callers_max = CALLERS_MAX,
                             .idle_s = 1,
                             .body_max = BODY_MAX };
  MuxError err = { MUX_ERROR_NONE, "" };

  assert_non_null (bench);
  fake_backend_init (&bench->fake);
  bench->counters = mux_counters_new ();
  options.backend = &bench->fake.backend;
  options.counters = bench->counters;
  bench->door = mux_door_new (&options, &err);
  assert_non_null (bench->door);
  bench->fake.door = bench->door;
  if (!mux_door_listen (bench->door, bench->addr, &err))
    fail_msg ("%s", err.text);
  *state = bench;
  return 0;
}

static int
teardown (void **state)
{
  Bench *bench = *state;

  mux_door_abandon (bench->door);
  mux_door_free (bench->door);
  fake_backend_clear (&bench->fake);
  mux_counters_free (bench->counters);
  free (bench);
  return 0;
}

static RawReply
ask (Bench *bench, const char *line_and_headers, const void *body, size_t len)
{
  size_t cap = strlen (line_and_headers) + len + 128;
  char *text = calloc (1, cap);
  int n = snprintf (text, cap, "%s\r\nHost: x\r\nContent-Length: %zu\r\n\r\n",
                    line_and_headers, len);
  RawReply reply;

  if (len > 0)
    memcpy (text + n, body, len);
  reply = raw_exchange (bench->addr, text, (size_t) n + len);
  free (text);
  return reply;
}

/* Sends a request and leaves its answer to be read from the result. */
static int
begin (Bench *bench, const char *line_and_headers)
{
  char text[512];
  int fd = raw_connect (bench->addr);
  int n
      = snprintf (text, sizeof text, "%s\r\nHost: x\r\n\r\n", line_and_headers);

  assert_true (raw_send (fd, text, (size_t) n));
  return fd;
}

static void
answer_text (Bench *bench, uint64_t call, const char *text)
{
  MuxAnswer answer = { .call = call,
                       .outcome = MUX_OUTCOME_DONE,
                       .status = 200,
                       .body = mux_blob_new (text, strlen (text)) };

  assert_true (mux_door_answer (bench->door, &answer));
  mux_blob_unref (answer.body);
}

static void
expect_body (RawReply *reply, const char *text)
{
  assert_int_equal (reply->status, 200);
  assert_string_equal (raw_header (reply, "Cuminmux-Outcome"), "done");
  assert_int_equal (reply->body_len, strlen (text));
  assert_memory_equal (reply->body, text, strlen (text));
  raw_reply_free (reply);
}

/* A hotel desk sends a form or a photograph and gets the task's bytes back.
 * Any byte changed, dropped or parsed on the way spoils the booking; bytes of
 * value 0 and form types are where HTTP libraries do so. */
static void
test_bytes_pass_unchanged (void **state)
{
  Bench *bench = *state;
  char bytes[1024];
  RawReply reply;

  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (char) i;
  bench->fake.answer.outcome = MUX_OUTCOME_DONE;
  bench->fake.answer.task = (MuxId){ 1, 2 };
  bench->fake.answer.body = mux_blob_new (bytes, sizeof bytes);
  reply = ask (bench,
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
  assert_int_equal (bench->fake.ask_count, 1);
  assert_int_equal (bench->fake.asks[0].verb, MUX_ASK_REQUEST);
  assert_string_equal (bench->fake.asks[0].name, "basket");
  assert_string_equal (bench->fake.asks[0].key, "k 1~");
  assert_int_equal (bench->fake.asks[0].give_up_ms, 1500);
  assert_int_equal (bench->fake.asks[0].body->len, sizeof bytes);
  assert_memory_equal (bench->fake.asks[0].body->bytes, bytes, sizeof bytes);
  mux_blob_unref (bench->fake.answer.body);
  raw_reply_free (&reply);
}

typedef struct
{
  const char *request;
  MuxReason reason;
} BadCase;

#define KEY_64 \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const BadCase bad_cases[] = {
  { "POST /v1/request/basket HTTP/1.1\r\nIdempotency-Key: ",
    MUX_REASON_BAD_KEY },
  { "POST /v1/request/basket HTTP/1.1\r\nIdempotency-Key: " KEY_64 KEY_64 "x",
    MUX_REASON_BAD_KEY },
  { "POST /v1/request/basket HTTP/1.1\r\nIdempotency-Key: a\xff"
    "b",
    MUX_REASON_BAD_KEY },
  { "POST /v1/request/basket HTTP/1.1\r\nIdempotency-Key: a\tb",
    MUX_REASON_BAD_KEY },
  { "POST /v1/jobs?class=c&tasks=1 HTTP/1.1\r\nIdempotency-Key: \x80",
    MUX_REASON_BAD_KEY },
  { "POST /v1/request/basket HTTP/1.1\r\nIdempotency-Key: a\r\n"
    "Idempotency-Key: b",
    MUX_REASON_BAD_KEY },
  { "POST /v1/request/basket HTTP/1.1\r\nIdempotency-Key: a\r\n"
    "idempotency-key: b",
    MUX_REASON_BAD_KEY },
  { "POST /v1/jobs?class=c&tasks=1 HTTP/1.1\r\nIDEMPOTENCY-KEY: a\r\n"
    "Idempotency-Key: a",
    MUX_REASON_BAD_KEY },
  { "POST /v1/request/basket HTTP/1.1\r\nCuminmux-Ticket: a\r\n"
    "cuminmux-ticket: b",
    MUX_REASON_BAD_TICKET },
  { "POST /v1/request/basket HTTP/1.1\r\nCuminmux-Give-Up-Ms: 5\r\n"
    "cuminmux-give-up-ms: 6",
    MUX_REASON_BAD_FIELD },
  { "PUT /v1/config/class/a HTTP/1.1\r\nCuminmux-Who: a\r\ncuminmux-who: b",
    MUX_REASON_BAD_FIELD },
  { "POST /v1/jobs?class=c&class=d&tasks=1 HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "POST /v1/request/b%40d HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "POST /v1/request/" KEY_64 " HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "POST /v1/request/a?class_name=b HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "POST /v1/request/a HTTP/1.1\r\nCuminmux-Give-Up-Ms: 0",
    MUX_REASON_BAD_FIELD },
  { "POST /v1/request/a HTTP/1.1\r\nCuminmux-Give-Up-Ms: -1",
    MUX_REASON_BAD_FIELD },
  { "POST /v1/request/a HTTP/1.1\r\nCuminmux-Give-Up-Ms: 99999999999999999999",
    MUX_REASON_BAD_FIELD },
  { "POST /v1/jobs HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "POST /v1/jobs?class=c&tasks=0 HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "POST /v1/jobs?class=c&tasks=4097 HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "GET /v1/jobs/12 HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "GET /v1/jobs/" TASK_ID "?wait_ms=x HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "DELETE /v1/jobs/" TASK_ID "0 HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "GET /v1/config/nonsense HTTP/1.1", MUX_REASON_UNKNOWN_PATH },
  { "PUT /v1/config/class/a?expect=x HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "PUT /v1/config/class/a HTTP/1.1\r\nCuminmux-Change: 1",
    MUX_REASON_BAD_FIELD },
  { "PUT /v1/config/class/a HTTP/1.1\r\nCuminmux-Who: a b",
    MUX_REASON_BAD_FIELD },
  { "POST /v1/config/class/a/revert HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "GET /v1/history?after=-1 HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "POST /v1/workers/a%20b/drain HTTP/1.1", MUX_REASON_BAD_FIELD },
  { "GET /v2/status HTTP/1.1", MUX_REASON_UNKNOWN_PATH },
  { "GET / HTTP/1.1", MUX_REASON_UNKNOWN_PATH },
  { "PATCH /v1/status HTTP/1.1", MUX_REASON_UNKNOWN_PATH },
};

/* A caller's mistake must come back as such.  Taken for something else, a
 * malformed key would let a voucher be redeemed as if it had none; and of two
 * keys, one by the desk and one by a gateway before it, one would be picked in
 * silence, so that the desk's repeat under its own key redeems it again. */
static void
test_bad_input_is_refused_and_counted (void **state)
{
  Bench *bench = *state;

  for (size_t i = 0; i < sizeof bad_cases / sizeof bad_cases[0]; i++)
    {
      MuxReason reason = bad_cases[i].reason;
      uint64_t before = mux_refused_value (bench->counters, reason);
      RawReply reply = ask (bench, bad_cases[i].request, NULL, 0);

      if (reply.status != (int) mux_reason_status (reason)
          || strcmp (raw_header (&reply, "Cuminmux-Reason"),
                     mux_reason_name (reason))
                 != 0)
        fail_msg ("%s: %s", bad_cases[i].request, reply.head);
      assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "not_run");
      assert_non_null (strstr (reply.body, mux_reason_name (reason)));
      assert_int_equal (mux_refused_value (bench->counters, reason),
                        before + 1);
      raw_reply_free (&reply);
    }
  assert_int_equal (bench->fake.ask_count, 0);
}

static void
test_all_findings_of_a_request (void **state)
{
  Bench *bench = *state;
  RawReply reply = ask (bench, "POST /v1/jobs?class=*&tasks=x HTTP/1.1", "", 0);

  assert_non_null (strstr (reply.body, "query.class"));
  assert_non_null (strstr (reply.body, "query.tasks"));
  raw_reply_free (&reply);
}

static void
test_ask_of_each_path (void **state)
{
  static const struct
  {
    const char *request;
    MuxAskVerb verb;
  } cases[] = {
    { "POST /v1/jobs?class=c&tasks=3 HTTP/1.1", MUX_ASK_JOB_SUBMIT },
    { "GET /v1/jobs HTTP/1.1", MUX_ASK_JOB_LIST },
    { "GET /v1/jobs/" TASK_ID " HTTP/1.1", MUX_ASK_JOB_GET },
    { "GET /v1/jobs/" TASK_ID "?wait_ms=5 HTTP/1.1", MUX_ASK_JOB_WAIT },
    { "DELETE /v1/jobs/" TASK_ID " HTTP/1.1", MUX_ASK_JOB_CANCEL },
    { "PUT /v1/config/class/a?expect=0 HTTP/1.1", MUX_ASK_CONFIG_PUT },
    { "DELETE /v1/config/product/a HTTP/1.1", MUX_ASK_CONFIG_REMOVE },
    { "GET /v1/config/cell/cell HTTP/1.1", MUX_ASK_CONFIG_GET },
    { "GET /v1/config/class HTTP/1.1", MUX_ASK_CONFIG_LIST },
    { "POST /v1/config/class/a/revert?to=7 HTTP/1.1", MUX_ASK_CONFIG_REVERT },
    { "GET /v1/history?after=9 HTTP/1.1", MUX_ASK_CONFIG_HISTORY },
    { "GET /v1/status HTTP/1.1", MUX_ASK_STATUS },
    { "GET /v1/workers HTTP/1.1", MUX_ASK_WORKERS },
    { "GET /v1/risk HTTP/1.1", MUX_ASK_RISK },
    { "POST /v1/workers/w1/drain HTTP/1.1", MUX_ASK_DRAIN },
    { "POST /v1/workers/w1/undrain HTTP/1.1", MUX_ASK_DRAIN },
  };
  Bench *bench = *state;
  MuxAsk *asks = bench->fake.asks;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      RawReply reply = ask (bench, cases[i].request, "{}", 2);

      assert_int_equal (reply.status, 200);
      assert_int_equal (bench->fake.ask_count, i + 1);
      assert_int_equal (asks[i].verb, cases[i].verb);
      raw_reply_free (&reply);
    }
  assert_int_equal (asks[0].task_count, 3);
  assert_int_equal (asks[2].id.lo, 2);
  assert_int_equal (asks[3].give_up_ms, 5);
  assert_true (asks[5].expect_set);
  assert_string_equal (asks[5].body->bytes, "{}");
  assert_int_equal (asks[6].sort, MUX_CONFIG_PRODUCT);
  assert_int_equal (asks[9].revision, 7);
  assert_int_equal (asks[10].revision, 9);
  assert_true (asks[14].flag);
  assert_false (asks[15].flag);
}

static void
test_body_limit (void **state)
{
  static char body[BODY_MAX * 4];
  static const char chunked[] = "POST /v1/request/a HTTP/1.1\r\nHost: x\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n1800\r\n";
  Bench *bench = *state;
  RawReply reply = ask (bench, "POST /v1/request/a HTTP/1.1", body, BODY_MAX);
  int fd;

  assert_int_equal (reply.status, 200);
  raw_reply_free (&reply);
  reply = ask (bench, "POST /v1/request/a HTTP/1.1", body, BODY_MAX + 1);
  assert_int_equal (reply.status, 413);
  raw_reply_free (&reply);
  reply = ask (bench, "PUT /v1/config/class/a HTTP/1.1", body, sizeof body);
  assert_int_equal (reply.status, 413);
  raw_reply_free (&reply);
  fd = raw_connect (bench->addr);
  raw_send (fd, chunked, sizeof chunked - 1);
  raw_send (fd, body, 0x1800);
  raw_send (fd, "\r\n0\r\n\r\n", 7);
  reply = raw_read_reply (fd);
  assert_int_equal (reply.status, 413);
  raw_reply_free (&reply);
  close (fd);
  assert_int_equal (
      mux_refused_value (bench->counters, MUX_REASON_BODY_TOO_LARGE), 3);
  assert_int_equal (bench->fake.ask_count, 1);
}

/* Two desks wait; the second one's answer is ready first.  Each must read
 * its own, or a guest gets the seat of another. */
static void
test_answers_out_of_order (void **state)
{
  Bench *bench = *state;
  RawReply reply;
  int first;
  int second;

  bench->fake.mode = FAKE_HOLD;
  first = begin (bench, "POST /v1/request/a HTTP/1.1");
  fake_backend_wait_asks (&bench->fake, 1);
  second = begin (bench, "POST /v1/request/b HTTP/1.1");
  fake_backend_wait_asks (&bench->fake, 2);
  answer_text (bench, bench->fake.asks[1].call, "of the second");
  reply = raw_read_reply (second);
  expect_body (&reply, "of the second");
  answer_text (bench, bench->fake.asks[0].call, "of the first");
  reply = raw_read_reply (first);
  expect_body (&reply, "of the first");
  close (first);
  close (second);
}

/* In a flood, callers take every place.  The next one must hear at once that
 * it was not run and when to come back, and the operator must still get in
 * to see why. */
static void
test_callers_full (void **state)
{
  Bench *bench = *state;
  int fds[CALLERS_MAX];
  RawReply reply;

  bench->fake.mode = FAKE_HOLD;
  for (uint32_t i = 0; i < CALLERS_MAX; i++)
    {
      fds[i] = begin (bench, "POST /v1/request/a HTTP/1.1");
      fake_backend_wait_asks (&bench->fake, i + 1);
    }
  reply = ask (bench, "POST /v1/request/a HTTP/1.1", "", 0);
  assert_int_equal (reply.status, 503);
  assert_string_equal (raw_header (&reply, "Cuminmux-Reason"), "callers_full");
  assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "not_run");
  assert_string_equal (raw_header (&reply, "Retry-After"), "1");
  assert_int_equal (
      mux_refused_value (bench->counters, MUX_REASON_CALLERS_FULL), 1);
  raw_reply_free (&reply);
  pthread_mutex_lock (&bench->fake.lock);
  bench->fake.mode = FAKE_ANSWER;
  pthread_mutex_unlock (&bench->fake.lock);
  reply = ask (bench, "GET /v1/status HTTP/1.1", "", 0);
  assert_int_equal (reply.status, 200);
  raw_reply_free (&reply);
  for (uint32_t i = 0; i < CALLERS_MAX; i++)
    {
      answer_text (bench, bench->fake.asks[i].call, "whole");
      reply = raw_read_reply (fds[i]);
      expect_body (&reply, "whole");
      close (fds[i]);
    }
}

static void
test_ring_full (void **state)
{
  Bench *bench = *state;
  RawReply reply;

  bench->fake.mode = FAKE_FULL;
  reply = ask (bench, "POST /v1/request/a HTTP/1.1", "body", 4);
  assert_int_equal (reply.status, 503);
  assert_string_equal (raw_header (&reply, "Cuminmux-Reason"), "ring_full");
  assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "not_run");
  assert_string_equal (raw_header (&reply, "Retry-After"), "1");
  raw_reply_free (&reply);
}

static void
test_refusal_of_the_core (void **state)
{
  Bench *bench = *state;
  RawReply reply;

  bench->fake.answer = (MuxAnswer){ .outcome = MUX_OUTCOME_NOT_RUN,
                                    .reason = MUX_REASON_QUEUE_FULL,
                                    .status = 429,
                                    .retry_after_ms = 1500 };
  reply = ask (bench, "POST /v1/request/a HTTP/1.1", "", 0);
  assert_int_equal (reply.status, 429);
  assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "not_run");
  assert_string_equal (raw_header (&reply, "Cuminmux-Reason"), "queue_full");
  assert_string_equal (raw_header (&reply, "Retry-After"), "2");
  assert_string_equal (raw_header (&reply, "Cuminmux-Retry-Ms"), "1500");
  assert_string_equal (raw_header (&reply, "Content-Type"), "application/json");
  assert_non_null (strstr (reply.body, "\"queue_full\""));
  raw_reply_free (&reply);
}

/* The instance is replaced while a guest's seat is being confirmed.  New
 * callers are sent elsewhere, the confirmation under way is still written
 * whole, and only then may the process end. */
static void
test_stop_cuts_nothing_off (void **state)
{
  Bench *bench = *state;
  RawReply reply;
  int fd;

  bench->fake.mode = FAKE_HOLD;
  fd = begin (bench, "POST /v1/request/a HTTP/1.1");
  fake_backend_wait_asks (&bench->fake, 1);
  mux_door_refuse_new (bench->door);
  reply = ask (bench, "POST /v1/request/a HTTP/1.1", "", 0);
  assert_int_equal (reply.status, 503);
  assert_string_equal (raw_header (&reply, "Cuminmux-Reason"), "stopping");
  assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "not_run");
  assert_string_equal (raw_header (&reply, "Retry-After"), "1");
  assert_string_equal (raw_header (&reply, "Connection"), "close");
  raw_reply_free (&reply);
  reply = ask (bench, "GET /readyz HTTP/1.1", "", 0);
  assert_int_equal (reply.status, 503);
  raw_reply_free (&reply);
  mux_door_close_port (bench->door);
  assert_false (mux_door_drain (bench->door, 0));
  answer_text (bench, bench->fake.asks[0].call, "confirmed");
  assert_true (mux_door_drain (bench->door, 60000));
  mux_door_stop_listening (bench->door);
  reply = raw_read_reply (fd);
  expect_body (&reply, "confirmed");
  close (fd);
}

/* The bound of the stop passes with a request still out: its caller must not
 * be told that it was not run. */
static void
test_abandoned_is_unknown (void **state)
{
  Bench *bench = *state;
  RawReply reply;
  int fd;

  bench->fake.mode = FAKE_HOLD;
  fd = begin (bench, "POST /v1/request/a HTTP/1.1");
  fake_backend_wait_asks (&bench->fake, 1);
  mux_door_abandon (bench->door);
  reply = raw_read_reply (fd);
  assert_int_equal (reply.status, 504);
  assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "unknown");
  raw_reply_free (&reply);
  close (fd);
}

/* A booking takes longer than the time after which silent connections are
 * closed.  Its caller is silent because it waits; closing its connection, or
 * its answer when it comes, would cut the confirmation off.  A connection
 * that nobody waits on is closed meanwhile, or dead ones pile up. */
static void
test_waiting_is_not_silence (void **state)
{
  Bench *bench = *state;
  RawReply reply;
  int waiting;
  int silent;

  bench->fake.mode = FAKE_HOLD;
  waiting = begin (bench, "POST /v1/request/a HTTP/1.1");
  fake_backend_wait_asks (&bench->fake, 1);
  silent = raw_connect (bench->addr);
  raw_wait_closed (silent);
  close (silent);
  answer_text (bench, bench->fake.asks[0].call, "late but whole");
  reply = raw_read_reply (waiting);
  expect_body (&reply, "late but whole");
  raw_wait_closed (waiting);
  close (waiting);
}

/* A householder hangs up.  The core hears of it, and an answer that comes all
 * the same reaches nobody, above all not the next caller. */
static void
test_caller_hangs_up (void **state)
{
  MuxAnswer late = { .outcome = MUX_OUTCOME_DONE, .status = 200 };
  Bench *bench = *state;
  uint64_t call;

  bench->fake.mode = FAKE_HOLD;
  close (begin (bench, "POST /v1/request/a HTTP/1.1"));
  call = fake_backend_wait_gone (&bench->fake);
  assert_int_equal (call, bench->fake.asks[0].call);
  assert_true (mux_door_drain (bench->door, 60000));
  late.call = call;
  assert_false (mux_door_answer (bench->door, &late));
}

static void
test_keep_alive (void **state)
{
  static const char next[] = "GET /v1/risk HTTP/1.1\r\nHost: x\r\n\r\n";
  Bench *bench = *state;
  int fd = begin (bench, "GET /v1/status HTTP/1.1");
  RawReply reply = raw_read_reply (fd);

  assert_int_equal (reply.status, 200);
  raw_reply_free (&reply);
  assert_true (raw_send (fd, next, sizeof next - 1));
  reply = raw_read_reply (fd);
  assert_int_equal (reply.status, 200);
  assert_int_equal (bench->fake.ask_count, 2);
  raw_reply_free (&reply);
  close (fd);
}

static RawReply
own_page (Bench *bench, const char *line, int status)
{
  RawReply reply = ask (bench, line, "", 0);

  assert_int_equal (reply.status, status);
  assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "info");
  return reply;
}

static void
test_own_pages (void **state)
{
  Bench *bench = *state;
  RawReply reply = own_page (bench, "GET /healthz HTTP/1.1", 200);

  raw_reply_free (&reply);
  reply = own_page (bench, "GET /readyz HTTP/1.1", 200);
  raw_reply_free (&reply);
  bench->fake.is_ready = false;
  reply = own_page (bench, "GET /readyz HTTP/1.1", 503);
  raw_reply_free (&reply);
  reply = own_page (bench, "GET /metrics HTTP/1.1", 200);
  assert_non_null (strstr (reply.body, "cuminmux_refused_total{reason=\"bad_"));
  raw_reply_free (&reply);
}

#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (test_bytes_pass_unchanged),
    TEST (test_bad_input_is_refused_and_counted),
    TEST (test_all_findings_of_a_request),
    TEST (test_ask_of_each_path),
    TEST (test_body_limit),
    TEST (test_answers_out_of_order),
    TEST (test_callers_full),
    TEST (test_ring_full),
    TEST (test_refusal_of_the_core),
    TEST (test_stop_cuts_nothing_off),
    TEST (test_abandoned_is_unknown),
    TEST (test_waiting_is_not_silence),
    TEST (test_caller_hangs_up),
    TEST (test_keep_alive),
    TEST (test_own_pages),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
