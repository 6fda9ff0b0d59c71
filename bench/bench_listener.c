/* What a request of the usual size costs at the shared listener against the
 * same request at ulfius's own server, in one run, in alternating rounds: time
 * and processor time a request, client included, on a kept connection and on a
 * connection for each request. */
#include "adapter/http_listener.h"
#include "adapter/listen.h"
#include "base/address.h"
#include "base/id.h"
#include "base/json_load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define ROUNDS 9
#define REQUESTS 4000
#define CONNECTIONS_MAX 1024
#define THREAD_STACK_BYTES (128 * 1024)
#define BODY                                                                \
  "{\"spec\":\"seat 12, dawn flight\",\"steps\":[{\"count\":4,\"cpu\":500," \
  "\"memory_request_mb\":256,\"estimated_ms\":900,\"data_rack\":\"r1-3\"}," \
  "{\"count\":20,\"cpu\":2000,\"memory_request_mb\":1024,"                  \
  "\"estimated_ms\":7000,\"after\":[0],\"checkpointing\":true}]}"

typedef enum
{
  ULFIUS,
  LISTENER,
  SERVERS
} Server;

typedef struct
{
  double time_us[ROUNDS];
  double cpu_us[ROUNDS];
} Samples;

static void
check (bool good, const char *what)
{
  if (good)
    return;
  fprintf (stderr, "bench_listener: %s\n", what);
  exit (EXIT_FAILURE);
}

static void
respond (struct _u_response *response, json_t *json)
{
  check (json_array_size (json_object_get (json, "steps")) == 2, "parse");
  json_decref (json);
  ulfius_set_string_body_response (response, 200, "{}");
}

static int
handle_ulfius (const struct _u_request *request,
               struct _u_response *response,
               void *arg)
{
  (void) arg;
  respond (response, json_loadb (request->binary_body,
                                 request->binary_body_length, 0, NULL));
  return U_CALLBACK_COMPLETE;
}

static void
handle (MuxHttpHandler *handler,
        const struct _u_request *request,
        struct _u_response *response)
{
  static const MuxJsonLimits limits
      = { MUX_JSON_BODY_DEPTH_MAX, MUX_JSON_BODY_VALUES_MAX };

  (void) handler;
  respond (response,
           mux_json_load (request->binary_body, request->binary_body_length,
                          &limits, 0, NULL));
}

static void
start_ulfius (struct _u_instance *http, char *addr)
{
  struct MHD_OptionItem options[] = {
    { MHD_OPTION_LISTEN_SOCKET, 0, NULL },
    { MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, NULL },
    { MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL },
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t) mhd_request_completed, NULL },
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t) ulfius_uri_logger, NULL },
    { MHD_OPTION_END, 0, NULL },
  };

  check (ulfius_init_instance (http, 1, NULL, NULL) == U_OK, "ulfius");
  http->check_utf8 = 0;
  http->allowed_post_processor = U_POST_PROCESS_NONE;
  check (ulfius_set_default_endpoint (http, handle_ulfius, NULL) == U_OK,
         "ulfius");
  options[0].value = mux_listen_open ("127.0.0.1:0", 0, addr, NULL);
  check (ulfius_start_framework_with_mhd_options (
             http,
             MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
                 | MHD_USE_POLL | MHD_USE_ITC,
             options)
             == U_OK,
         "ulfius");
}

static MuxHttpListener *
start_listener (MuxHttpHandler *handler, MuxCounters *counters, char *addr)
{
  MuxHttpListenerOptions options = {
    .handler = handler,
    .counters = counters,
    .listen = "127.0.0.1:0",
    .has_threads = true,
    .connections_max = CONNECTIONS_MAX,
    .served_max = CONNECTIONS_MAX,
    .memory_bytes = 64 << 20,
    .body_max_bytes = 256 * 1024,
    .receive_buffer_bytes = 16 * 1024,
    .thread_stack_bytes = THREAD_STACK_BYTES,
    .idle_timeout_s = 60,
    .receive_timeout_s = 120,
  };
  MuxHttpListener *listener = mux_http_listener_new (&options, addr, NULL);

  check (listener != NULL, "listener");
  return listener;
}

static int
open_connection (const char *addr)
{
  struct sockaddr_storage to;
  socklen_t len;
  int fd;

  check (mux_address_parse (addr, &to, &len), addr);
  fd = socket (to.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  check (connect (fd, (struct sockaddr *) &to, len) == 0, "connect");
  return fd;
}

static void
exchange (int fd)
{
  static const char request[] = "POST /queue/5c0e7a21d94b36f8 HTTP/1.1\r\n"
                                "Host: nony24.example\r\n"
                                "Authorization: Bearer key\r\n"
                                "Deadline-Ms: 3000\r\n"
                                "Content-Length: ";
  char text[2048];
  char reply[2048];
  size_t have = 0;
  int len = snprintf (text, sizeof text, "%s%zu\r\n\r\n%s", request,
                      strlen (BODY), BODY);

  check (send (fd, text, (size_t) len, MSG_NOSIGNAL) == len, "send");
  do
    {
      ssize_t n = recv (fd, reply + have, sizeof reply - 1 - have, 0);

      check (n > 0, "no answer");
      have += (size_t) n;
      reply[have] = 0;
    }
  while (strstr (reply, "\r\n\r\n{}") == NULL);
}

static double
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double) now.tv_sec * 1e6 + (double) now.tv_nsec / 1e3;
}

static double
cpu_us (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (double) (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6
         + (double) (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static void
play_round (const char *addr, bool kept, Samples *samples, uint32_t round)
{
  double began_us = now_us ();
  double began_cpu_us = cpu_us ();
  int fd = open_connection (addr);

  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      if (!kept && i > 0)
        {
          close (fd);
          fd = open_connection (addr);
        }
      exchange (fd);
    }
  close (fd);
  samples->time_us[round] = (now_us () - began_us) / REQUESTS;
  samples->cpu_us[round] = (cpu_us () - began_cpu_us) / REQUESTS;
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return (x > y) - (x < y);
}

static double
median (double *values)
{
  qsort (values, ROUNDS, sizeof *values, compare);
  return values[ROUNDS / 2];
}

static void
compare_servers (char addr[SERVERS][MUX_ADDR_LEN], bool kept)
{
  static const char *const name[] = { "ulfius", "listener" };
  Samples samples[SERVERS];

  for (uint32_t round = 0; round < ROUNDS; round++)
    for (Server server = ULFIUS; server < SERVERS; server++)
      play_round (addr[server], kept, &samples[server], round);
  for (Server server = ULFIUS; server < SERVERS; server++)
    {
      printf ("%s_%s_time %.2f us\n", name[server], kept ? "kept" : "new",
              median (samples[server].time_us));
      printf ("%s_%s_cpu %.2f us\n", name[server], kept ? "kept" : "new",
              median (samples[server].cpu_us));
    }
}

int
main (void)
{
  static char addr[SERVERS][MUX_ADDR_LEN];
  struct _u_instance http;
  MuxHttpHandler handler = { .handle = handle };
  MuxCounters *counters = mux_counters_new ();
  MuxHttpListener *listener
      = start_listener (&handler, counters, addr[LISTENER]);

  start_ulfius (&http, addr[ULFIUS]);
  compare_servers (addr, true);
  compare_servers (addr, false);
  ulfius_stop_framework (&http);
  ulfius_clean_instance (&http);
  mux_http_listener_free (listener);
  mux_counters_free (counters);
  return 0;
}
