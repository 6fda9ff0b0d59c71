#include "support/door_bench.h"
#include "support/test.h"

#include <unistd.h>

#define TASK_ID "00000000000000010000000000000002"

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

/* Invalid input must be refused as such.  If a malformed key were dropped, the
 * work would run as if it had none.  Of two keys, one set by the caller and one
 * by a gateway, one would be picked silently, so that the caller's retry with
 * its own key runs the work again. */
static void
test_bad_input_is_refused_and_counted (void **state)
{
  FakeBackend *fake = *state;

  for (size_t i = 0; i < sizeof bad_cases / sizeof bad_cases[0]; i++)
    {
      MuxReason reason = bad_cases[i].reason;
      uint64_t before = mux_refused_value (fake->counters, reason);
      RawReply reply = door_bench_ask (fake, bad_cases[i].request, NULL, 0);

      if (reply.status != (int) mux_reason_status (reason)
          || strcmp (raw_header (&reply, "Cuminmux-Reason"),
                     mux_reason_name (reason))
                 != 0)
        fail_msg ("%s: %s", bad_cases[i].request, reply.head);
      assert_string_equal (raw_header (&reply, "Cuminmux-Outcome"), "not_run");
      assert_non_null (strstr (reply.body, mux_reason_name (reason)));
      assert_int_equal (mux_refused_value (fake->counters, reason), before + 1);
      raw_reply_free (&reply);
    }
  assert_int_equal (fake->request_count, 0);
}

static void
test_all_findings_of_a_request (void **state)
{
  FakeBackend *fake = *state;
  RawReply reply
      = door_bench_ask (fake, "POST /v1/jobs?class=*&tasks=x HTTP/1.1", "", 0);

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
    MuxCoreVerb verb;
  } cases[] = {
    { "POST /v1/jobs?class=c&tasks=3 HTTP/1.1", MUX_CORE_JOB_SUBMIT },
    { "GET /v1/jobs HTTP/1.1", MUX_CORE_JOB_LIST },
    { "GET /v1/jobs/" TASK_ID " HTTP/1.1", MUX_CORE_JOB_GET },
    { "GET /v1/jobs/" TASK_ID "?wait_ms=5 HTTP/1.1", MUX_CORE_JOB_WAIT },
    { "DELETE /v1/jobs/" TASK_ID " HTTP/1.1", MUX_CORE_JOB_CANCEL },
    { "PUT /v1/config/class/a?expect=0 HTTP/1.1", MUX_CORE_CONFIG_PUT },
    { "DELETE /v1/config/product/a HTTP/1.1", MUX_CORE_CONFIG_REMOVE },
    { "GET /v1/config/cell/cell HTTP/1.1", MUX_CORE_CONFIG_GET },
    { "GET /v1/config/class HTTP/1.1", MUX_CORE_CONFIG_LIST },
    { "POST /v1/config/class/a/revert?to=7 HTTP/1.1", MUX_CORE_CONFIG_REVERT },
    { "GET /v1/history?after=9 HTTP/1.1", MUX_CORE_CONFIG_HISTORY },
    { "GET /v1/status HTTP/1.1", MUX_CORE_STATUS },
    { "GET /v1/workers HTTP/1.1", MUX_CORE_WORKERS },
    { "GET /v1/risk HTTP/1.1", MUX_CORE_RISK },
    { "POST /v1/workers/w1/drain HTTP/1.1", MUX_CORE_DRAIN },
    { "POST /v1/workers/w1/undrain HTTP/1.1", MUX_CORE_DRAIN },
  };
  FakeBackend *fake = *state;
  MuxCoreRequest *asks = fake->requests;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      RawReply reply = door_bench_ask (fake, cases[i].request, "{}", 2);

      assert_int_equal (reply.status, 200);
      assert_int_equal (fake->request_count, i + 1);
      assert_int_equal (asks[i].verb, cases[i].verb);
      raw_reply_free (&reply);
    }
  assert_int_equal (asks[0].task_count, 3);
  assert_int_equal (asks[2].id.lo, 2);
  assert_int_equal (asks[3].timeout_ms, 5);
  assert_true (asks[5].has_expected);
  assert_string_equal (asks[5].body->bytes, "{}");
  assert_int_equal (asks[6].sort, MUX_CONFIG_PRODUCT);
  assert_int_equal (asks[9].revision, 7);
  assert_int_equal (asks[10].revision, 9);
  assert_true (asks[14].drain);
  assert_false (asks[15].drain);
}

static void
test_body_limit (void **state)
{
  static char body[DOOR_BENCH_BODY_MAX * 4];
  static const char chunked[] = "POST /v1/request/a HTTP/1.1\r\nHost: x\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n1800\r\n";
  FakeBackend *fake = *state;
  RawReply reply;
  int fd;

  door_bench_expect_status (fake, "POST /v1/request/a HTTP/1.1", body,
                            DOOR_BENCH_BODY_MAX, 200);
  door_bench_expect_status (fake, "POST /v1/request/a HTTP/1.1", body,
                            DOOR_BENCH_BODY_MAX + 1, 413);
  door_bench_expect_status (fake, "PUT /v1/config/class/a HTTP/1.1", body,
                            sizeof body, 413);
  fd = raw_connect (fake->addr);
  raw_send (fd, chunked, sizeof chunked - 1);
  raw_send (fd, body, 0x1800);
  raw_send (fd, "\r\n0\r\n\r\n", 7);
  reply = raw_read_reply (fd);
  assert_int_equal (reply.status, 413);
  raw_reply_free (&reply);
  close (fd);
  assert_int_equal (
      mux_refused_value (fake->counters, MUX_REASON_BODY_TOO_LARGE), 3);
  assert_int_equal (fake->request_count, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    DOOR_TEST (test_bad_input_is_refused_and_counted),
    DOOR_TEST (test_all_findings_of_a_request),
    DOOR_TEST (test_ask_of_each_path),
    DOOR_TEST (test_body_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
