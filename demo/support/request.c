#include "demo/support/request.h"

#include "demo/support/callers.h"
#include "demo/support/hash.h"
#include "support/random.h"

#include <stdio.h>
#include <string.h>

#define ANSWER_MAX (MUX_TEST_REQUEST_BODY_MAX + 64)

void
mux_test_request_fill (MuxTestRequest *request,
                       const char *name,
                       uint64_t seed,
                       uint32_t run_ms)
{
  MuxRandom random = { seed };
  char *body = request->body;
  size_t len = 0;

  if (run_ms > 0)
    len = (size_t) snprintf (body, MUX_TEST_REQUEST_BODY_MAX, "run_ms=%u\n",
                             run_ms);
  len += (size_t) snprintf (body + len, MUX_TEST_REQUEST_BODY_MAX - len,
                            "%s:", name);
  request->body_len = len
                      + mux_random_below (&random, MUX_TEST_REQUEST_BODY_MAX
                                                       - (uint32_t) len);
  for (; len < request->body_len; len++)
    body[len] = (char) mux_random_below (&random, 256);
}

const char *
mux_test_request_outcome (const MuxTestRequest *request)
{
  if (!request->answered || request->reply.outcome[0] == 0)
    return "none";
  return request->reply.outcome;
}

bool
mux_test_request_open (const MuxTestRequest *request)
{
  const char *outcome = mux_test_request_outcome (request);

  return strcmp (outcome, "none") == 0 || strcmp (outcome, "unknown") == 0
         || strcmp (request->reply.reason, "key_in_use") == 0;
}

static void
submit (MuxTestRequest *request, MuxHttp *http, const char *addr)
{
  char path[128];
  char key[MUX_KEY_LEN + 32];
  char give_up[64];
  const char *headers[3] = { give_up };
  MuxHttpAsk ask = { .method = "POST",
                     .addr = addr,
                     .path = path,
                     .headers = headers,
                     .body = request->body,
                     .body_len = request->body_len,
                     .timeout_ms = request->timeout_ms,
                     .once = true };

  snprintf (path, sizeof path, "/v1/request/%s", request->class_name);
  snprintf (give_up, sizeof give_up, "Cuminmux-Give-Up-Ms: %u",
            request->give_up_ms);
  snprintf (key, sizeof key, "Idempotency-Key: %s", request->key);
  if (request->key[0] != 0)
    headers[1] = key;
  request->submit_ms = mux_mono_ms ();
  request->answered = mux_http_call (http, &ask, &request->reply, NULL);
}

/* What the task named in the answer must have given. */
static void
expect_hash (const MuxTestRequest *request, char out[MUX_HASH_TEXT_LEN])
{
  char bytes[ANSWER_MAX];
  int n = snprintf (bytes, sizeof bytes, "answer:%s:", request->reply.task);

  memcpy (bytes + n, request->body, request->body_len);
  mux_hash_text (bytes, (size_t) n + request->body_len, out);
}

static void
log_submission (const MuxTestRequest *request, MuxJsonl *log)
{
  char body[MUX_HASH_TEXT_LEN];
  char expect[MUX_HASH_TEXT_LEN] = "";
  char answer[MUX_HASH_TEXT_LEN] = "";

  mux_hash_text (request->body, request->body_len, body);
  if (request->answered)
    {
      mux_hash_text (request->reply.body, request->reply.body_len, answer);
      expect_hash (request, expect);
    }
  mux_jsonl_write (
      log,
      json_pack (
          "{s:s, s:I, s:s, s:s, s:b, s:I, s:I, s:s, s:s, s:s, s:s, s:s, s:s}",
          "event", "request", "call", (json_int_t) request->number, "class",
          request->class_name, "key", request->key, "idempotent",
          (int) request->idempotent, "submit_ms",
          (json_int_t) request->submit_ms, "answer_ms",
          (json_int_t) mux_mono_ms (), "outcome",
          mux_test_request_outcome (request), "task", request->reply.task,
          "reason", request->reply.reason, "body_hash", body, "answer_hash",
          answer, "expect_hash", expect));
}

void
mux_test_request_send (MuxTestRequest *request,
                       MuxHttp *http,
                       const char *addr,
                       MuxJsonl *log)
{
  submit (request, http, addr);
  log_submission (request, log);
  if (request->answered)
    mux_http_reply_clear (&request->reply);
}
