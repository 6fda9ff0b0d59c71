#ifndef BASE_REASON_H
#define BASE_REASON_H

#include <stdbool.h>
#include <stdint.h>

/* Every refusal, retry and fencing reason: symbol, name on the wire and in
 * the counters, HTTP status of a response with this reason, help text. */
#define MUX_REASONS(X)                                                       \
  X (NONE, "none", 200, "no refusal")                                        \
  X (BAD_JSON, "bad_json", 400, "body is not the JSON asked for")            \
  X (BAD_FIELD, "bad_field", 400, "a field has a wrong type or range")       \
  X (BAD_KEY, "bad_key", 400, "idempotency key is malformed or too long")    \
  X (BAD_TICKET, "bad_ticket", 400, "ticket is malformed or not ours")       \
  X (UNKNOWN_PATH, "unknown_path", 404, "no such resource path")             \
  X (UNKNOWN_CLASS, "unknown_class", 404, "class is not configured")         \
  X (UNKNOWN_PRODUCT, "unknown_product", 404, "product is not configured")   \
  X (UNKNOWN_JOB, "unknown_job", 404, "no such job")                         \
  X (UNKNOWN_WORKER, "unknown_worker", 404, "no such worker")                \
  X (BODY_TOO_LARGE, "body_too_large", 413, "body is over the limit")        \
  X (NEVER_FITS, "never_fits", 422, "no worker can ever hold it")            \
  X (KIND_MISMATCH, "kind_mismatch", 422, "class is of another kind")        \
  X (QUEUE_FULL, "queue_full", 429, "the class's queue is full")             \
  X (QUOTA, "quota", 429, "the product is at its quota")                     \
  X (DEADLINE, "deadline", 503, "it can't start before its deadline")        \
  X (NO_WORKERS, "no_workers", 503, "this daemon knows no usable worker")    \
  X (STORE_DOWN, "store_down", 503, "the table can't be reached")            \
  X (RING_FULL, "ring_full", 503, "a ring between duties is full")           \
  X (CALLERS_FULL, "callers_full", 503, "too many callers are connected")    \
  X (STOPPING, "stopping", 503, "this daemon is stopping")                   \
  X (CANCELLED, "cancelled", 409, "it was cancelled before it started")      \
  X (REVISION, "revision", 409, "changed by somebody else meanwhile")        \
  X (ALREADY_RAN, "already_ran", 409, "it ran; its answer is kept no more")  \
  X (RETRY_BUDGET, "retry_budget", 503, "the class's retry budget is spent") \
  X (TASK_FAILED, "task_failed", 502, "the task ran and failed")             \
  X (UNKNOWN_FATE, "unknown_fate", 504, "whether it ran can't be told now")  \
  X (CALLER_GONE, "caller_gone", 499, "the caller hung up")                  \
  X (OVERLOAD, "overload", 503, "lower classes are held back by overload")   \
  /* retries and fencing: counted, seldom an answer */                       \
  X (FENCED_EPOCH, "fenced_epoch", 503, "the worker has a newer owner")      \
  X (FENCED_INCARNATION, "fenced_incarnation", 503, "the worker restarted")  \
  X (FENCED_LATE, "fenced_late", 503, "the start came after its time")       \
  X (FENCED_TOMBSTONE, "fenced_tombstone", 503, "the start was put down")    \
  X (FENCED_ROW, "fenced_row", 409, "another daemon changed the row first")  \
  X (WORKER_FULL, "worker_full", 503, "the worker refused: no room")         \
  X (WORKER_LEAVING, "worker_leaving", 503, "the worker is leaving")         \
  X (WORKER_SILENT, "worker_silent", 503, "the worker did not answer")       \
  X (WORKER_UNREACHED, "worker_unreached", 503, "no connection to worker")   \
  X (PEER_SILENT, "peer_silent", 503, "the peer did not answer")             \
  X (WRITE_UNKNOWN, "write_unknown", 503, "the answer of a write was lost")  \
  X (NO_KEY, "no_key", 401, "no key is shown, or one of no workspace")       \
  X (KEY_UNPROVEN, "key_unproven", 503,                                      \
     "it can't be proved here that keys still hold")                         \
  X (OTHER_WORKSPACE, "other_workspace", 409,                                \
     "the id is that of another workspace's job")                            \
  X (QUEUE_UNUSABLE, "queue_unusable", 503,                                  \
     "a field of the queue's configuration can't be used")                   \
  X (KEY_IN_USE, "key_in_use", 409, "the same key is being handled")         \
  X (INTERNAL, "internal", 500, "out of memory or a broken invariant")

/**
 * enum MuxReason - why something was refused, retried or fenced
 */
typedef enum
{
#define MUX_REASON_ENUM(symbol, name, status, help) MUX_REASON_##symbol,
  MUX_REASONS (MUX_REASON_ENUM)
#undef MUX_REASON_ENUM
      MUX_REASON_COUNT
} MuxReason;

/** mux_reason_name() - name of @reason on the wire and in counters */
const char *mux_reason_name (MuxReason reason);
/** mux_reason_help() - one-line description for operators */
const char *mux_reason_help (MuxReason reason);
/** mux_reason_status() - HTTP status of a response with @reason */
uint32_t mux_reason_status (MuxReason reason);
/** mux_reason_is_transient() - whether @reason is transient, so that the same
 * request may succeed later; a response with any other reason has no retry
 * advice */
bool mux_reason_is_transient (MuxReason reason);

#endif
