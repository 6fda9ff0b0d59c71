#include "adapter/http_listener.h"
#include "base/clock.h"
#include "base/id.h"
#include "support/raw_http.h"
#include "support/test.h"

#include <pthread.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNECTIONS_MAX 6
#define SERVED_MAX 4
#define BODY_MAX_BYTES 40000
#define LARGE_BYTES 30000
/* Room for one large body with its copy. */
#define MEMORY_BYTES 80000
#define WAIT_MS 20000
#define POLL_MS 5
#define POST "POST /a%20b?x=1&x=2 HTTP/1.1\r\nHost: h\r\nX-A: 3\r\nX-A: 4\r\n"
#define GET "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
#define CHUNKED POST "Transfer-Encoding: chunked\r\n\r\n"

typedef struct
{
  MuxHttpHandler handler; /* first member */
  MuxCounters *counters;
  MuxHttpListener *listener;
  char addr[MUX_ADDR_LEN];
  char path[64];
  char query[64];
  char header[64];
  size_t body_len;
  atomic_bool holds; /* requests for /held wait */
  atomic_int held;
  atomic_int handled;
  atomic_int open_requests;
  atomic_bool is_overloaded;
} Fixture;

static void
pause_ms (uint32_t ms)
{
  nanosleep (&(struct timespec){ .tv_nsec = ms * 1000000L }, NULL);
}

static void
handle (MuxHttpHandler *handler,
        const struct _u_request *request,
        struct _u_response *response)
{
  Fixture *fixture = (Fixture *) handler;
  const char *query = u_map_get (request->map_url, "x");
  const char *header = u_map_get_case (request->map_header, "x-a");

  if (strcmp (request->url_path, "/held") == 0)
    {
      atomic_fetch_add (&fixture->held, 1);
      while (atomic_load (&fixture->holds))
        pause_ms (POLL_MS);
      atomic_fetch_sub (&fixture->held, 1);
    }
  else
    {
      snprintf (fixture->path, sizeof fixture->path, "%s", request->url_path);
      snprintf (fixture->query, sizeof fixture->query, "%s",
                query != NULL ? query : "");
      snprintf (fixture->header, sizeof fixture->header, "%s",
                header != NULL ? header : "");
      fixture->body_len = request->binary_body_length;
    }
  atomic_fetch_add (&fixture->handled, 1);
  ulfius_set_string_body_response (response, 200, "ok");
}

static void
refuse (MuxHttpHandler *handler,
        const struct _u_request *request,
        MuxHttpRefusal refusal,
        struct _u_response *response)
{
  (void) handler;
  assert_null (request->binary_body);
  ulfius_set_string_body_response (
      response, refusal == MUX_HTTP_BODY_TOO_LARGE ? 413 : 503, "refused");
}

static void
begin (MuxHttpHandler *handler, struct MHD_Connection *connection)
{
  (void) connection;
  atomic_fetch_add (&((Fixture *) handler)->open_requests, 1);
}

static void
end (MuxHttpHandler *handler)
{
  atomic_fetch_sub (&((Fixture *) handler)->open_requests, 1);
}

static bool
is_overloaded (MuxHttpHandler *handler)
{
  return atomic_load (&((Fixture *) handler)->is_overloaded);
}

static int
set_up (void **state)
{
  Fixture *fixture = calloc (1, sizeof *fixture);
  MuxError err = { MUX_ERROR_NONE, "" };
  MuxHttpListenerOptions options = {
    .handler = &fixture->handler,
    .listen = "127.0.0.1:0",
    .has_threads = true,
    .connections_max = CONNECTIONS_MAX,
    .served_max = SERVED_MAX,
    .memory_bytes = MEMORY_BYTES,
    .body_max_bytes = BODY_MAX_BYTES,
    .receive_buffer_bytes = 16384,
    .thread_stack_bytes = 256 * 1024,
    .idle_timeout_s = 60,
    .receive_timeout_s = 1,
  };

  fixture->handler = (MuxHttpHandler){ .handle = handle,
                                       .refuse = refuse,
                                       .begin = begin,
                                       .end = end,
                                       .is_overloaded = is_overloaded };
  fixture->counters = mux_counters_new ();
  options.counters = fixture->counters;
  fixture->listener = mux_http_listener_new (&options, fixture->addr, &err);
  if (fixture->listener == NULL)
    fail_msg ("%s", err.text);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *fixture = *state;

  atomic_store (&fixture->holds, false);
  mux_http_listener_free (fixture->listener);
  assert_int_equal (atomic_load (&fixture->open_requests), 0);
  mux_counters_free (fixture->counters);
  free (fixture);
  return 0;
}

static uint64_t
held_bytes (const Fixture *fixture)
{
  return mux_gauge_value (fixture->counters, MUX_GAUGE_REQUEST_MEMORY);
}

