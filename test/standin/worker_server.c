#include "standin/worker_server.h"

#include "standin/worker_fault.h"
#include "standin/listen.h"
#include "standin/worker_log.h"
#include "standin/time.h"
#include "standin/worker_wire.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>
#include <unistd.h>
#include <utlist.h>

#define HANG_MAX_MS 60000
#define TICK_MAX_MS 60000

/* A call that waits for a task's end. */
typedef struct Waiter Waiter;
struct Waiter
{
  MuxId task;
  pthread_cond_t ended;
  Waiter *prev, *next;
};

struct StandinWorkerServer
{
  StandinWorkerServerOptions options;
  char addr[MUX_ADDR_LEN];
  struct _u_instance http;
  bool serving;
  pthread_t ticker;
  bool ticking;

  pthread_mutex_t lock; /* guards all below */
  pthread_cond_t due_changed;
  pthread_cond_t faults_changed;
  pthread_cond_t waits_changed;
  StandinWorker *worker;
  StandinWorkerFaults faults;
  Waiter *waiters;
  uint32_t waits;
  int64_t due_ms;
  bool stopping;
};

static int64_t
now_ms (const StandinWorkerServer *server)
{
  if (server->options.now_ms != NULL)
    return server->options.now_ms (server->options.ctx);
  return standin_clock_ms (CLOCK_BOOTTIME);
}

static void
on_event (void *ctx, const StandinWorkerEvent *event)
{
  StandinWorkerServer *server = ctx;
  char line[STANDIN_WORKER_LINE_MAX];
  size_t len;

  if (server->options.log_fd < 0)
    return;
  len = standin_worker_log_line (event, server->options.worker.name,
                                 server->options.worker.incarnation,
                                 standin_clock_ms (CLOCK_REALTIME), line);
  /* A lost line would make the check of the history invalid. */
  if (write (server->options.log_fd, line, len) != (ssize_t) len)
    abort ();
}

static void
on_end (void *ctx, MuxId task)
{
  StandinWorkerServer *server = ctx;
  Waiter *waiter;

  for (waiter = server->waiters; waiter != NULL; waiter = waiter->next)
    {
      if (mux_id_equal (waiter->task, task))
        pthread_cond_signal (&waiter->ended);
    }
}

static void
tick (StandinWorkerServer *server)
{
  int64_t due_ms = standin_worker_tick (server->worker, now_ms (server));

  if (due_ms < server->due_ms)
    pthread_cond_signal (&server->due_changed);
  server->due_ms = due_ms;
}

static void *
run_ticker (void *ctx)
{
  StandinWorkerServer *server = ctx;

  pthread_mutex_lock (&server->lock);
  while (!server->stopping)
    {
      struct timespec deadline;
      int64_t left_ms;

      tick (server);
      left_ms = server->due_ms - now_ms (server);
      if (left_ms > TICK_MAX_MS)
        left_ms = TICK_MAX_MS;
      deadline = standin_deadline_in (left_ms);
      pthread_cond_timedwait (&server->due_changed, &server->lock, &deadline);
    }
  pthread_mutex_unlock (&server->lock);
  return NULL;
}

/* Delays a call while the fault "hang" is set. */
static void
wait_while_hung (StandinWorkerServer *server)
{
  struct timespec deadline = standin_deadline_in (HANG_MAX_MS);

  while (server->faults.hang && !server->stopping)
    if (pthread_cond_timedwait (&server->faults_changed, &server->lock,
                                &deadline)
        != 0)
      return;
}

static bool
is_running (StandinWorkerServer *server, MuxId task)
{
  MuxWorkerCall look = { .verb = MUX_WORKER_FETCH, .task = task };
  MuxWorkerReply *reply
      = standin_worker_call (server->worker, &look, now_ms (server), NULL);
  bool running = reply != NULL && reply->state == MUX_TASK_RUNNING;

  mux_worker_reply_free (reply);
  return running;
}

