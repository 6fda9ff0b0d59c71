#ifndef SUPPORT_JSONL_H
#define SUPPORT_JSONL_H

#include "base/error.h"

#include <jansson.h>

typedef struct MuxJsonl MuxJsonl;

/** mux_jsonl_open() - a log of one JSON object a line, appended to @path */
MuxJsonl *mux_jsonl_open (const char *path, MuxError *err);
/** mux_jsonl_write() - one line by one write, from any thread
 * @json: taken over; NULL, or a failed write, makes mux_jsonl_close() fail */
void mux_jsonl_write (MuxJsonl *log, json_t *json);
/** mux_jsonl_close() - false when any line was not written; NULL is fine */
bool mux_jsonl_close (MuxJsonl *log);

#endif
