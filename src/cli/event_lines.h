#ifndef CLI_EVENT_LINES_H
#define CLI_EVENT_LINES_H

#include "verb.h"

#include <stdbool.h>

/* Takes a line over; false: memory is out. */
typedef bool (*MuxEventHandler) (void *user, json_t *json);

/**
 * mux_event_lines_read() - the JSON lines of daemons' logs, from the verb's
 * --file or standard input
 * Whatever stands before a line's JSON, and lines without any, are passed over.
 * Return: an enum MuxExit; what went wrong is printed.
 */
int
mux_event_lines_read (MuxCliCall *call, MuxEventHandler handler, void *user);

/** mux_event_text() - a field's text; "" when it has none */
const char *mux_event_text (const json_t *json, const char *field);

/** mux_event_number() - a field's whole number; 0 when it has none */
int64_t mux_event_number (const json_t *json, const char *field);

#endif