static void
wait_for_end (StandinWorkerServer *server, MuxId task, uint32_t wait_ms)
{
  struct timespec deadline = standin_deadline_in (wait_ms);
  Waiter waiter = { .task = task };
  int timed_out = 0;

  standin_cond_init (&waiter.ended);
  DL_APPEND (server->waiters, &waiter);
  server->waits++;
  pthread_cond_broadcast (&server->waits_changed);
  while (timed_out == 0 && !server->stopping && is_running (server, task))
    timed_out
        = pthread_cond_timedwait (&waiter.ended, &server->lock, &deadline);
  DL_DELETE (server->waiters, &waiter);
  server->waits--;
  pthread_cond_broadcast (&server->waits_changed);
  pthread_cond_destroy (&waiter.ended);
}

/* START and FETCH of a running task wait for its end, then fetch its result. */
static MuxWorkerReply *
call_and_wait (StandinWorkerServer *server,
               const MuxWorkerCall *call,
               bool *repeated)
{
  MuxWorkerReply *reply
      = standin_worker_call (server->worker, call, now_ms (server), repeated);
  MuxWorkerCall look = *call;

  tick (server);
  if (reply == NULL || reply->status != MUX_WORKER_OK || call->wait_ms == 0
      || reply->state != MUX_TASK_RUNNING
      || (call->verb != MUX_WORKER_START && call->verb != MUX_WORKER_FETCH))
    return reply;
  mux_worker_reply_free (reply);
  wait_for_end (server, call->task, call->wait_ms);
  look.verb = MUX_WORKER_FETCH;
  look.epoch = 0;
  return standin_worker_call (server->worker, &look, now_ms (server), NULL);
}

static bool
loses_answer (StandinWorkerServer *server, const MuxWorkerCall *call)
{
  if (call->verb != MUX_WORKER_START || server->faults.lose_answers == 0)
    return false;
  server->faults.lose_answers--;
  return true;
}

static void
serve_call (StandinWorkerServer *server,
            const MuxWorkerCall *call,
            struct _u_response *response)
{
  MuxWorkerReply *reply = NULL;
  bool repeated = false;
  bool cut;
  uint32_t slow_ms;

  pthread_mutex_lock (&server->lock);
  wait_while_hung (server);
  cut = server->faults.cut_calls;
  if (!cut)
    {
      bool lost = loses_answer (server, call);

      reply = call_and_wait (server, call, &repeated);
      cut = lost;
    }
  slow_ms = server->faults.slow_ms;
  pthread_mutex_unlock (&server->lock);
  standin_pause_ms (slow_ms);
  if (cut)
    standin_cut_connection ();
  if (reply == NULL)
    standin_worker_write_status (response, 500, "internal");
  else
    standin_worker_write_reply (reply, call, repeated, response);
  mux_worker_reply_free (reply);
}

static int
on_call (const struct _u_request *request,
         struct _u_response *response,
         void *user_data)
{
  StandinWorkerServer *server = user_data;
  MuxWorkerCall call;

  if (!standin_worker_read_call (request, &call))
    standin_worker_write_status (response, 400, "bad");
  else if (call.worker[0] != 0
           && strcmp (call.worker, server->options.worker.name) != 0)
    standin_worker_write_status (response, 421, "wrong_worker");
  else
    serve_call (server, &call, response);
  mux_blob_unref (call.body);
  return U_CALLBACK_CONTINUE;
}

static int
on_ctl (const struct _u_request *request,
        struct _u_response *response,
        void *user_data)
{
  StandinWorkerServer *server = user_data;
  json_t *json
      = json_loadb (request->binary_body, request->binary_body_length, 0, NULL);
  bool was_leaving;
  bool leaving;
  bool good;

  pthread_mutex_lock (&server->lock);
  was_leaving = server->faults.leaving;
  good = standin_worker_faults_read (json, &server->faults);
  leaving = server->faults.leaving;
  standin_worker_set_leaving (server->worker, leaving);
  standin_worker_set_fail_all (server->worker, server->faults.fail_all);
  pthread_cond_broadcast (&server->faults_changed);
  pthread_mutex_unlock (&server->lock);
  json_decref (json);
  if (leaving != was_leaving && server->options.on_leaving != NULL)
    server->options.on_leaving (server->options.ctx, leaving);
  ulfius_set_string_body_response (response, good ? 200 : 400,
                                   good ? "{}" : "{\"error\":\"bad\"}");
  return U_CALLBACK_CONTINUE;
}

