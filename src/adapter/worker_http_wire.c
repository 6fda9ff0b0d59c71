#include "worker_http_wire.h"

#include "base/number.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  const char *word;
  MuxWorkerStatus status;
} StatusWord;

/* wrong_worker: the address belongs to another worker now, so the intended one
 * has not received the request. */
static const StatusWord status_words[] = {
  { "ok", MUX_WORKER_OK },
  { "old_epoch", MUX_WORKER_OLD_EPOCH },
  { "old_incarnation", MUX_WORKER_OLD_INCARNATION },
  { "late", MUX_WORKER_PAST_DEADLINE },
  { "tombstone", MUX_WORKER_TOMBSTONE },
  { "no_room", MUX_WORKER_NO_ROOM },
  { "leaving", MUX_WORKER_IS_LEAVING },
  { "bad", MUX_WORKER_BAD_REQUEST },
  { "wrong_worker", MUX_WORKER_NOT_SENT },
};

static void __attribute__ ((format (printf, 2, 3)))
add_header (MuxWorkerHeaders *headers, const char *format, ...)
{
  uint32_t i = headers->count++;
  va_list args;

  va_start (args, format);
  vsnprintf (headers->text[i], MUX_WORKER_HEADER_LEN, format, args);
  va_end (args);
  headers->line[i].data = headers->text[i];
  headers->line[i].next = NULL;
  if (i > 0)
    headers->line[i - 1].next = &headers->line[i];
}

static void
add_start (MuxWorkerHeaders *headers, const MuxWorkerCall *call)
{
  const MuxSize *size = &call->size;

  add_header (headers, "Cuminmux-Class: %s", call->class_name);
  add_header (headers, "Cuminmux-Home: %s", call->home);
  add_header (headers, "Cuminmux-Kind: %s", mux_kind_name (call->kind));
  add_header (headers,
              "Cuminmux-Size: %" PRIu32 ",%" PRIu32 ",%" PRIu32 ",%" PRIu32,
              size->cpu_milli, size->mem_mib, size->accels, size->slots);
  add_header (headers, "Cuminmux-Run-Ms: %" PRIu32, call->run_ms);
  if (call->not_after_ms != 0)
    add_header (headers, "Cuminmux-Not-After: %" PRId64, call->not_after_ms);
}

void
mux_worker_write_headers (const MuxWorkerCall *call,
                          uint32_t wait_ms,
                          MuxWorkerHeaders *headers)
{
  char id[MUX_ID_HEX_LEN];

  headers->count = 0;
  add_header (headers, "Expect:");
  add_header (headers, "Content-Type: application/octet-stream");
  add_header (headers, "Cuminmux-Worker: %s", call->worker);
  add_header (headers, "Cuminmux-Owner: %s", call->owner);
  add_header (headers, "Cuminmux-Epoch: %" PRIu64, call->epoch);
  add_header (headers, "Cuminmux-Incarnation: %" PRIu64, call->incarnation);
  if (call->lease_ms != 0)
    add_header (headers, "Cuminmux-Lease-Ms: %" PRIu32, call->lease_ms);
  if (call->verb == MUX_WORKER_RENEW)
    add_header (headers, "Cuminmux-Cursor: %" PRIu64, call->cursor);
  if (wait_ms != 0)
    add_header (headers, "Cuminmux-Wait-Ms: %" PRIu32, wait_ms);
  if (!mux_id_is_none (call->task))
    {
      mux_id_format (call->task, id);
      add_header (headers, "Cuminmux-Task: %s", id);
    }
  if (call->verb == MUX_WORKER_START)
    add_start (headers, call);
}

const char *
mux_worker_verb_path (MuxWorkerVerb verb)
{
  static const char *const paths[] = {
    [MUX_WORKER_CLAIM] = "/worker/claim",
    [MUX_WORKER_RENEW] = "/worker/renew",
    [MUX_WORKER_START] = "/worker/start",
    [MUX_WORKER_FETCH] = "/worker/fetch",
    [MUX_WORKER_FORGET] = "/worker/forget",
    [MUX_WORKER_STOP] = "/worker/stop",
    [MUX_WORKER_CHECKPOINT] = "/worker/checkpoint",
    [MUX_WORKER_THROTTLE] = "/worker/throttle",
    [MUX_WORKER_RELEASE] = "/worker/release",
  };

  return paths[verb];
}

