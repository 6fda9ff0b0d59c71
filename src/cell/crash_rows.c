#include "stage_tasks.h"

#include <stdio.h>
#include <string.h>

/* Losses of a stage's tasks as they are stored, grouped by the workers lost:
 * [worker, address, whether it has ended, wall-clock time, [[task, run,
 * flags, in an outage, ran_ms], ...]]. Rows of older versions of the
 * program end at the flags, and those versions ignore what follows. */

enum
{
  LOST_WORKER,
  LOST_ADDR,
  LOST_ENDED,
  LOST_AT,
  LOST_RUNS,
};

enum
{
  RUN_TASK,
  RUN_NUMBER,
  RUN_FLAGS,
  RUN_IN_OUTAGE,
  RUN_RAN_MS,
};

/* Flags of a run; see struct CellLoss. */
enum
{
  FLAG_BEGAN = 1,
  FLAG_OUTCOME_UNKNOWN = 2,
  FLAG_FROM_PREDECESSOR = 4,
  FLAGS_ALL = 7,
};

static int
flags_of (const CellLoss *loss)
{
  return (loss->began ? FLAG_BEGAN : 0)
         | (loss->outcome_unknown ? FLAG_OUTCOME_UNKNOWN : 0)
         | (loss->from_predecessor ? FLAG_FROM_PREDECESSOR : 0);
}

static bool
is_of (const json_t *group, const CellLoss *loss)
{
  return strcmp (json_string_value (json_array_get (group, LOST_WORKER)),
                 loss->worker)
             == 0
         && json_is_true (json_array_get (group, LOST_ENDED))
                == loss->worker_ended;
}

/* Return: NULL if out of memory. */
static json_t *
group_of (json_t *list, const CellLoss *loss)
{
  json_t *group;
  size_t i;

  json_array_foreach (list, i, group) if (is_of (group, loss)) return group;
  group = json_pack ("[s, s, b, I, []]", loss->worker, loss->addr,
                     (int) loss->worker_ended, (json_int_t) loss->at_wall_ms);
  return json_array_append_new (list, group) == 0 ? group : NULL;
}

json_t *
cell_losses_json (const CellStage *stage, uint32_t first, uint32_t count)
{
  json_t *list = json_array ();

  for (uint32_t i = first; i < first + count; i++)
    for (uint32_t j = 0; j < cell_task_view (stage, i)->loss_count; j++)
      {
        const CellLoss *loss = &cell_task_view (stage, i)->loss[j];

        (void) json_array_append_new (
            json_array_get (group_of (list, loss), LOST_RUNS),
            json_pack ("[i, i, i, i, I]", (int) i, (int) loss->run,
                       flags_of (loss), (int) loss->in_outage,
                       (json_int_t) loss->ran_ms));
      }
  return list;
}

static bool
is_number (const json_t *value, json_int_t min, json_int_t max)
{
  return json_is_integer (value) && json_integer_value (value) >= min
         && json_integer_value (value) <= max;
}

static bool
is_number_if_any (const json_t *value, json_int_t max)
{
  return value == NULL || is_number (value, 0, max);
}

static bool
is_run (const json_t *run, uint32_t first, uint32_t count)
{
  return is_number (json_array_get (run, RUN_TASK), first,
                    (json_int_t) first + count - 1)
         && is_number (json_array_get (run, RUN_NUMBER), 0, UINT32_MAX)
         && is_number (json_array_get (run, RUN_FLAGS), 0, FLAGS_ALL)
         && is_number_if_any (json_array_get (run, RUN_IN_OUTAGE), 1)
         && is_number_if_any (json_array_get (run, RUN_RAN_MS), INT64_MAX / 2);
}

static bool
is_text (const json_t *value, size_t size)
{
  return json_is_string (value) && json_string_length (value) < size;
}

static bool
is_group (const json_t *group, uint32_t first, uint32_t count)
{
  const json_t *runs = json_array_get (group, LOST_RUNS);
  const json_t *run;
  size_t i;

  json_array_foreach (runs, i,
                      run) if (!is_run (run, first, count)) return false;
  return is_text (json_array_get (group, LOST_WORKER), MUX_NAME_LEN)
         && is_text (json_array_get (group, LOST_ADDR), MUX_ADDR_LEN)
         && json_is_boolean (json_array_get (group, LOST_ENDED))
         && json_is_integer (json_array_get (group, LOST_AT))
         && json_is_array (runs);
}

bool
cell_losses_valid (const json_t *list, uint32_t first, uint32_t count)
{
  const json_t *group;
  size_t i;

  json_array_foreach (list, i,
                      group) if (!is_group (group, first, count)) return false;
  return list == NULL || json_is_array (list);
}

static void
apply_run (MuxCell *cell,
           CellStage *stage,
           const json_t *group,
           const json_t *run)
{
  json_int_t index = json_integer_value (json_array_get (run, RUN_TASK));
  CellTask *task = cell_task_get (cell, stage, (uint32_t) index);
  json_int_t flags = json_integer_value (json_array_get (run, RUN_FLAGS));
  CellLoss *loss = task != NULL ? cell_loss_add (task) : NULL;

  if (loss == NULL)
    return;
  snprintf (loss->worker, sizeof loss->worker, "%s",
            json_string_value (json_array_get (group, LOST_WORKER)));
  snprintf (loss->addr, sizeof loss->addr, "%s",
            json_string_value (json_array_get (group, LOST_ADDR)));
  loss->worker_ended = json_is_true (json_array_get (group, LOST_ENDED));
  loss->at_wall_ms = json_integer_value (json_array_get (group, LOST_AT));
  loss->run = (uint32_t) json_integer_value (json_array_get (run, RUN_NUMBER));
  loss->began = (flags & FLAG_BEGAN) != 0;
  loss->outcome_unknown = (flags & FLAG_OUTCOME_UNKNOWN) != 0;
  loss->in_outage
      = json_integer_value (json_array_get (run, RUN_IN_OUTAGE)) != 0;
  loss->ran_ms = json_integer_value (json_array_get (run, RUN_RAN_MS));
  loss->from_predecessor
      = loss->outcome_unknown || (flags & FLAG_FROM_PREDECESSOR) != 0;
  cell_task_raise_last_run (task, loss->run);
}

void
cell_losses_apply (MuxCell *cell, CellStage *stage, const json_t *list)
{
  const json_t *group;
  const json_t *run;
  size_t i;
  size_t j;

  json_array_foreach (list, i, group)
  {
    json_array_foreach (json_array_get (group, LOST_RUNS), j, run)
        apply_run (cell, stage, group, run);
  }
}
