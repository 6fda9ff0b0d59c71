#ifndef SUPPORT_REQUEST_H
#define SUPPORT_REQUEST_H

#include "demo/support/http.h"
#include "demo/support/jsonl.h"

#include <stdbool.h>
#include <stdint.h>

#define MUX_TEST_REQUEST_BODY_MAX 1024

/**
 * struct MuxTestRequest - a request and its latest submission
 * @class_name: its class
 * @key: idempotency key; "": none
 * @idempotent: the class, for the log
 * @number: of the call, for the log
 * @give_up_ms: told to the daemon
 * @timeout_ms: when the caller hangs up
 * @body: names the work, see history.h
 * @body_len: of @body
 * @submit_ms: when it was last sent
 * @answered: a whole answer came; @reply holds it until it is logged
 */
typedef struct
{
  const char *class_name;
  char key[MUX_KEY_LEN];
  bool idempotent;
  uint64_t number;
  uint32_t give_up_ms;
  uint32_t timeout_ms;
  char body[MUX_TEST_REQUEST_BODY_MAX];
  size_t body_len;
  int64_t submit_ms;
  bool answered;
  MuxHttpReply reply;
} MuxTestRequest;

/** mux_test_request_fill() - a body that @name makes its own, of random bytes
 * with zeros among them; the same @name and @seed give the same
 * @run_ms: what the worker stand-in runs; 0: its default */
void mux_test_request_fill (MuxTestRequest *request,
                            const char *name,
                            uint64_t seed,
                            uint32_t run_ms);
/** mux_test_request_send() - once, on a connection of its own; logged then */
void mux_test_request_send (MuxTestRequest *request,
                            MuxHttp *http,
                            const char *addr,
                            MuxJsonl *log);
/** mux_test_request_outcome() - what was told, "none" for nothing */
const char *mux_test_request_outcome (const MuxTestRequest *request);
/** mux_test_request_open() - the same key is worth another submission: nothing
 * is known yet of what became of it */
bool mux_test_request_open (const MuxTestRequest *request);

#endif