static bool
read_status (MuxWorkerClient *client, MuxWorkerStatus *status)
{
  const char *word = mux_worker_client_header (client, "Cuminmux-Status");

  for (size_t i = 0; i < sizeof status_words / sizeof *status_words; i++)
    if (word != NULL && strcmp (word, status_words[i].word) == 0)
      {
        *status = status_words[i].status;
        return true;
      }
  return false;
}

static bool
read_number (MuxWorkerClient *client,
             const char *name,
             uint64_t max,
             uint64_t *out)
{
  return mux_unsigned_parse (mux_worker_client_header (client, name), max, out);
}

/* Only a response that names the intended worker and task counts: another
 * worker may have taken over the address. */
static bool
is_from_intended_worker (const MuxWorkerCall *call, MuxWorkerClient *client)
{
  const char *worker = mux_worker_client_header (client, "Cuminmux-Worker");
  const char *task = mux_worker_client_header (client, "Cuminmux-Task");
  MuxId id;

  if (worker == NULL || strcmp (worker, call->worker) != 0)
    return false;
  return mux_id_is_none (call->task)
         || (task != NULL && mux_id_parse (task, &id)
             && mux_id_equal (id, call->task));
}

static bool
read_common (MuxWorkerClient *client, MuxWorkerReply *reply)
{
  uint64_t now_ms;
  uint64_t leaving;
  const char *owner = mux_worker_client_header (client, "Cuminmux-Owner");

  if (!read_number (client, "Cuminmux-Incarnation", UINT64_MAX,
                    &reply->incarnation)
      || !read_number (client, "Cuminmux-Epoch", UINT64_MAX, &reply->epoch)
      || !read_number (client, "Cuminmux-Now-Ms", INT64_MAX, &now_ms)
      || !read_number (client, "Cuminmux-Leaving", 1, &leaving))
    return false;
  if (owner != NULL && mux_name_valid (owner))
    mux_name_copy (reply->owner, owner);
  reply->worker_clock_ms = (int64_t) now_ms;
  reply->leaving = leaving != 0;
  return true;
}

static bool
read_task (MuxWorkerClient *client, MuxWorkerReply *reply)
{
  const char *state = mux_worker_client_header (client, "Cuminmux-State");
  uint64_t ran_ms;
  const char *bytes;
  size_t len;

  if (state == NULL || !mux_task_state_parse (state, &reply->state)
      || !read_number (client, "Cuminmux-Ran-Ms", UINT32_MAX, &ran_ms))
    return false;
  reply->ran_ms = (uint32_t) ran_ms;
  if (reply->state != MUX_TASK_DONE && reply->state != MUX_TASK_FAILED)
    return true;
  bytes = mux_worker_client_body (client, &len);
  reply->result = mux_blob_new (bytes, len);
  return reply->result != NULL;
}

static MuxWorkerReply *
read_content (const MuxWorkerCall *call,
              MuxWorkerStatus status,
              MuxWorkerClient *client)
{
  const char *bytes;
  size_t len;

  if (status != MUX_WORKER_OK
      || (call->verb != MUX_WORKER_CLAIM && call->verb != MUX_WORKER_RENEW))
    return mux_worker_reply_new (call, status, 0);
  bytes = mux_worker_client_body (client, &len);
  return mux_worker_read_list (call, bytes, len);
}

MuxWorkerReply *
mux_worker_read_reply (const MuxWorkerCall *call, MuxWorkerClient *client)
{
  MuxWorkerStatus status;
  MuxWorkerReply *reply;

  if (!read_status (client, &status))
    return NULL;
  if (status == MUX_WORKER_BAD_REQUEST || status == MUX_WORKER_NOT_SENT)
    return mux_worker_reply_new (call, status, 0);
  if (!is_from_intended_worker (call, client))
    return NULL;
  reply = read_content (call, status, client);
  if (reply == NULL)
    return NULL;
  if (read_common (client, reply)
      && (status != MUX_WORKER_OK || mux_id_is_none (call->task)
          || read_task (client, reply)))
    return reply;
  mux_worker_reply_free (reply);
  return NULL;
}
