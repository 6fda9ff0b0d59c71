#ifndef SUPPORT_FAKE_BACKEND_H
#define SUPPORT_FAKE_BACKEND_H

#include "../../src/daemon/http_server.h"

#include <pthread.h>

#define FAKE_ASKS_MAX 64

/**
 * enum FakeMode - what the fake does with an ask
 */
typedef enum
{
  FAKE_ANSWER, /* answers at once with @answer */
  FAKE_HOLD,   /* keeps it until the test answers */
  FAKE_FULL,   /* refuses: the ring is full */
} FakeMode;

/**
 * struct FakeBackend - stands in for the core behind the door
 * @backend: first member
 * @door: listening; where answers go
 * @addr: where it listens
 * @counters: the door's
 * @mode: see enum FakeMode
 * @answer: for FAKE_ANSWER, but for its call
 * @is_ready: told to the door
 * @asks: as they came, bodies referenced
 * @ask_count: entries of @asks
 * @gone_call: the last hang-up; 0: none
 */
typedef struct
{
  MuxHttpBackend backend;
  MuxHttpServer *door;
  char addr[MUX_ADDR_LEN];
  MuxCounters *counters;
  FakeMode mode;
  MuxCoreResponse answer;
  bool is_ready;
  MuxCoreRequest asks[FAKE_ASKS_MAX];
  uint32_t ask_count;
  uint64_t gone_call;
  pthread_mutex_t lock;
  pthread_cond_t changed;
} FakeBackend;

/** fake_backend_open() - a door of @options on a port that the kernel picks */
void fake_backend_open (FakeBackend *fake, MuxHttpServerOptions options);
/** fake_backend_wait_asks() - until so many asks have come */
void fake_backend_wait_asks (FakeBackend *fake, uint32_t count);
/** fake_backend_wait_gone() - until a hang-up came; its call */
uint64_t fake_backend_wait_gone (FakeBackend *fake);
void fake_backend_close (FakeBackend *fake);

#endif
