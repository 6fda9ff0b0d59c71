#ifndef CLI_EVENT_LINES_H
#define CLI_EVENT_LINES_H

#include "verb.h"

#include <stdbool.h>

/* Called for each line; takes over @json.  Returns false if out of memory. */
typedef bool (*MuxEventHandler) (void *user, json_t *json);

/**
 * mux_event_lines_read() - read JSON lines of daemons' logs from --file or
 * standard input
 *
 * Text before the JSON of a line, and lines without JSON, are skipped.
 *
 * Return: an enum MuxExit; failures are printed.
 */
int
mux_event_lines_read (MuxCliCall *call, MuxEventHandler handler, void *user);

/** mux_event_text() - text of a field; "" if absent */
const char *mux_event_text (const json_t *json, const char *field);

/** mux_event_number() - integer value of a field; 0 if absent */
int64_t mux_event_number (const json_t *json, const char *field);

#endif
