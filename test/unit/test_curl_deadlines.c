#include "src/adapter/platform_private.h"
#include "src/adapter/worker_http_client.h"
#include "src/cli/client.h"

#include "base/clock.h"
#include "demo/support/http.h"
#include "support/random.h"
#include "support/slow_servers.h"
#include "support/test.h"

#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

/* Clients that run one exchange at a time.  Each call ends soon after its
 * timeout, also where that is near another timer of the exchange. */

#define SERVERS 40
#define THREADS 48
#define CALLS 8
#define LATE_MAX_MS 500
#define WAIT_MAX_MS 30000
#define STEP_MS 100
#define NS_PER_MS 1000000

static const uint32_t near_ms[] = { 200, 300, 500, 600, 700, 1000, 1001 };

typedef void (*CallFunction) (const char *addr, uint32_t timeout_ms);

static CallFunction call_function;
static SlowServers *servers;
static atomic_uint finished;
static atomic_uint late;

static void
call_worker_client (const char *addr, uint32_t timeout_ms)
{
  atomic_bool stop = false;
  MuxWorkerClient *client = mux_worker_client_new (&stop);
  char url[MUX_ADDR_LEN + sizeof "http:///0/1"];
  MuxWorkerRequest request = { .url = url, .timeout_ms = timeout_ms };

  snprintf (url, sizeof url, "http://%s/0/1", addr);
  (void) mux_worker_client_post (client, &request);
  mux_worker_client_free (client);
}

static void
call_platform_client (const char *addr, uint32_t timeout_ms)
{
  char url[MUX_ADDR_LEN + sizeof "http://"];
  MuxPlatformHttpOptions options
      = { .url = url, .name = "entry", .data_centre = "one" };
  PlatformTimeouts timeouts = { 0 };
  PlatformClient client;
  PlatformRequest request = { .method = "GET", .timeout_ms = timeout_ms };
  PlatformResponse response;

  snprintf (url, sizeof url, "http://%s", addr);
  snprintf (request.path, sizeof request.path, "/0/1");
  assert_true (mux_platform_client_init (&client, &options, &timeouts));
  (void) mux_platform_exchange (&client, &request, &response);
  mux_platform_client_deinit (&client);
}

static void
call_cli_client (const char *addr, uint32_t timeout_ms)
{
  MuxServer server = { .tls = false };
  MuxCliRequest request
      = { .method = "GET", .path = "/0/1", .timeout_ms = timeout_ms };
  MuxCliResponse response;

  snprintf (server.addr, sizeof server.addr, "%s", addr);
  (void) mux_cli_send (&server, NULL, &request, &response);
  mux_cli_response_free (&response);
}

static void
call_demo_client (const char *addr, uint32_t timeout_ms)
{
  MuxHttp *http = mux_http_new ();
  MuxHttpAsk ask = {
    .method = "GET", .addr = addr, .path = "/0/1", .timeout_ms = timeout_ms
  };
  MuxHttpReply reply;

  if (mux_http_call (http, &ask, &reply, NULL))
    mux_http_reply_clear (&reply);
  mux_http_free (http);
}

static void *
run_calls (void *ctx)
{
  MuxRandom random = { (uint64_t) (uintptr_t) ctx };

  for (uint32_t i = 0; i < CALLS; i++)
    {
      uint32_t server = mux_random_below (&random, SERVERS);
      uint32_t timeout_ms = near_ms[mux_random_below (
                                &random, sizeof near_ms / sizeof *near_ms)]
                            + mux_random_below (&random, 7) - 3;
      int64_t began_ms = mux_monotonic_ms ();

      call_function (slow_servers_addr (servers, server), timeout_ms);
      if (mux_monotonic_ms () - began_ms > (int64_t) timeout_ms + LATE_MAX_MS)
        atomic_fetch_add (&late, 1);
    }
  atomic_fetch_add (&finished, 1);
  return NULL;
}

/* A call that never ends keeps its thread, and fails the test. */
static void
check_client (CallFunction function)
{
  pthread_t thread[THREADS];
  struct timespec step = { .tv_nsec = STEP_MS * NS_PER_MS };

  call_function = function;
  atomic_store (&finished, 0);
  atomic_store (&late, 0);
  servers = slow_servers_new (SERVERS);
  for (uintptr_t i = 0; i < THREADS; i++)
    assert_int_equal (
        pthread_create (&thread[i], NULL, run_calls, (void *) (i + 1)), 0);
  for (uint32_t ms = 0; ms < WAIT_MAX_MS && atomic_load (&finished) < THREADS;
       ms += STEP_MS)
    nanosleep (&step, NULL);
  assert_int_equal (atomic_load (&finished), THREADS);
  for (uint32_t i = 0; i < THREADS; i++)
    pthread_join (thread[i], NULL);
  slow_servers_free (servers);
  assert_int_equal (atomic_load (&late), 0);
}

/* Guards against a call of the workers' adapter that outlives its timeout. */
static void
test_worker_calls_end_in_time (void **state)
{
  (void) state;
  check_client (call_worker_client);
}

/* Guards against a call of the platform's adapter that outlives its timeout. */
static void
test_platform_calls_end_in_time (void **state)
{
  (void) state;
  check_client (call_platform_client);
}

/* Guards against a request of the command line that outlives its timeout. */
static void
test_command_line_requests_end_in_time (void **state)
{
  (void) state;
  check_client (call_cli_client);
}

/* Guards against a call of the demo's and the soak's client that outlives its
 * timeout: a check that waits finds nothing. */
static void
test_demo_calls_end_in_time (void **state)
{
  (void) state;
  check_client (call_demo_client);
}

/* Guards against a connection's time limit that ends an exchange which has one,
 * and against a connection that is waited for until the whole timeout. */
static void
test_connecting_has_a_limit_of_its_own (void **state)
{
  atomic_bool stop = false;
  MuxWorkerClient *client = mux_worker_client_new (&stop);
  char url[MUX_ADDR_LEN + sizeof "http:///1500/1"];
  MuxWorkerRequest request = { .url = url, .timeout_ms = 5000 };
  uint32_t full = 0;
  int64_t began_ms;

  (void) state;
  servers = slow_servers_new (SERVERS);
  while (slow_servers_kind (servers, full) != SLOW_SERVER_FULL)
    full++;
  assert_int_equal (slow_servers_kind (servers, 0), SLOW_SERVER_ANSWERS);
  snprintf (url, sizeof url, "http://%s/1500/1",
            slow_servers_addr (servers, 0));
  assert_int_equal (mux_worker_client_post (client, &request),
                    MUX_EXCHANGE_COMPLETE);
  snprintf (url, sizeof url, "http://%s/0/1",
            slow_servers_addr (servers, full));
  began_ms = mux_monotonic_ms ();
  assert_int_equal (mux_worker_client_post (client, &request),
                    MUX_EXCHANGE_NOT_SENT);
  assert_in_range (mux_monotonic_ms () - began_ms, 950, 2000);
  mux_worker_client_free (client);
  slow_servers_free (servers);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_worker_calls_end_in_time),
    cmocka_unit_test (test_platform_calls_end_in_time),
    cmocka_unit_test (test_command_line_requests_end_in_time),
    cmocka_unit_test (test_demo_calls_end_in_time),
    cmocka_unit_test (test_connecting_has_a_limit_of_its_own),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
