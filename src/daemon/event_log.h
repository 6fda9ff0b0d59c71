#ifndef DAEMON_EVENT_LOG_H
#define DAEMON_EVENT_LOG_H

#include "base/counters.h"

#include <jansson.h>
#include <stdint.h>

/*
 * Structured log: a JSON line on standard output for each decision.  Whoever
 * decides never waits for the reader: lines pass a bounded ring to a thread
 * that writes them, and each kind of line has a budget a second; what is over
 * either is counted and the count is told with the next line of that kind.
 */
typedef struct MuxEventLog MuxEventLog;

/**
 * struct MuxEventLogOptions - construction
 * @name: this instance
 * @queue: lines that may wait to be written, power of two
 * @per_kind_s: most lines of one kind in a second
 */
typedef struct
{
  const char *name;
  uint32_t queue;
  uint32_t rate_limit_per_s;
} MuxEventLogOptions;

MuxEventLog *mux_event_log_new (const MuxEventLogOptions *options);
/** mux_event_log_free() - writes what waits, if the reader takes it at once */
void mux_event_log_free (MuxEventLog *log);
/** mux_event_log() - one thread alone calls it
 * @event: fixed word
 * @fields: what decided it; taken over; may be NULL */
void mux_event_log (MuxEventLog *log, const char *event, json_t *fields);

#endif
