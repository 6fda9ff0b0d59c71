/* Crowds of clients that keep to no limit, against the product's own interface
 * of a daemon that runs as a process of its own. */
#include "base/id.h"
#include "demo/support/callers.h"
#include "demo/support/cluster.h"
#include "demo/support/proc.h"
#include "support/client_crowd.h"
#include "support/process_bounds.h"
#include "support/raw_http.h"
#include "support/test.h"

#include <libgen.h>
#include <signal.h>

/* Memory of the instance as the daemon is told.  The bound of every test: what
 * the process and its sockets hold stays below it. */
#define MEMORY_MB 96
#define MEMORY_MB_TEXT "96"
#define CALLERS_MAX 256
#define CALLERS_MAX_TEXT "256"
#define BODY_MAX_KIB_TEXT "1024"
/* Descriptors that are not connections of callers. */
#define OTHER_DESCRIPTORS 200
#define CONNECTIONS 160
#define LISTEN_MS 20000
/* Longest wait for one answer, so that a daemon that hangs fails the test. */
#define ANSWER_S 30
#define BODY_BYTES 1000000
#define SHORT_BYTES 10
#define CROWDS 8
#define KIB 1024
#define POST "POST /v1/request/basket HTTP/1.1\r\nHost: x\r\n"
#define ORDINARY_REQUEST POST "Content-Length: 4\r\n\r\nseat"
#define CHUNKED POST "Transfer-Encoding: chunked\r\n\r\n"

typedef struct
{
  MuxProc *proc;
  char addr[MUX_ADDR_LEN];
  ProcessBounds bounds;
  char calm_reason[MUX_NAME_LEN]; /* for which a request is refused in calm */
} Fixture;

static const char *program_dir;

static int
tear_down (void **state)
{
  Fixture *fixture = *state;

  mux_proc_free (fixture->proc);
  free (fixture);
  return 0;
}

/* Return: the status; 0: no complete answer.
 * @reason: receives why the request was refused, MUX_NAME_LEN bytes */
static int
exchange (const char *addr, const char *text, char *reason)
{
  RawReply reply = raw_exchange_text (addr, text, ANSWER_S);
  int status = reply.status;

  snprintf (reason, MUX_NAME_LEN, "%s", raw_header (&reply, "Cuminmux-Reason"));
  raw_reply_free (&reply);
  return status;
}

static int
set_up (void **state)
{
  Fixture *fixture = calloc (1, sizeof *fixture);
  char program[MUX_PATH_LEN];
  const char *argv[]
      = { program,        "--name",         "entry-0",         "--data-centre",
          "nizwa-hall",   "--listen",       "127.0.0.1:0",     "--peer-listen",
          "127.0.0.1:0",  "--callers-max",  CALLERS_MAX_TEXT,  "--memory-mb",
          MEMORY_MB_TEXT, "--body-max-kib", BODY_MAX_KIB_TEXT, NULL };
  MuxProcOptions options = { argv, NULL, LISTEN_MS, NULL };
  MuxError err = { 0 };

  snprintf (program, sizeof program, "%s/../cuminmuxd", program_dir);
  fixture->proc = mux_proc_start (&options, &err);
  if (fixture->proc == NULL)
    fail_msg ("%s", err.text);
  assert_true (
      mux_proc_word (fixture->proc, 0, fixture->addr, sizeof fixture->addr));
  /* There is no record to read the class from. */
  assert_int_equal (
      exchange (fixture->addr, ORDINARY_REQUEST, fixture->calm_reason), 503);
  fixture->bounds = (ProcessBounds){
    .pid = mux_proc_pid (fixture->proc),
    .addrs = { fixture->addr },
    .memory_mib = MEMORY_MB,
    /* Idle connections have as many descriptors as waiting callers. */
    .descriptors_max = 2 * CALLERS_MAX + OTHER_DESCRIPTORS,
  };
  *state = fixture;
  return 0;
}

/* The bounds that hold beside and after every crowd. */
static void
check_bounds (Fixture *fixture)
{
  char reason[MUX_NAME_LEN];

  assert_false (mux_proc_wait (fixture->proc, 0, NULL));
  process_bounds_check (&fixture->bounds);
  assert_int_equal (exchange (fixture->addr,
                              "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
                              reason),
                    200);
  assert_int_equal (exchange (fixture->addr, ORDINARY_REQUEST, reason), 503);
  assert_string_equal (reason, fixture->calm_reason);
}

/* Checks the bounds while a crowd stays open, and after it.  Each connection
 * sends @head, @piece for @pieces times, and in the end @tail if it is not
 * NULL.  Frees @head and @piece. */
