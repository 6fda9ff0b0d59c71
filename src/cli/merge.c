#include "merge.h"

#include <stdbool.h>
#include <string.h>

static json_int_t
integer_of (const json_t *row, const char *field)
{
  return json_integer_value (json_object_get (row, field));
}

/* Adds @row, or calls @merge if @rows has one with the same name. */
static void
add_row (json_t *rows,
         const char *name_field,
         json_t *row,
         void (*merge) (json_t *kept, const json_t *row))
{
  const char *name = json_string_value (json_object_get (row, name_field));
  size_t i;
  json_t *kept;

  if (name == NULL)
    return;
  json_array_foreach (rows, i, kept)
  {
    if (strcmp (json_string_value (json_object_get (kept, name_field)), name)
        != 0)
      continue;
    merge (kept, row);
    return;
  }
  json_array_append_new (rows, json_copy (row));
}

static json_t *
merge_rows (const json_t *responses,
            const char *field,
            const char *name_field,
            void (*merge) (json_t *kept, const json_t *row))
{
  json_t *rows = json_array ();
  size_t i, k;
  json_t *response, *row;

  json_array_foreach ((json_t *) responses, i, response)
  {
    json_array_foreach (json_object_get (response, field), k, row)
        add_row (rows, name_field, row, merge);
  }
  return rows;
}

static void
merge_worker (json_t *kept, const json_t *row)
{
  bool kept_held = json_is_true (json_object_get (kept, "held"));

  if (!json_is_true (json_object_get (row, "held"))
      || (kept_held && integer_of (row, "epoch") <= integer_of (kept, "epoch")))
    return;
  json_object_update (kept, (json_t *) row);
}

json_t *
mux_merge_workers (const json_t *responses)
{
  return merge_rows (responses, "workers", "worker", merge_worker);
}

static void
merge_class (json_t *kept, const json_t *row)
{
  json_int_t queued = integer_of (kept, "queued") + integer_of (row, "queued");
  json_int_t p99 = integer_of (kept, "p99_wait_ms");
  bool at_risk = json_is_true (json_object_get (kept, "at_risk"))
                 || json_is_true (json_object_get (row, "at_risk"));

  if (integer_of (row, "p99_wait_ms") > p99)
    p99 = integer_of (row, "p99_wait_ms");
  if (integer_of (row, "forecast_ppm") < integer_of (kept, "forecast_ppm"))
    json_object_update (kept, (json_t *) row);
  json_object_set_new (kept, "queued", json_integer (queued));
  json_object_set_new (kept, "p99_wait_ms", json_integer (p99));
  json_object_set_new (kept, "at_risk", json_boolean (at_risk));
}

json_t *
mux_merge_risk (const json_t *responses)
{
  return merge_rows (responses, "classes", "class", merge_class);
}

static json_t *
members_not_live (const json_t *status)
{
  json_t *names = json_array ();
  size_t i;
  json_t *member;

  json_array_foreach (json_object_get (status, "members"), i, member)
  {
    const char *state = json_string_value (json_object_get (member, "state"));

    if (state == NULL || strcmp (state, "live") != 0)
      json_array_append (names, json_object_get (member, "instance"));
  }
  return names;
}

void
mux_merge_status (json_t *responses)
{
  size_t i;
  json_t *status;

  json_array_foreach (responses, i, status)
      json_object_set_new (status, "not_live", members_not_live (status));
}
