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
  answer = fake->answer;
  answer.call_id = ask->call_id;
  if (mode != FAKE_FULL && fake->ask_count < FAKE_ASKS_MAX)
    fake->asks[fake->ask_count++] = *ask;
  pthread_cond_broadcast (&fake->changed);
  pthread_mutex_unlock (&fake->lock);
  if (mode == FAKE_FULL)
    return false;
  free (ask);
  if (mode == FAKE_ANSWER)
    mux_http_server_respond (fake->door, &answer);
  return true;
}

static void
gone (MuxHttpBackend *backend, uint64_t call)
{
  FakeBackend *fake = (FakeBackend *) backend;

  pthread_mutex_lock (&fake->lock);
  fake->gone_call = call;
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
  fake->answer.outcome = MUX_OUTCOME_INFO;
  fake->answer.status = 200;
  pthread_mutex_init (&fake->lock, NULL);
  pthread_cond_init (&fake->changed, NULL);
  fake->counters = mux_counters_new ();
  options.listen = "127.0.0.1:0";
  options.backend = &fake->backend;
  options.counters = fake->counters;
  fake->door = mux_http_server_new (&options, &err);
  assert_non_null (fake->door);
  if (!mux_http_server_listen (fake->door, fake->addr, &err))
    fail_msg ("%s", err.text);
}

void
fake_backend_wait_asks (FakeBackend *fake, uint32_t count)
{
  pthread_mutex_lock (&fake->lock);
  while (fake->ask_count < count)
    pthread_cond_wait (&fake->changed, &fake->lock);
  pthread_mutex_unlock (&fake->lock);
}

uint64_t
fake_backend_wait_gone (FakeBackend *fake)
{
  uint64_t call;

  pthread_mutex_lock (&fake->lock);
  while (fake->gone_call == 0)
    pthread_cond_wait (&fake->changed, &fake->lock);
  call = fake->gone_call;
  pthread_mutex_unlock (&fake->lock);
  return call;
}

void
fake_backend_close (FakeBackend *fake)
{
  mux_http_server_fail_pending (fake->door);
  mux_http_server_free (fake->door);
  for (uint32_t i = 0; i < fake->ask_count; i++)
    mux_blob_unref (fake->asks[i].body);
  mux_counters_free (fake->counters);
  pthread_cond_destroy (&fake->changed);
  pthread_mutex_destroy (&fake->lock);
}
