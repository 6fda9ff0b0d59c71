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
#define IDLE_WAIT_MS 500
#define WRITE_TIMEOUT_MS 100

/* Rate limit state of one event name. */
typedef struct
{
  char event[32];
  int64_t second;
  uint32_t used;
  uint32_t dropped;
  UT_hash_handle hh;
} EventLimit;

struct MuxEventLog
{
  MuxEventLogOptions options;
  MuxRing *ring;
  EventLimit *limits;
  atomic_bool stop;
  pthread_t thread;
};

/* A line is dropped if standard output does not accept it within a timeout, so
 * that a stuck reader can't block the writer thread, and with it the ring and
 * the end of the process. */
static void
write_line (const char *line, size_t len)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  while (len > 0)
    {
      ssize_t n;

      if (poll (&out, 1, WRITE_TIMEOUT_MS) <= 0)
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
      line = mux_ring_wait (log->ring, IDLE_WAIT_MS);
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
  EventLimit *limit;
  EventLimit *next;

  if (log == NULL)
    return;
  atomic_store (&log->stop, true);
  mux_ring_wake (log->ring, 1);
  pthread_join (log->thread, NULL);
  HASH_ITER (hh, log->limits, limit, next)
  {
    HASH_DEL (log->limits, limit);
    free (limit);
  }
  mux_ring_free (log->ring);
  free (log);
}

static EventLimit *
limit_of (MuxEventLog *log, const char *event)
{
  EventLimit *limit;

  HASH_FIND_STR (log->limits, event, limit);
  if (limit != NULL)
    return limit;
  limit = calloc (1, sizeof *limit);
  if (limit == NULL)
    return NULL;
  strncpy (limit->event, event, sizeof limit->event - 1);
  HASH_ADD_STR (log->limits, event, limit);
  return limit;
}

static bool
within_limit (MuxEventLog *log, EventLimit *limit)
{
  int64_t second = mux_boottime_ms () / MS_PER_S;

  if (limit->second != second)
    {
      limit->second = second;
      limit->used = 0;
    }
  if (limit->used < log->options.rate_limit_per_s)
    {
      limit->used++;
      return true;
    }
  limit->dropped++;
  return false;
}

static char *
make_line (MuxEventLog *log, EventLimit *limit, json_t *fields)
{
  json_t *line
      = json_pack ("{s:I, s:s, s:s}", "wall_ms", (json_int_t) mux_wall_ms (),
                   "instance", log->options.name, "event", limit->event);
  char *text;
  char *with_newline = NULL;

  if (fields != NULL)
    json_object_update (line, fields);
  if (limit->dropped > 0)
    json_object_set_new (line, "suppressed", json_integer (limit->dropped));
  text = json_dumps (line, JSON_COMPACT);
  json_decref (line);
  if (text != NULL)
    {
      size_t len = strlen (text);

      with_newline = realloc (text, len + 2);
      if (with_newline == NULL)
        free (text);
      else
        memcpy (with_newline + len, "\n", 2);
    }
  return with_newline;
}

void
mux_event_log (MuxEventLog *log, const char *event, json_t *fields)
{
  EventLimit *limit = limit_of (log, event);
  char *line;

  if (limit != NULL && within_limit (log, limit))
    {
      line = make_line (log, limit, fields);
      if (line != NULL && mux_ring_push (log->ring, line))
        limit->dropped = 0;
      else
        {
          limit->dropped++;
          free (line);
        }
    }
  json_decref (fields);
}
