#include "event_lines.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Lists the speeds that planners assumed of workers, from the logs of any
 * number of daemons in any order. */

#define NAME_LEN 96
#define CLASS_LEN 16

/**
 * struct Speed - what was logged last about a worker
 */
typedef struct
{
  char worker[NAME_LEN];
  char class[CLASS_LEN];
  int64_t wall_ms;
  int64_t speed_milli;
  int64_t uncertain_milli;
  int64_t runs;
  UT_hash_handle hh;
} Speed;

static Speed *
speed_of (Speed **speeds, const char *worker)
{
  Speed *speed;

  HASH_FIND_STR (*speeds, worker, speed);
  if (speed != NULL)
    return speed;
  speed = calloc (1, sizeof *speed);
  if (speed == NULL)
    return NULL;
  snprintf (speed->worker, sizeof speed->worker, "%s", worker);
  HASH_ADD_STR (*speeds, worker, speed);
  return speed;
}

static bool
take_event (void *user, json_t *json)
{
  const char *worker = mux_event_text (json, "worker");
  int64_t wall_ms = mux_event_number (json, "wall_ms");
  Speed *speed;

  if (strcmp (mux_event_text (json, "event"), "worker_speed") != 0
      || worker[0] == 0 || strlen (worker) >= NAME_LEN)
    {
      json_decref (json);
      return true;
    }
  speed = speed_of (user, worker);
  if (speed != NULL && wall_ms >= speed->wall_ms)
    {
      speed->wall_ms = wall_ms;
      snprintf (speed->class, sizeof speed->class, "%s",
                mux_event_text (json, "class"));
      speed->speed_milli = mux_event_number (json, "speed_milli");
      speed->uncertain_milli = mux_event_number (json, "uncertain_milli");
      speed->runs = mux_event_number (json, "runs");
    }
  json_decref (json);
  return speed != NULL;
}

static int
by_speed (const Speed *a, const Speed *b)
{
  if (a->speed_milli != b->speed_milli)
    return a->speed_milli < b->speed_milli ? -1 : 1;
  return strcmp (a->worker, b->worker);
}

static void
print (FILE *out, Speed **speeds)
{
  const Speed *speed;
  const Speed *next;

  HASH_SORT (*speeds, by_speed);
  fprintf (out, "%-32s %-6s %12s %12s %6s\n", "worker", "class", "speed_milli",
           "uncertain", "runs");
  HASH_ITER (hh, *speeds, speed, next)
  fprintf (
      out,
      "%-32s %-6s %12" PRId64 " %11" PRId64 ".%" PRId64 "%% %6" PRId64 "\n",
      speed->worker, speed->class, speed->speed_milli,
      speed->uncertain_milli / 10, speed->uncertain_milli % 10, speed->runs);
}

int
mux_verb_speeds (MuxCliCall *call)
{
  Speed *speeds = NULL;
  Speed *speed;
  Speed *next;
  int code = mux_event_lines_read (call, take_event, &speeds);

  if (code == MUX_EXIT_OK)
    print (call->host->out, &speeds);
  HASH_ITER (hh, speeds, speed, next)
  {
    HASH_DEL (speeds, speed);
    free (speed);
  }
  return code;
}
