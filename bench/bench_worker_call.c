/* What a call to a worker costs the caller: ulfius's client, the adapter's
 * client (a handle kept, a connection for each call) and the same handle with
 * its connection kept too.  Prints microseconds and their ratios. */
#include "../src/adapter/worker_http_client.h"
#include "standin/worker_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <ulfius.h>

#define CALLS 3000

typedef struct
{
  char url[128];
  struct curl_slist *headers;
  MuxWorkerClient *client;
  CURL *kept;
} Bench;

static const char *const lines[]
    = { "Expect:",
        "Content-Type: application/octet-stream",
        "Cuminmux-Worker: w1",
        "Cuminmux-Owner: m1",
        "Cuminmux-Epoch: 0",
        "Cuminmux-Incarnation: 1",
        "Cuminmux-Task: 00000000000000000000000000000001" };

#define LINES (sizeof lines / sizeof *lines)

static size_t
ignore (char *bytes, size_t size, size_t count, void *ctx)
{
  (void) bytes;
  (void) ctx;
  return size * count;
}

static void
check (bool good, const char *what)
{
  if (good)
    return;
  fprintf (stderr, "bench_worker_call: %s failed\n", what);
  exit (EXIT_FAILURE);
}

static void
call_ulfius (Bench *b)
{
  struct _u_request request;
  struct _u_response response;

  ulfius_init_request (&request);
  ulfius_init_response (&response);
  ulfius_set_request_properties (&request, U_OPT_HTTP_VERB, "POST",
                                 U_OPT_HTTP_URL, b->url, U_OPT_TIMEOUT, 5UL,
                                 U_OPT_NONE);
  for (size_t i = 1; i < LINES; i++)
    {
      char name[64];
      const char *colon = strchr (lines[i], ':');

      snprintf (name, sizeof name, "%.*s", (int) (colon - lines[i]), lines[i]);
      u_map_put (request.map_header, name, colon + 2);
    }
  check (ulfius_send_http_request (&request, &response) == U_OK
             && response.status == 200,
         "ulfius");
  ulfius_clean_response (&response);
  ulfius_clean_request (&request);
}

static void
call_adapter (Bench *b)
{
  MuxWorkerRequest request = { b->url, b->headers, NULL, 5000 };

  check (mux_worker_client_post (b->client, &request) == MUX_EXCHANGE_COMPLETE,
         "post");
}

static void
call_kept (Bench *b)
{
  check (curl_easy_perform (b->kept) == CURLE_OK, "kept");
}

static double
cpu_us (void)
{
  struct rusage use;

  getrusage (RUSAGE_THREAD, &use);
  return (double) (use.ru_utime.tv_sec + use.ru_stime.tv_sec) * 1e6
         + (double) (use.ru_utime.tv_usec + use.ru_stime.tv_usec);
}

static double
wall_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double) now.tv_sec * 1e6 + (double) now.tv_nsec / 1e3;
}

static double
measure (const char *name, void (*call) (Bench *), Bench *b, double base_us)
{
  double cpu;
  double wall;

  for (int i = 0; i < CALLS / 10; i++)
    call (b);
  cpu = cpu_us ();
  wall = wall_us ();
  for (int i = 0; i < CALLS; i++)
    call (b);
  cpu = (cpu_us () - cpu) / CALLS;
  wall = (wall_us () - wall) / CALLS;
  printf ("%-22s cpu %6.1f us  wall %6.1f us  cpu ratio %.2f\n", name, cpu,
          wall, base_us > 0 ? cpu / base_us : 1.0);
  return cpu;
}

static void
set_up_kept (Bench *b)
{
  b->kept = curl_easy_init ();
  curl_easy_setopt (b->kept, CURLOPT_URL, b->url);
  curl_easy_setopt (b->kept, CURLOPT_PROXY, "");
  curl_easy_setopt (b->kept, CURLOPT_POSTFIELDS, "");
  curl_easy_setopt (b->kept, CURLOPT_HTTPHEADER, b->headers);
  curl_easy_setopt (b->kept, CURLOPT_WRITEFUNCTION, ignore);
}

int
main (void)
{
  StandinWorkerServerOptions options
      = { .worker = { .name = "w1", .incarnation = 1 },
          .listen = "127.0.0.1:0",
          .log_fd = -1 };
  atomic_bool stop = false;
  Bench b = { .client = mux_worker_client_new (&stop) };
  StandinWorkerServer *server = standin_worker_server_new (&options, NULL);
  double base_us;

  check (server != NULL && b.client != NULL, "set-up");
  ulfius_global_init ();
  snprintf (b.url, sizeof b.url, "http://%s/worker/fetch",
            standin_worker_server_addr (server));
  for (size_t i = 0; i < LINES; i++)
    b.headers = curl_slist_append (b.headers, lines[i]);
  set_up_kept (&b);
  base_us = measure ("ulfius's client", call_ulfius, &b, 0);
  measure ("adapter's client", call_adapter, &b, base_us);
  measure ("kept connection", call_kept, &b, base_us);
  curl_easy_cleanup (b.kept);
  curl_slist_free_all (b.headers);
  mux_worker_client_free (b.client);
  standin_worker_server_free (server);
  return EXIT_SUCCESS;
}
