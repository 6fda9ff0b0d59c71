#include "standin/worker_log.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <xxhash.h>

typedef struct
{
  char *bytes;
  size_t len;
} Line;

/* Only names and fixed words are printed, which need no escapes. */
static void __attribute__ ((format (printf, 2, 3)))
print (Line *line, const char *format, ...)
{
  size_t room = STANDIN_WORKER_LINE_MAX - line->len;
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (line->bytes + line->len, room, format, args);
  va_end (args);
  if (n > 0 && (size_t) n < room)
    line->len += (size_t) n;
}

static void
print_text (Line *line, const char *name, const char *text)
{
  if (text != NULL && text[0] != 0)
    print (line, ",\"%s\":\"%s\"", name, text);
}

static void
print_hash (Line *line, const char *name, const MuxBlob *blob)
{
  if (blob != NULL)
    print (line, ",\"%s\":\"%016" PRIx64 "\"", name,
           (uint64_t) XXH3_64bits (blob->bytes, blob->len));
}

static void
print_task (Line *line, const StandinWorkerEvent *event)
{
  char id[MUX_ID_HEX_LEN];

  mux_id_format (event->task, id);
  print (line,
         ",\"task\":\"%s\",\"size\":{\"cpu_milli\":%" PRIu32
         ",\"mem_mib\":%" PRIu32 ",\"accels\":%" PRIu32 ",\"slots\":%" PRIu32
         "},\"ran_ms\":%" PRIu32,
         id, event->size.cpu_milli, event->size.mem_mib, event->size.accels,
         event->size.slots, event->ran_ms);
}

size_t
standin_worker_log_line (const StandinWorkerEvent *event,
                         const char *worker,
                         uint64_t incarnation,
                         int64_t t_ms,
                         char out[STANDIN_WORKER_LINE_MAX])
{
  Line line = { out, 0 };

  print (&line,
         "{\"t_ms\":%" PRId64 ",\"mono_ms\":%" PRId64
         ",\"worker\":\"%s\",\"incarnation\":%" PRIu64
         ",\"event\":\"%s\",\"epoch\":%" PRIu64,
         t_ms, event->mono_ms, worker, incarnation, event->event, event->epoch);
  if (!mux_id_is_none (event->task))
    print_task (&line, event);
  print_text (&line, "class", event->class_name);
  print_text (&line, "home", event->home);
  print_text (&line, "owner", event->owner);
  print_text (&line, "state", event->state);
  print_text (&line, "reason", event->reason);
  print_hash (&line, "body_hash", event->body);
  print_hash (&line, "answer_hash", event->answer);
  print (&line, "}\n");
  return line.len;
}