static void
wait_for_held_bytes (const Fixture *fixture, uint64_t bytes)
{
  int64_t until_ms = mux_monotonic_ms () + WAIT_MS;

  while (held_bytes (fixture) != bytes && mux_monotonic_ms () < until_ms)
    pause_ms (POLL_MS);
  assert_int_equal (held_bytes (fixture), bytes);
}

/* Sends the headers of a body of @announced bytes, and @sent of them. */
static int
begin_body (const Fixture *fixture, size_t announced, size_t sent)
{
  char *text = calloc (1, sent + 256);
  int len
      = snprintf (text, 256, "%sContent-Length: %zu\r\n\r\n", POST, announced);
  int fd = raw_connect (fixture->addr);

  memset (text + len, 'x', sent);
  assert_true (raw_send (fd, text, (size_t) len + sent));
  free (text);
  return fd;
}

static void
expect_status (int fd, int status)
{
  RawReply reply = raw_read_reply (fd);

  assert_int_equal (reply.status, status);
  raw_reply_free (&reply);
}

/* Guards against a repeated header or parameter of which one is dropped. */
static void
test_request_is_passed_on (void **state)
{
  Fixture *fixture = *state;
  int fd = begin_body (fixture, LARGE_BYTES, LARGE_BYTES);

  expect_status (fd, 200);
  assert_string_equal (fixture->path, "/a%20b");
  assert_string_equal (fixture->query, "1,2");
  assert_string_equal (fixture->header, "3,4");
  assert_int_equal (fixture->body_len, LARGE_BYTES);
  wait_for_held_bytes (fixture, 0);
  close (fd);
}

/* Guards against an account that is not at zero after a caller has gone. */
static void
test_reset_releases_memory (void **state)
{
  Fixture *fixture = *state;
  struct linger reset = { .l_onoff = 1 };
  int fd = begin_body (fixture, LARGE_BYTES, 20000);

  wait_for_held_bytes (fixture, 2 * LARGE_BYTES);
  (void) setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
  wait_for_held_bytes (fixture, 0);
}

/* Guards against the same when the listener stops. */
static void
test_stop_releases_memory (void **state)
{
  Fixture *fixture = *state;
  int fd = begin_body (fixture, LARGE_BYTES, 20000);

  wait_for_held_bytes (fixture, 2 * LARGE_BYTES);
  mux_http_listener_stop (fixture->listener);
  assert_int_equal (held_bytes (fixture), 0);
  close (fd);
}

/* Guards against a body that keeps its place by a byte now and then. */
static void
test_late_body_is_closed (void **state)
{
  Fixture *fixture = *state;
  int64_t until_ms = mux_monotonic_ms () + WAIT_MS;
  int fd = begin_body (fixture, LARGE_BYTES, 20000);

  while (mux_counter_value (fixture->counters, MUX_COUNT_BODIES_LATE) == 0
         && mux_monotonic_ms () < until_ms)
    {
      (void) raw_send (fd, "x", 1);
      pause_ms (50);
    }
  raw_wait_closed (fd);
  wait_for_held_bytes (fixture, 0);
  close (fd);
}

/* Guards against a body over the limit that is read to its end: it is refused
 * by its headers. */
static void
test_announced_body_over_the_limit (void **state)
{
  Fixture *fixture = *state;
  int fd = begin_body (fixture, BODY_MAX_BYTES + 1, 0);

  expect_status (fd, 413);
  raw_wait_closed (fd);
  close (fd);
  assert_int_equal (atomic_load (&fixture->handled), 0);
  assert_int_equal (
      mux_counter_value (fixture->counters, MUX_COUNT_BODIES_TOO_LARGE), 1);
}

static bool
send_chunk (int fd, size_t bytes)
{
  char *text = calloc (1, bytes + 32);
  int len = snprintf (text, 32, "%zx\r\n", bytes);
  bool sent;

  memset (text + len, 'x', bytes);
  memcpy (text + len + bytes, "\r\n", 2);
  sent = raw_send (fd, text, (size_t) len + bytes + 2);
  free (text);
  return sent;
}

/* Guards against a chunked body over the limit that keeps memory, and against
 * one without end, which is closed. */
static void
test_chunked_body_over_the_limit (void **state)
{
  Fixture *fixture = *state;
  int fd = raw_connect (fixture->addr);

  raw_send (fd, CHUNKED, strlen (CHUNKED));
  send_chunk (fd, BODY_MAX_BYTES);
  wait_for_held_bytes (fixture, 2 * BODY_MAX_BYTES);
  send_chunk (fd, 1);
  wait_for_held_bytes (fixture, 0);
  raw_send (fd, "0\r\n\r\n", 5);
  expect_status (fd, 413);
  close (fd);
  fd = raw_connect (fixture->addr);
  raw_send (fd, CHUNKED, strlen (CHUNKED));
  for (int i = 0; i < 100000 && send_chunk (fd, 1000); i++)
    continue;
  raw_wait_closed (fd);
  close (fd);
  assert_int_equal (atomic_load (&fixture->handled), 0);
}

