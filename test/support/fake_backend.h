#ifndef SUPPORT_FAKE_BACKEND_H
#define SUPPORT_FAKE_BACKEND_H

#include "../../src/daemon/http_server.h"

#include <pthread.h>

#define FAKE_ASKS_MAX 64

/**
 * enum FakeMode - what the fake does with a request
 */
typedef enum
{
  FAKE_RESPOND, /* responds at once with @response */
  FAKE_HOLD,    /* keeps it until the test responds */
  FAKE_FULL,    /* refuses: the ring is full */
} FakeMode;

/**
 * struct FakeBackend - replaces the core behind the HTTP server
 * @backend: first member
 * @server: the server, listening; receives the responses
 * @addr: where it listens
 * @counters: the server's
 * @mode: see enum FakeMode
 * @response: response for FAKE_RESPOND, but for its call
 * @is_ready: readiness that the server reads
 * @requests: requests in order of arrival, bodies referenced
 * @request_count: entries of @requests
 * @disconnected_call: call of the last disconnect; 0: none
 */
typedef struct
{
  MuxHttpBackend backend;
  MuxHttpServer *server;
  char addr[MUX_ADDR_LEN];
  MuxCounters *counters;
  FakeMode mode;
  MuxCoreResponse response;
  bool is_ready;
  MuxCoreRequest requests[FAKE_ASKS_MAX];
  uint32_t request_count;
  uint64_t disconnected_call;
  pthread_mutex_t lock;
  pthread_cond_t changed;
} FakeBackend;

/** fake_backend_open() - a server with @options on a port the kernel picks */
void fake_backend_open (FakeBackend *fake, MuxHttpServerOptions options);
/** fake_backend_wait_requests() - wait until so many requests have arrived */
void fake_backend_wait_requests (FakeBackend *fake, uint32_t count);
/** fake_backend_wait_disconnect() - wait for a disconnect
 * Return: its call. */
uint64_t fake_backend_wait_disconnect (FakeBackend *fake);
void fake_backend_close (FakeBackend *fake);

#endif
