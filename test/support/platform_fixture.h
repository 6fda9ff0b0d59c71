#ifndef SUPPORT_PLATFORM_FIXTURE_H
#define SUPPORT_PLATFORM_FIXTURE_H

#include "adapter/platform.h"
#include "base/ring.h"
#include "standin/platform_server.h"

/* Long enough never to decide a test on its own. */
#define PATIENCE_MS 20000
/* Timeout of calls that are meant to run into it, sent or not. */
#define SHORT_MS 150
/* The same, and long enough for the call to be sent on a busy machine. */
#define HANG_MS 1000
/* Calls that may be queued: one less than the slots of their ring. */
#define QUEUE 32
#define DATA_CENTRE "nizwa-hall"

/**
 * struct PlatformFixture - platform adapter before a stand-in in this process
 */
typedef struct
{
  MuxInbox inbox; /* first member: the adapter passes its address back */
  MuxRing *replies;
  MuxRing *lists;
  StandinPlatform *platform;
  StandinFaults *faults;
  StandinPlatformServer *server;
  MuxCounters *counters;
  MuxPlatformPort *port;
  char url[MUX_ADDR_LEN + 8];
} PlatformFixture;

/* Shared steps of the platform adapter's tests. */
#define PLATFORM_TEST(name) \
  cmocka_unit_test_setup_teardown (name, platform_set_up, platform_tear_down)

/** platform_start_adapter() - sets the port, which was freed or unset
 */
void platform_start_adapter (PlatformFixture *fixture, uint32_t threads);
int platform_set_up (void **state);
int platform_tear_down (void **state);
MuxTableCall *platform_call_new (MuxTableVerb verb, uint32_t rows);
void platform_set_row (MuxTableCall *call,
                       uint32_t i,
                       const char *key,
                       uint64_t rev,
                       const void *value,
                       size_t len);
MuxTableCall *
platform_put_new (const char *key, uint64_t rev, const char *value);
MuxTableCall *platform_get_new (const char *key);
/** platform_next_reply() - waits for it; never NULL */
MuxTableReply *platform_next_reply (PlatformFixture *fixture);
/** platform_ask() - send @call and wait for its reply */
MuxTableReply *platform_ask (PlatformFixture *fixture, MuxTableCall *call);
MuxTableStatus platform_ask_status (PlatformFixture *fixture,
                                    MuxTableCall *call);
/** platform_expect_put() - put a row; the test fails if its status is not
 * @status */
void platform_expect_put (PlatformFixture *fixture,
                          const char *key,
                          uint64_t rev,
                          const char *value,
                          MuxTableStatus status);
void platform_expect_get (PlatformFixture *fixture,
                          const char *key,
                          MuxTableStatus status);
void platform_set_faults (PlatformFixture *fixture, StandinFaultPlan plan);
StandinPlatformStats platform_stats_of (PlatformFixture *fixture);

#endif
