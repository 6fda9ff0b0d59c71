#include "event_log.h"

#include "base/ring.h"
#include "clock.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uthash.h>

#define MS_PER_S 1000
#define WAIT_MS 500
#define WRITE_WAIT_MS 100

/* What one kind of line has used of its budget. */
typedef struct
{
  char event[32];
  int64_t second;
  uint32_t used;
  uint32_t dropped;
  UT_hash_handle hh;
} Kind;

struct MuxEventLog
{
  MuxEventLogOptions options;
  MuxRing *ring;
  Kind *kinds;
  atomic_bool stop;
  pthread_t thread;
};

/* A reader that takes nothing must not hold the process up: the line is given
 * up after a while, so that the ring goes on to move and to drop. */
static void
write_line (const char *line, size_t len)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  while (len > 0)
    {
      ssize_t n;

      if (poll (&out, 1, WRITE_WAIT_MS) <= 0)
        return;
      n = write (STDOUT_FILENO, line, len);
      if (n < 0 && errno != EINTR && errno != EAGAIN)
        return;
      if (n > 0)
        {
          line += n;
          len -= (size_t) n;
        }
    }
}

static void *
writer_main (void *arg)
{
  MuxEventLog *log = arg;
  char *line;

  for (;;)
    {
      line = mux_ring_wait (log->ring, WAIT_MS);
      if (line != NULL)
        write_line (line, strlen (line));
      else if (atomic_load (&log->stop))
        return NULL;
      free (line);
    }
}

MuxEventLog *
mux_event_log_new (const MuxEventLogOptions *options)
{
  MuxEventLog *log = calloc (1, sizeof *log);
  sigset_t all;
  sigset_t old;
  int rc;

  if (log == NULL)
    return NULL;
  log->options = *options;
  log->ring = mux_ring_new (options->queue);
  if (log->ring == NULL)
    {
      free (log);
      return NULL;
    }
  sigfillset (&all);
  pthread_sigmask (SIG_SETMASK, &all, &old);
  rc = pthread_create (&log->thread, NULL, writer_main, log);
  pthread_sigmask (SIG_SETMASK, &old, NULL);
  if (rc == 0)
    return log;
  mux_ring_free (log->ring);
  free (log);
  return NULL;
}

void
mux_event_log_free (MuxEventLog *log)
{
  Kind *kind;
  Kind *next;

  if (log == NULL)
    return;
  atomic_store (&log->stop, true);
  mux_ring_wake (log->ring, 1);
  pthread_join (log->thread, NULL);
  HASH_ITER (hh, log->kinds, kind, next)
  {
    HASH_DEL (log->kinds, kind);
    free (kind);
  }
  mux_ring_free (log->ring);
  free (log);
}

static Kind *
kind_of (MuxEventLog *log, const char *event)
{
  Kind *kind;

  HASH_FIND_STR (log->kinds, event, kind);
  if (kind != NULL)
    return kind;
  kind = calloc (1, sizeof *kind);
  if (kind == NULL)
    return NULL;
  strncpy (kind->event, event, sizeof kind->event - 1);
  HASH_ADD_STR (log->kinds, event, kind);
  return kind;
}

static bool
within_budget (MuxEventLog *log, Kind *kind)
{
  int64_t second = mux_boottime_ms () / MS_PER_S;

  if (kind->second != second)
    {
      kind->second = second;
      kind->used = 0;
    }
  if (kind->used < log->options.rate_limit_per_s)
    {
      kind->used++;
      return true;
    }
  kind->dropped++;
  return false;
}

static char *
make_line (MuxEventLog *log, Kind *kind, json_t *fields)
{
  json_t *line
      = json_pack ("{s:I, s:s, s:s}", "wall_ms", (json_int_t) mux_wall_ms (),
                   "instance", log->options.name, "event", kind->event);
  char *text;
  char *whole = NULL;

  if (fields != NULL)
    json_object_update (line, fields);
  if (kind->dropped > 0)
    json_object_set_new (line, "suppressed", json_integer (kind->dropped));
  text = json_dumps (line, JSON_COMPACT);
  json_decref (line);
  if (text != NULL)
    {
      size_t len = strlen (text);

      whole = realloc (text, len + 2);
      if (whole == NULL)
        free (text);
      else
        memcpy (whole + len, "\n", 2);
    }
  return whole;
}

void
mux_event_log (MuxEventLog *log, const char *event, json_t *fields)
{
  Kind *kind = kind_of (log, event);
  char *line;

  if (kind != NULL && within_budget (log, kind))
    {
      line = make_line (log, kind, fields);
      if (line != NULL && mux_ring_push (log->ring, line))
        kind->dropped = 0;
      else
        {
          kind->dropped++;
          free (line);
        }
    }
  json_decref (fields);
}
