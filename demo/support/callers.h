#ifndef SUPPORT_CALLERS_H
#define SUPPORT_CALLERS_H

#include "base/error.h"
#include "demo/support/jsonl.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct MuxCallersOptions - threads that send requests and note the answers
 * @class_name: class of the requests
 * @key_prefix: keys are this, a dash and the call's number
 * @idempotent: of that class, for the log
 * @addrs: "ip:port" of the daemons, used in turn
 * @addr_count: entries of @addrs
 * @threads: callers at once
 * @requests: calls in all
 * @tries: submissions of one call at most, each at the next daemon, after a
 *   broken connection, an unknown fate, or while the key is in use
 * @give_up_ms: told to the daemon; the connection waits a little longer
 * @seed: for the bodies
 * @log: receives a line per submission, see history.h
 */
typedef struct
{
  const char *class_name;
  const char *key_prefix;
  bool idempotent;
  const char *const *addrs;
  uint32_t addr_count;
  uint32_t threads;
  uint32_t requests;
  uint32_t tries;
  uint32_t give_up_ms;
  uint64_t seed;
  MuxJsonl *log;
} MuxCallersOptions;

/**
 * struct MuxCallersTally - calls by what their last submission was told
 * @done: the answer came
 * @failed: it ran and failed
 * @not_run: it was not run
 * @unknown: it can't be told
 * @lost: no answer in all its tries
 * @submissions: sent in all
 */
typedef struct
{
  uint32_t done;
  uint32_t failed;
  uint32_t not_run;
  uint32_t unknown;
  uint32_t lost;
  uint32_t submissions;
} MuxCallersTally;

typedef struct MuxCallers MuxCallers;

/** mux_callers_start() - @options and what it points to must outlive them */
MuxCallers *mux_callers_start (const MuxCallersOptions *options, MuxError *err);
/** mux_callers_wait() - until @count calls have ended
 * Return: how many have; fewer when @timeout_ms passed first. */
uint32_t
mux_callers_wait (MuxCallers *callers, uint32_t count, uint32_t timeout_ms);
/** mux_callers_free() - wait for all calls to end
 * @tally: may be NULL */
void mux_callers_free (MuxCallers *callers, MuxCallersTally *tally);

/** mux_mono_ms() - the monotonic clock, the same in all logs */
int64_t mux_mono_ms (void);
/** mux_pause_ms() - between two looks at another process's state */
void mux_pause_ms (uint32_t ms);

#endif