static void
play (Fixture *fixture,
      uint32_t connections,
      char *head,
      char *piece,
      uint32_t pieces,
      const char *tail)
{
  ClientCrowdOptions options = { .addr = fixture->addr,
                                 .connections = connections,
                                 .head = head,
                                 .piece = piece,
                                 .pieces = pieces,
                                 .tail = tail,
                                 .on_progress = process_bounds_watch,
                                 .arg = &fixture->bounds };
  ClientCrowd *clients = client_crowd_new (&options);

  if (tail != NULL)
    client_crowd_finish (clients);
  check_bounds (fixture);
  client_crowd_free (clients);
  free (head);
  free (piece);
  check_bounds (fixture);
}

/* Guards against the memory of bodies that stop short of their end. */
static void
test_unfinished_bodies (void **state)
{
  play (*state, CONNECTIONS, crowd_announced (POST, BODY_BYTES),
        crowd_text ("x", BODY_BYTES - SHORT_BYTES), 1, NULL);
}

/* Guards against the memory of whole bodies that end at once: each is copied
 * for the core. */
static void
test_whole_bodies (void **state)
{
  play (*state, CONNECTIONS, crowd_announced (POST, BODY_BYTES),
        crowd_text ("x", BODY_BYTES - SHORT_BYTES), 1, "0123456789");
}

/* Guards against the memory of chunked bodies without their last chunk. */
static void
test_unfinished_chunked_bodies (void **state)
{
  play (*state, CONNECTIONS, strdup (CHUNKED), crowd_chunk (16000), 60, NULL);
}

/* Guards against the memory of bodies in chunks of one byte. */
static void
test_unfinished_bodies_in_chunks_of_one_byte (void **state)
{
  play (*state, 2 * CONNECTIONS, strdup (CHUNKED),
        crowd_text ("1\r\nx\r\n", 1000), 300, NULL);
}

/* Guards against bodies that are announced far over the limit. */
static void
test_announced_over_the_limit (void **state)
{
  play (*state, CONNECTIONS, crowd_announced (POST, 1000000000),
        crowd_text ("x", 20000), 150, NULL);
}

/* Guards against chunked bodies that go on over the limit. */
static void
test_chunked_over_the_limit (void **state)
{
  play (*state, CONNECTIONS, strdup (CHUNKED), crowd_chunk (20000), 150, NULL);
}

/* Guards against limits that a request within them meets. */
static void
test_largest_body_is_taken_in_calm (void **state)
{
  Fixture *fixture = *state;
  char *body = crowd_text ("x", KIB * KIB);
  char *text = malloc (KIB * KIB + KIB);
  char reason[MUX_NAME_LEN];

  snprintf (text, KIB * KIB + KIB, POST "Content-Length: %zu\r\n\r\n%s",
            strlen (body), body);
  assert_int_equal (exchange (fixture->addr, text, reason), 503);
  assert_string_equal (reason, fixture->calm_reason);
  check_bounds (fixture);
  free (text);
  free (body);
}

/* Guards against connections without a request that keep all others out. */
static void
test_silent_connections (void **state)
{
  play (*state, 8 * CALLERS_MAX, NULL, NULL, 0, NULL);
}

/* Guards against memory that a crowd leaves on the account after it has gone:
 * the next crowd would find less room than the first. */
static void
test_second_crowd_is_treated_as_the_first (void **state)
{
  test_unfinished_bodies (state);
  test_whole_bodies (state);
  test_unfinished_chunked_bodies (state);
  test_unfinished_bodies (state);
}

/* Guards against freed memory that the allocator keeps: each crowd would leave
 * some. */
static void
test_crowds_one_after_another (void **state)
{
  for (uint32_t i = 0; i < CROWDS; i++)
    {
      test_whole_bodies (state);
      test_unfinished_chunked_bodies (state);
    }
}

#define PROCESS_TEST(test) \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    PROCESS_TEST (test_unfinished_bodies),
    PROCESS_TEST (test_whole_bodies),
    PROCESS_TEST (test_unfinished_chunked_bodies),
    PROCESS_TEST (test_unfinished_bodies_in_chunks_of_one_byte),
    PROCESS_TEST (test_announced_over_the_limit),
    PROCESS_TEST (test_chunked_over_the_limit),
    PROCESS_TEST (test_largest_body_is_taken_in_calm),
    PROCESS_TEST (test_silent_connections),
    PROCESS_TEST (test_second_crowd_is_treated_as_the_first),
    PROCESS_TEST (test_crowds_one_after_another),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  program_dir = dirname (strdup (argv[0]));
  signal (SIGPIPE, SIG_IGN);
  mux_proc_guard ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
