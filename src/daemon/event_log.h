#ifndef DAEMON_EVENT_LOG_H
#define DAEMON_EVENT_LOG_H

#include "base/counters.h"

#include <jansson.h>
#include <stdint.h>

/*
 * Structured log of decisions, one JSON object a line on standard output.  The
 * logging thread never blocks on output: a writer thread takes the lines from
 * a bounded ring.  Each event name has a rate limit.  Lines dropped by the
 * limit or by a full ring are counted, and the next line of that event gives
 * the count in its field "suppressed".
 */
typedef struct MuxEventLog MuxEventLog;

/**
 * struct MuxEventLogOptions - construction
 * @name: this instance; borrowed
 * @queue: capacity of the ring of lines, a power of two
 * @rate_limit_per_s: most lines a second of one event name
 */
typedef struct
{
  const char *name;
  uint32_t queue;
  uint32_t rate_limit_per_s;
} MuxEventLogOptions;

MuxEventLog *mux_event_log_new (const MuxEventLogOptions *options);
/** mux_event_log_free() - write the lines left in the ring, then free the log
 * A line that standard output does not accept in time is dropped. */
void mux_event_log_free (MuxEventLog *log);
/** mux_event_log() - queue a line; to be called by one thread only
 * @event: name of the event, a fixed word
 * @fields: inputs of the decision; takes its reference; may be NULL */
void mux_event_log (MuxEventLog *log, const char *event, json_t *fields);

#endif
