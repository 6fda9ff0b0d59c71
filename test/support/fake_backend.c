#include "support/fake_backend.h"

#include "support/test.h"

static bool
submit (MuxHttpBackend *backend, MuxCoreRequest *ask)
{
  FakeBackend *fake = (FakeBackend *) backend;
  MuxCoreResponse answer;
  FakeMode mode;

  pthread_mutex_lock (&fake->lock);
  mode = fake->mode;
  answer = fake->response;
  answer.call_id = ask->call_id;
  if (mode != FAKE_FULL && fake->request_count < FAKE_ASKS_MAX)
    fake->requests[fake->request_count++] = *ask;
  pthread_cond_broadcast (&fake->changed);
  pthread_mutex_unlock (&fake->lock);
  if (mode == FAKE_FULL)
    return false;
  free (ask);
  if (mode == FAKE_RESPOND)
    mux_http_server_respond (fake->server, &answer);
  return true;
}

static void
gone (MuxHttpBackend *backend, uint64_t call)
{
  FakeBackend *fake = (FakeBackend *) backend;

  pthread_mutex_lock (&fake->lock);
  fake->disconnected_call = call;
  pthread_cond_broadcast (&fake->changed);
  pthread_mutex_unlock (&fake->lock);
}

static bool
ready (MuxHttpBackend *backend)
{
  return ((FakeBackend *) backend)->is_ready;
}

void
fake_backend_open (FakeBackend *fake, MuxHttpServerOptions options)
{
  MuxError err = { MUX_ERROR_NONE, "" };

  memset (fake, 0, sizeof *fake);
  fake->backend = (MuxHttpBackend){ submit, gone, ready };
  fake->is_ready = true;
  fake->response.outcome = MUX_OUTCOME_INFO;
  fake->response.status = 200;
  pthread_mutex_init (&fake->lock, NULL);
  pthread_cond_init (&fake->changed, NULL);
  fake->counters = mux_counters_new ();
  options.listen = "127.0.0.1:0";
  options.backend = &fake->backend;
  options.counters = fake->counters;
  fake->server = mux_http_server_new (&options, &err);
  assert_non_null (fake->server);
  if (!mux_http_server_listen (fake->server, fake->addr, &err))
    fail_msg ("%s", err.text);
}

void
fake_backend_wait_requests (FakeBackend *fake, uint32_t count)
{
  pthread_mutex_lock (&fake->lock);
  while (fake->request_count < count)
    pthread_cond_wait (&fake->changed, &fake->lock);
  pthread_mutex_unlock (&fake->lock);
}

uint64_t
fake_backend_wait_disconnect (FakeBackend *fake)
{
  uint64_t call;

  pthread_mutex_lock (&fake->lock);
  while (fake->disconnected_call == 0)
    pthread_cond_wait (&fake->changed, &fake->lock);
  call = fake->disconnected_call;
  pthread_mutex_unlock (&fake->lock);
  return call;
}

void
fake_backend_close (FakeBackend *fake)
{
  mux_http_server_fail_pending (fake->server);
  mux_http_server_free (fake->server);
  for (uint32_t i = 0; i < fake->request_count; i++)
    mux_blob_unref (fake->requests[i].body);
  mux_counters_free (fake->counters);
  pthread_cond_destroy (&fake->changed);
  pthread_mutex_destroy (&fake->lock);
}
