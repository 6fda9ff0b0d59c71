#include "support/platform_fixture.h"

#include "support/test.h"

#define CALL_ID 77

static bool
take_reply (MuxInbox *inbox, MuxTableReply *reply)
{
  return mux_ring_push (((PlatformFixture *) inbox)->replies, reply);
}

static bool
take_list (MuxInbox *inbox, MuxInstanceList *list)
{
  if (mux_ring_push (((PlatformFixture *) inbox)->lists, list))
    return true;
  free (list);
  return false;
}

static void
start_server (PlatformFixture *fixture, const char *listen)
{
  StandinPlatformServerOptions options = { .platform = fixture->platform,
                                           .faults = fixture->faults,
                                           .listen = listen };
  MuxError err = { 0 };

  fixture->server = standin_platform_server_new (&options, &err);
  assert_non_null (fixture->server);
}

void
platform_start_adapter (PlatformFixture *fixture, uint32_t threads)
{
  MuxPlatformHttpOptions options = { .inbox = &fixture->inbox,
                                     .url = fixture->url,
                                     .name = "e1",
                                     .data_centre = DATA_CENTRE,
                                     .threads = threads,
                                     .queue = QUEUE,
                                     .list_interval_ms = 1,
                                     .counters = fixture->counters };
  MuxError err = { 0 };

  fixture->port = mux_platform_http_new (&options, &err);
  assert_non_null (fixture->port);
}

int
platform_set_up (void **state)
{
  PlatformFixture *fixture = calloc (1, sizeof *fixture);
  StandinPlatformOptions options = { .list_lag_ms = 0 };

  fixture->inbox.table_reply = take_reply;
  fixture->inbox.instances = take_list;
  fixture->replies = mux_ring_new (64);
  fixture->lists = mux_ring_new (4);
  fixture->platform = standin_platform_new (&options);
  fixture->faults = standin_platform_faults_new ();
  fixture->counters = mux_counters_new ();
  start_server (fixture, "127.0.0.1:0");
  snprintf (fixture->url, sizeof fixture->url, "http://%s",
            standin_platform_server_addr (fixture->server));
  platform_start_adapter (fixture, 1);
  *state = fixture;
  return 0;
}

int
platform_tear_down (void **state)
{
  PlatformFixture *fixture = *state;
  void *item;

  if (fixture->port != NULL)
    fixture->port->free (fixture->port);
  standin_platform_server_free (fixture->server);
  while ((item = mux_ring_pop (fixture->replies)) != NULL)
    mux_table_reply_free (item);
  while ((item = mux_ring_pop (fixture->lists)) != NULL)
    free (item);
  mux_ring_free (fixture->replies);
  mux_ring_free (fixture->lists);
  standin_platform_faults_free (fixture->faults);
  standin_platform_free (fixture->platform);
  mux_counters_free (fixture->counters);
  free (fixture);
  return 0;
}

MuxTableCall *
platform_call_new (MuxTableVerb verb, uint32_t rows)
{
  MuxTableCall *call = mux_table_call_new (verb, rows);

  call->call_id = CALL_ID;
  call->timeout_ms = PATIENCE_MS;
  return call;
}

void
platform_set_row (MuxTableCall *call,
                  uint32_t i,
                  const char *key,
                  uint64_t rev,
                  const void *value,
                  size_t len)
{
  snprintf (call->rows[i].key, MUX_ROW_KEY_LEN, "%s", key);
  call->rows[i].rev = rev;
  if (value != NULL)
    call->rows[i].value = mux_blob_new (value, len);
}

MuxTableCall *
platform_put_new (const char *key, uint64_t rev, const char *value)
{
  MuxTableCall *call = platform_call_new (MUX_TABLE_TXN, 1);

  platform_set_row (call, 0, key, rev, value, strlen (value));
  return call;
}

MuxTableCall *
platform_get_new (const char *key)
{
  MuxTableCall *call = platform_call_new (MUX_TABLE_GET, 1);

  platform_set_row (call, 0, key, 0, NULL, 0);
  return call;
}

MuxTableReply *
platform_next_reply (PlatformFixture *fixture)
{
  MuxTableReply *reply = NULL;

  /* A wait may end early with nothing; it ends late only on failure. */
  for (uint32_t i = 0; reply == NULL && i < 100; i++)
    reply = mux_ring_wait (fixture->replies, PATIENCE_MS);
  assert_non_null (reply);
  assert_int_equal (reply->call_id, CALL_ID);
  return reply;
}

MuxTableReply *
platform_ask (PlatformFixture *fixture, MuxTableCall *call)
{
  assert_true (fixture->port->call (fixture->port, call));
  return platform_next_reply (fixture);
}

MuxTableStatus
platform_ask_status (PlatformFixture *fixture, MuxTableCall *call)
{
  MuxTableReply *reply = platform_ask (fixture, call);
  MuxTableStatus status = reply->status;

  mux_table_reply_free (reply);
  return status;
}

void
platform_set_faults (PlatformFixture *fixture, StandinFaultPlan plan)
{
  standin_platform_faults_set (fixture->faults, &plan);
}

StandinPlatformStats
platform_stats_of (PlatformFixture *fixture)
{
  StandinPlatformStats stats;

  standin_platform_stats (fixture->platform, &stats);
  return stats;
}

void
platform_expect_put (PlatformFixture *fixture,
                     const char *key,
                     uint64_t rev,
                     const char *value,
                     MuxTableStatus status)
{
  MuxTableCall *call = platform_put_new (key, rev, value);

  assert_int_equal (platform_ask_status (fixture, call), status);
}

void
platform_expect_get (PlatformFixture *fixture,
                     const char *key,
                     MuxTableStatus status)
{
  assert_int_equal (platform_ask_status (fixture, platform_get_new (key)),
                    status);
}
