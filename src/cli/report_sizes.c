#include "report_sizes.h"

#include <stdlib.h>

#define PERCENT 100
#define LARGEST_DIVISOR 10
#define NEXT_DIVISOR 5

bool
mux_sized_jobs_add (MuxSizedJobs *jobs, int64_t work_ms, bool in_time)
{
  MuxSizedJob *more
      = realloc (jobs->job, ((size_t) jobs->count + 1) * sizeof *more);

  if (more == NULL)
    return false;
  jobs->job = more;
  more[jobs->count++] = (MuxSizedJob){ work_ms, in_time };
  return true;
}

static int
largest_first (const void *x, const void *y)
{
  const MuxSizedJob *a = x;
  const MuxSizedJob *b = y;

  return a->work_ms > b->work_ms ? -1 : a->work_ms < b->work_ms;
}

static json_t *
in_time_percent_json (const MuxSizedJobs *jobs, uint32_t from, uint32_t count)
{
  uint32_t in_time = 0;

  if (count == 0)
    return json_null ();
  for (uint32_t i = from; i < from + count; i++)
    in_time += jobs->job[i].in_time;
  return json_integer ((json_int_t) in_time * PERCENT / count);
}

void
mux_sized_jobs_to_json (MuxSizedJobs *jobs, json_t *row)
{
  uint32_t largest = jobs->count / LARGEST_DIVISOR;
  uint32_t next = jobs->count / NEXT_DIVISOR;

  if (jobs->count > 0)
    qsort (jobs->job, jobs->count, sizeof *jobs->job, largest_first);
  (void) json_object_set_new (row, "in_time_percent",
                              in_time_percent_json (jobs, 0, jobs->count));
  (void) json_object_set_new (row, "largest_tenth_percent",
                              in_time_percent_json (jobs, 0, largest));
  (void) json_object_set_new (row, "next_fifth_percent",
                              in_time_percent_json (jobs, largest, next));
}

void
mux_sized_jobs_clear (MuxSizedJobs *jobs)
{
  free (jobs->job);
  *jobs = (MuxSizedJobs){ 0 };
}
