#include "door_bench.h"
#include "support/test.h"

int
door_bench_set_up (void **state)
{
  FakeBackend *fake = calloc (1, sizeof *fake);

  assert_non_null (fake);
  fake_backend_open (
      fake, (MuxHttpServerOptions){ .callers_max = DOOR_BENCH_CALLERS_MAX,
                                    .idle_timeout_s = 1,
                                    .body_max_bytes = DOOR_BENCH_BODY_MAX,
                                    .memory_bytes = 64 << 20,
                                    .receive_timeout_s = 120 });
  *state = fake;
  return 0;
}

int
door_bench_tear_down (void **state)
{
  fake_backend_close (*state);
  free (*state);
  return 0;
}

RawReply
door_bench_ask (FakeBackend *fake,
                const char *line_and_headers,
                const void *body,
                size_t len)
{
  size_t cap = strlen (line_and_headers) + len + 128;
  char *text = calloc (1, cap);
  int n = snprintf (text, cap, "%s\r\nHost: x\r\nContent-Length: %zu\r\n\r\n",
                    line_and_headers, len);
  RawReply reply;

  if (len > 0)
    memcpy (text + n, body, len);
  reply = raw_exchange (fake->addr, text, (size_t) n + len);
  free (text);
  return reply;
}

int
door_bench_begin (FakeBackend *fake, const char *line_and_headers)
{
  char text[512];
  int fd = raw_connect (fake->addr);
  int n
      = snprintf (text, sizeof text, "%s\r\nHost: x\r\n\r\n", line_and_headers);

  assert_true (raw_send (fd, text, (size_t) n));
  return fd;
}

void
door_bench_answer (FakeBackend *fake, uint64_t call, const char *text)
{
  MuxCoreResponse answer = { .call_id = call,
                             .outcome = MUX_OUTCOME_DONE,
                             .status = 200,
                             .body = mux_blob_new (text, strlen (text)) };

  assert_true (mux_http_server_respond (fake->server, &answer));
  mux_blob_unref (answer.body);
}

void
door_bench_expect_body (RawReply *reply, const char *text)
{
  assert_int_equal (reply->status, 200);
  assert_string_equal (raw_header (reply, "Cuminmux-Outcome"), "done");
  assert_int_equal (reply->body_len, strlen (text));
  assert_memory_equal (reply->body, text, strlen (text));
  raw_reply_free (reply);
}

void
door_bench_expect_status (FakeBackend *fake,
                          const char *line_and_headers,
                          const void *body,
                          size_t len,
                          int status)
{
  RawReply reply = door_bench_ask (fake, line_and_headers, body, len);

  assert_int_equal (reply.status, status);
  raw_reply_free (&reply);
}

void
door_bench_expect_come_back (RawReply *reply, const char *reason)
{
  assert_int_equal (reply->status, 503);
  assert_string_equal (raw_header (reply, "Cuminmux-Reason"), reason);
  assert_string_equal (raw_header (reply, "Cuminmux-Outcome"), "not_run");
  assert_string_equal (raw_header (reply, "Retry-After"), "1");
}
