#include "support/fake_sink.h"

#include <stdio.h>
#include <stdlib.h>

void *
fake_sink_grow (void *items, uint32_t count, uint32_t *cap, size_t size)
{
  if (count < *cap)
    return items;
  *cap = *cap * 2 + 16;
  items = realloc (items, *cap * size);
  if (items == NULL)
    abort ();
  return items;
}

static void
take_answer (MuxCoreSink *sink, const MuxCoreResponse *answer)
{
  FakeSink *fake = (FakeSink *) sink;

  if (fake->tap != NULL)
    fake->tap->sink.respond (&fake->tap->sink, answer);
  fake->answers = fake_sink_grow (fake->answers, fake->answer_count,
                                  &fake->answer_cap, sizeof fake->answers[0]);
  mux_blob_ref (answer->body);
  fake->answers[fake->answer_count++] = *answer;
}

static bool
take_worker_call (MuxCoreSink *sink, const MuxWorkerCall *call)
{
  FakeSink *fake = (FakeSink *) sink;

  if (fake->tap != NULL)
    fake->tap->sink.worker_call (&fake->tap->sink, call);
  if (fake->full)
    return false;
  fake->worker_calls
      = fake_sink_grow (fake->worker_calls, fake->worker_count,
                        &fake->worker_cap, sizeof fake->worker_calls[0]);
  mux_blob_ref (call->body);
  fake->worker_calls[fake->worker_count++] = *call;
  return true;
}

static bool
take_table_call (MuxCoreSink *sink, MuxTableCall *call)
{
  FakeSink *fake = (FakeSink *) sink;

  if (fake->tap != NULL)
    fake->tap->sink.table_call (&fake->tap->sink, call);
  if (fake->full)
    {
      mux_table_call_free (call);
      return false;
    }
  fake->table_calls
      = fake_sink_grow (fake->table_calls, fake->table_count, &fake->table_cap,
                        sizeof fake->table_calls[0]);
  fake->table_calls[fake->table_count++] = call;
  return true;
}

static bool
take_peer_msg (MuxCoreSink *sink, const char *addr, const MuxPeerMsg *msg)
{
  FakeSink *fake = (FakeSink *) sink;

  if (fake->tap != NULL)
    fake->tap->sink.peer_send (&fake->tap->sink, addr, msg);
  if (fake->full)
    return false;
  fake->sent = fake_sink_grow (fake->sent, fake->sent_count, &fake->sent_cap,
                               sizeof fake->sent[0]);
  snprintf (fake->sent[fake->sent_count].addr, MUX_ADDR_LEN, "%s", addr);
  mux_blob_ref (msg->body);
  fake->sent[fake->sent_count++].msg = *msg;
  return true;
}

static void
take_log (MuxCoreSink *sink, int level, const char *event, const char *text)
{
  FakeSink *fake = (FakeSink *) sink;

  if (fake->tap != NULL)
    fake->tap->sink.state_log (&fake->tap->sink, level, event, text);
  fake->logs++;
}

void
fake_sink_init (FakeSink *fake)
{
  *fake = (FakeSink){ 0 };
  fake->sink = (MuxCoreSink){ .respond = take_answer,
                              .worker_call = take_worker_call,
                              .table_call = take_table_call,
                              .peer_send = take_peer_msg,
                              .state_log = take_log };
}

void
fake_sink_clear (FakeSink *fake)
{
  for (uint32_t i = 0; i < fake->answer_count; i++)
    mux_blob_unref (fake->answers[i].body);
  for (uint32_t i = 0; i < fake->worker_count; i++)
    mux_blob_unref (fake->worker_calls[i].body);
  for (uint32_t i = 0; i < fake->table_count; i++)
    mux_table_call_free (fake->table_calls[i]);
  for (uint32_t i = 0; i < fake->sent_count; i++)
    mux_blob_unref (fake->sent[i].msg.body);
  free (fake->answers);
  free (fake->worker_calls);
  free (fake->table_calls);
  free (fake->sent);
  fake_sink_init (fake);
}
