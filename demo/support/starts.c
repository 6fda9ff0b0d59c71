#include "demo/support/starts.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
add (MuxStarts *starts, MuxStart start)
{
  if (starts->count == starts->room)
    {
      uint32_t room = starts->room == 0 ? 1024 : starts->room * 2;
      MuxStart *item = realloc (starts->item, room * sizeof *item);

      if (item == NULL)
        abort ();
      starts->item = item;
      starts->room = room;
    }
  starts->item[starts->count++] = start;
}

static void
read_line (const char *line, uint32_t worker, MuxStarts *starts)
{
  json_t *json = json_loads (line, 0, NULL);
  const char *event = json_string_value (json_object_get (json, "event"));
  json_t *epoch = json_object_get (json, "epoch");
  json_t *at = json_object_get (json, "mono_ms");

  if (event != NULL && strcmp (event, "start") == 0)
    add (starts, (MuxStart){ .worker = worker,
                             .epoch = (uint64_t) json_integer_value (epoch),
                             .at_ms = json_integer_value (at) });
  json_decref (json);
}

bool
mux_starts_read (const MuxCluster *cluster, MuxStarts *starts, MuxError *err)
{
  char *line = NULL;
  size_t cap = 0;

  for (uint32_t i = 0; i < cluster->worker_count; i++)
    {
      FILE *file = fopen (cluster->worker[i].log, "r");

      if (file == NULL)
        {
          free (line);
          return mux_error_set (err, MUX_ERROR_IO, "%s: %s",
                                cluster->worker[i].log, strerror (errno));
        }
      while (getline (&line, &cap, file) > 0)
        read_line (line, i, starts);
      fclose (file);
    }
  free (line);
  return true;
}

void
mux_starts_clear (MuxStarts *starts)
{
  free (starts->item);
  *starts = (MuxStarts){ 0 };
}

uint32_t
mux_starts_count (const MuxStarts *starts, int64_t from_ms, int64_t to_ms)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < starts->count; i++)
    if (starts->item[i].at_ms >= from_ms && starts->item[i].at_ms < to_ms)
      count++;
  return count;
}
