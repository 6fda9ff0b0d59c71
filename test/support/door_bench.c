#include "door_bench.h"
#include "support/test.h"

int
door_bench_set_up (void **state)
{
  DoorBench *bench = calloc (1, sizeof *bench);
  MuxDoorOptions options = { .listen = "127.0.0.1:0",
                             .callers_max = DOOR_BENCH_CALLERS_MAX,
                             .idle_s = 1,
                             .body_max = DOOR_BENCH_BODY_MAX };
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

int
door_bench_tear_down (void **state)
{
  DoorBench *bench = *state;

  mux_door_abandon (bench->door);
  mux_door_free (bench->door);
  fake_backend_clear (&bench->fake);
  mux_counters_free (bench->counters);
  free (bench);
  return 0;
}

RawReply
door_bench_ask (DoorBench *bench,
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
  reply = raw_exchange (bench->addr, text, (size_t) n + len);
  free (text);
  return reply;
}

int
door_bench_begin (DoorBench *bench, const char *line_and_headers)
{
  char text[512];
  int fd = raw_connect (bench->addr);
  int n
      = snprintf (text, sizeof text, "%s\r\nHost: x\r\n\r\n", line_and_headers);

  assert_true (raw_send (fd, text, (size_t) n));
  return fd;
}

void
door_bench_answer (DoorBench *bench, uint64_t call, const char *text)
{
  MuxAnswer answer = { .call = call,
                       .outcome = MUX_OUTCOME_DONE,
                       .status = 200,
                       .body = mux_blob_new (text, strlen (text)) };

  assert_true (mux_door_answer (bench->door, &answer));
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