/* Guards against bodies that take more than the account has; a small one needs
 * none of it, and one that is left unfinished makes room. */
static void
test_bodies_share_the_account (void **state)
{
  Fixture *fixture = *state;
  int64_t until_ms = mux_monotonic_ms () + WAIT_MS;
  int first = begin_body (fixture, LARGE_BYTES, 10);
  int status = 503;
  int fd;

  wait_for_held_bytes (fixture, 2 * LARGE_BYTES);
  fd = begin_body (fixture, MUX_HTTP_SMALL_BODY_BYTES,
                   MUX_HTTP_SMALL_BODY_BYTES);
  expect_status (fd, 200);
  close (fd);
  while (status == 503 && mux_monotonic_ms () < until_ms)
    {
      RawReply reply;

      fd = begin_body (fixture, LARGE_BYTES, 0);
      pause_ms (POLL_MS);
      for (size_t sent = 0; sent < LARGE_BYTES; sent += 1000)
        {
          char piece[1000] = { 0 };

          if (!raw_send (fd, piece, sizeof piece))
            break;
        }
      reply = raw_read_reply (fd);
      status = reply.status;
      raw_reply_free (&reply);
      close (fd);
    }
  assert_int_equal (status, 200);
  raw_wait_closed (first);
  close (first);
  wait_for_held_bytes (fixture, 0);
}

/* Guards against silent connections that keep others out. */
static void
test_silent_connections_make_room (void **state)
{
  Fixture *fixture = *state;
  int silent[3 * CONNECTIONS_MAX];
  int fd;

  for (int i = 0; i < 3 * CONNECTIONS_MAX; i++)
    silent[i] = raw_connect (fixture->addr);
  fd = begin_body (fixture, 1, 1);
  expect_status (fd, 200);
  close (fd);
  raw_wait_closed (silent[0]);
  for (int i = 0; i < 3 * CONNECTIONS_MAX; i++)
    close (silent[i]);
}

/* Guards against a load of usual callers that grows as connections make room
 * for more of them: under overload a new one is closed at once. */
static void
test_no_connection_makes_room_under_overload (void **state)
{
  Fixture *fixture = *state;
  int open[CONNECTIONS_MAX];
  int fd;

  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      open[i] = begin_body (fixture, 1, 1);
      expect_status (open[i], 200);
    }
  atomic_store (&fixture->is_overloaded, true);
  fd = raw_connect (fixture->addr);
  raw_wait_closed (fd);
  close (fd);
  assert_int_equal (
      mux_counter_value (fixture->counters, MUX_COUNT_CONNECTIONS_REFUSED), 1);
  assert_int_equal (
      mux_counter_value (fixture->counters, MUX_COUNT_CONNECTIONS_CLOSED), 0);
  atomic_store (&fixture->is_overloaded, false);
  fd = begin_body (fixture, 1, 1);
  expect_status (fd, 200);
  close (fd);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    close (open[i]);
}

/* Guards against a request that is served and loses its response to others,
 * and against callers beyond the served ones who get no answer. */
static void
test_served_requests_get_their_responses (void **state)
{
  Fixture *fixture = *state;
  int served[SERVED_MAX];
  int silent[2 * CONNECTIONS_MAX];
  int fd;

  atomic_store (&fixture->holds, true);
  for (int i = 0; i < SERVED_MAX; i++)
    {
      served[i] = raw_connect (fixture->addr);
      raw_send (served[i], GET, strlen (GET));
    }
  while (atomic_load (&fixture->held) < SERVED_MAX)
    pause_ms (POLL_MS);
  for (int i = 0; i < 2 * CONNECTIONS_MAX; i++)
    silent[i] = raw_connect (fixture->addr);
  fd = begin_body (fixture, 1, 1);
  expect_status (fd, 503);
  close (fd);
  atomic_store (&fixture->holds, false);
  for (int i = 0; i < SERVED_MAX; i++)
    {
      expect_status (served[i], 200);
      close (served[i]);
    }
  for (int i = 0; i < 2 * CONNECTIONS_MAX; i++)
    close (silent[i]);
  assert_int_equal (
      mux_counter_value (fixture->counters, MUX_COUNT_REQUESTS_TOO_MANY), 1);
}

#define LISTENER_TEST(test) \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    LISTENER_TEST (test_request_is_passed_on),
    LISTENER_TEST (test_reset_releases_memory),
    LISTENER_TEST (test_stop_releases_memory),
    LISTENER_TEST (test_late_body_is_closed),
    LISTENER_TEST (test_announced_body_over_the_limit),
    LISTENER_TEST (test_chunked_body_over_the_limit),
    LISTENER_TEST (test_bodies_share_the_account),
    LISTENER_TEST (test_silent_connections_make_room),
    LISTENER_TEST (test_no_connection_makes_room_under_overload),
    LISTENER_TEST (test_served_requests_get_their_responses),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