static bool
start_http (StandinWorkerServer *server, MuxError *err)
{
  struct _u_instance *http = &server->http;
  uint16_t port;
  int fd = standin_listen (server->options.listen, server->addr, &port, err);

  if (fd < 0)
    return false;
  if (ulfius_init_instance (http, port, NULL, NULL) != U_OK)
    {
      close (fd);
      return mux_error_set (err, MUX_ERROR_MEMORY, "no ulfius instance");
    }
  http->allowed_post_processor = U_POST_PROCESS_NONE;
  ulfius_add_endpoint_by_val (http, "POST", "/worker", "/:verb", 0, on_call,
                              server);
  ulfius_add_endpoint_by_val (http, "POST", "/ctl", NULL, 0, on_ctl, server);
  server->serving = standin_serve (http, fd);
  if (server->serving)
    return true;
  ulfius_clean_instance (http);
  close (fd);
  return mux_error_set (err, MUX_ERROR_IO, "can't serve HTTP");
}

StandinWorkerServer *
standin_worker_server_new (const StandinWorkerServerOptions *options,
                           MuxError *err)
{
  StandinWorkerServer *server = calloc (1, sizeof *server);

  if (server == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "out of memory");
      return NULL;
    }
  server->options = *options;
  server->options.worker.ctx = server;
  server->options.worker.on_event = on_event;
  server->options.worker.on_end = on_end;
  server->due_ms = INT64_MAX;
  pthread_mutex_init (&server->lock, NULL);
  standin_cond_init (&server->due_changed);
  standin_cond_init (&server->faults_changed);
  standin_cond_init (&server->waits_changed);
  server->worker = standin_worker_new (&server->options.worker);
  if (server->worker != NULL
      && pthread_create (&server->ticker, NULL, run_ticker, server) == 0)
    server->ticking = true;
  if (!server->ticking)
    mux_error_set (err, MUX_ERROR_MEMORY, "out of memory or threads");
  if (server->ticking && start_http (server, err))
    return server;
  standin_worker_server_free (server);
  return NULL;
}

static void
end_waits (StandinWorkerServer *server)
{
  Waiter *waiter;

  pthread_mutex_lock (&server->lock);
  server->stopping = true;
  for (waiter = server->waiters; waiter != NULL; waiter = waiter->next)
    {
      pthread_cond_signal (&waiter->ended);
    }
  pthread_cond_broadcast (&server->faults_changed);
  pthread_cond_broadcast (&server->due_changed);
  pthread_mutex_unlock (&server->lock);
}

void
standin_worker_server_free (StandinWorkerServer *server)
{
  if (server == NULL)
    return;
  end_waits (server);
  if (server->serving)
    {
      ulfius_stop_framework (&server->http);
      ulfius_clean_instance (&server->http);
    }
  if (server->ticking)
    pthread_join (server->ticker, NULL);
  standin_worker_free (server->worker);
  pthread_cond_destroy (&server->due_changed);
  pthread_cond_destroy (&server->faults_changed);
  pthread_cond_destroy (&server->waits_changed);
  pthread_mutex_destroy (&server->lock);
  free (server);
}

const char *
standin_worker_server_addr (const StandinWorkerServer *server)
{
  return server->addr;
}

void
standin_worker_server_clock_jumped (StandinWorkerServer *server)
{
  pthread_mutex_lock (&server->lock);
  tick (server);
  pthread_mutex_unlock (&server->lock);
}

void
standin_worker_server_wait (StandinWorkerServer *server, uint32_t waits)
{
  pthread_mutex_lock (&server->lock);
  while (waits == 0 ? server->waits > 0 : server->waits < waits)
    pthread_cond_wait (&server->waits_changed, &server->lock);
  pthread_mutex_unlock (&server->lock);
}
