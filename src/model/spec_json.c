#include "model/spec.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Bounds of the declared resources of one task. */
#define TASK_CPU_MILLI_MAX 1024000
#define TASK_MEM_MIB_MAX 16777216
#define TASK_ACCELS_MAX 64
#define WEEK_MS 604800000
#define PPM 1000000
#define START_SHARE_PPM_DEFAULT 990000

#define PLACE_LEN sizeof ((MuxFinding *) 0)->place

/**
 * struct Uint - an unsigned field of an object and its bounds
 * @key: name of the field
 * @min: smallest valid value
 * @max: largest valid value
 * @fallback: value if the field is absent; -1: the field is required
 */
typedef struct
{
  const char *key;
  uint32_t min;
  uint32_t max;
  int64_t fallback;
} Uint;

static void
join_place (char out[PLACE_LEN], const char *place, const char *key)
{
  snprintf (out, PLACE_LEN, "%s%s%s", place, *place != 0 ? "." : "", key);
}

static void
add_at (MuxFindings *findings,
        const char *place,
        const char *key,
        const char *text)
{
  char at[PLACE_LEN];

  join_place (at, place, key);
  mux_findings_add (findings, at, "%s", text);
}

static bool
key_known (const char *key, const char *const *known)
{
  for (; *known != NULL; known++)
    if (strcmp (key, *known) == 0)
      return true;
  return false;
}

/* Checks that @json is an object that has no fields other than @known. */
static bool
check_object (const json_t *json,
              const char *place,
              const char *const *known,
              MuxFindings *findings)
{
  const char *key;
  json_t *value;

  if (!json_is_object (json))
    {
      mux_findings_add (findings, place, "must be an object");
      return false;
    }
  json_object_foreach ((json_t *) json, key, value)
  {
    if (!key_known (key, known))
      add_at (findings, place, key, "unknown field");
  }
  return true;
}

static const json_t *
get_field (const json_t *json,
           const char *place,
           const char *key,
           MuxFindings *findings)
{
  const json_t *value = json_object_get (json, key);

  if (value == NULL)
    add_at (findings, place, key, "missing");
  return value;
}

static uint32_t
read_uint (const json_t *json,
           const char *place,
           const Uint *field,
           MuxFindings *findings)
{
  const json_t *value = json_object_get (json, field->key);
  char at[PLACE_LEN];
  json_int_t n;

  if (value == NULL && field->fallback >= 0)
    return (uint32_t) field->fallback;
  join_place (at, place, field->key);
  if (value == NULL)
    mux_findings_add (findings, at, "missing");
  else if (!json_is_integer (value))
    mux_findings_add (findings, at, "must be a whole number");
  else if (n = json_integer_value (value), n < field->min || n > field->max)
    mux_findings_add (findings, at,
                      "must be %" PRIu32 " to %" PRIu32 ", not "
                      "%" JSON_INTEGER_FORMAT,
                      field->min, field->max, n);
  else
    return (uint32_t) n;
  return 0;
}

static MuxSize
read_size (const json_t *json,
           const char *place,
           const Uint *fields,
           MuxFindings *findings)
{
  MuxSize size = { .slots = 1 };

  size.cpu_milli = read_uint (json, place, &fields[0], findings);
  size.mem_mib = read_uint (json, place, &fields[1], findings);
  size.accels = read_uint (json, place, &fields[2], findings);
  if (fields[3].key != NULL)
    size.slots = read_uint (json, place, &fields[3], findings);
  return size;
}

json_t *
mux_size_to_json (MuxSize size)
{
  return json_pack ("{s:I, s:I, s:I, s:I}", "cpu_milli",
                    (json_int_t) size.cpu_milli, "mem_mib",
                    (json_int_t) size.mem_mib, "accels",
                    (json_int_t) size.accels, "slots", (json_int_t) size.slots);
}

bool
mux_size_from_json (const json_t *json,
                    const char *place,
                    MuxSize *size,
                    MuxFindings *findings)
{
  static const char *const known[]
      = { "cpu_milli", "mem_mib", "accels", "slots", NULL };
  static const Uint fields[] = { { "cpu_milli", 0, UINT32_MAX, -1 },
                                 { "mem_mib", 0, UINT32_MAX, -1 },
                                 { "accels", 0, UINT32_MAX, -1 },
                                 { "slots", 0, UINT32_MAX, -1 } };
  uint32_t before = findings->count + findings->dropped;

  if (check_object (json, place, known, findings))
    *size = read_size (json, place, fields, findings);
  return findings->count + findings->dropped == before;
}

/* Reads the size of a class's tasks.  A task always takes one slot, so there is
 * no such field. */
static MuxSize
read_task_size (const json_t *json, const char *place, MuxFindings *findings)
{
  static const char *const known[] = { "cpu_milli", "mem_mib", "accels", NULL };
  static const Uint fields[] = { { "cpu_milli", 0, TASK_CPU_MILLI_MAX, -1 },
                                 { "mem_mib", 0, TASK_MEM_MIB_MAX, -1 },
                                 { "accels", 0, TASK_ACCELS_MAX, -1 },
                                 { NULL, 0, 0, 0 } };
  const json_t *value = get_field (json, place, "size", findings);
  char at[PLACE_LEN];

  join_place (at, place, "size");
  if (value == NULL || !check_object (value, at, known, findings))
    return (MuxSize){ .slots = 1 };
  return read_size (value, at, fields, findings);
}

static void
read_product (const json_t *json,
              const char *place,
              MuxClassSpec *spec,
              MuxFindings *findings)
{
  const json_t *value = get_field (json, place, "product", findings);
  const char *text = json_string_value (value);

  if (value == NULL)
    return;
  if (text == NULL || strlen (text) != json_string_length (value)
      || !mux_name_valid (text))
    add_at (findings, place, "product",
            "must be a name of 1 to 47 of a-z A-Z 0-9 . _ -");
  else
    mux_name_copy (spec->product, text);
}

static void
read_kind (const json_t *json,
           const char *place,
           MuxClassSpec *spec,
           MuxFindings *findings)
{
  const json_t *value = get_field (json, place, "kind", findings);
  const char *text = json_string_value (value);

  if (value != NULL && (text == NULL || !mux_kind_parse (text, &spec->kind)))
    add_at (findings, place, "kind",
            "must be service, batch, gang or long_running");
}

static void
read_idempotent (const json_t *json,
                 const char *place,
                 MuxClassSpec *spec,
                 MuxFindings *findings)
{
  const json_t *value = get_field (json, place, "idempotent", findings);

  if (value != NULL && !json_is_boolean (value))
    add_at (findings, place, "idempotent", "must be true or false");
  else
    spec->idempotent = json_is_true (value);
}

json_t *
mux_class_to_json (const MuxClassSpec *spec)
{
  return json_pack (
      "{s:s, s:s, s:b, s:I, s:I, s:{s:I, s:I, s:I}, s:I}", "product",
      spec->product, "kind", mux_kind_name (spec->kind), "idempotent",
      (int) spec->idempotent, "start_within_ms",
      (json_int_t) spec->start_within_ms, "start_share_ppm",
      (json_int_t) spec->start_share_ppm, "size", "cpu_milli",
      (json_int_t) spec->size.cpu_milli, "mem_mib",
      (json_int_t) spec->size.mem_mib, "accels", (json_int_t) spec->size.accels,
      "run_ms", (json_int_t) spec->run_ms);
}

bool
mux_class_from_json (const json_t *json,
                     const char *place,
                     MuxClassSpec *spec,
                     MuxFindings *findings)
{
  static const char *const known[]
      = { "product",         "kind", "idempotent", "start_within_ms",
          "start_share_ppm", "size", "run_ms",     NULL };
  static const Uint within = { "start_within_ms", 1, WEEK_MS, -1 };
  static const Uint share
      = { "start_share_ppm", 1, PPM, START_SHARE_PPM_DEFAULT };
  static const Uint run = { "run_ms", 0, WEEK_MS, -1 };
  uint32_t before = findings->count + findings->dropped;

  if (!check_object (json, place, known, findings))
    return false;
  read_product (json, place, spec, findings);
  read_kind (json, place, spec, findings);
  read_idempotent (json, place, spec, findings);
  spec->start_within_ms = read_uint (json, place, &within, findings);
  spec->start_share_ppm = read_uint (json, place, &share, findings);
  spec->size = read_task_size (json, place, findings);
  spec->run_ms = read_uint (json, place, &run, findings);
  return findings->count + findings->dropped == before;
}

json_t *
mux_product_to_json (const MuxProductSpec *spec)
{
  return json_pack ("{s:o}", "quota", mux_size_to_json (spec->quota));
}

bool
mux_product_from_json (const json_t *json,
                       const char *place,
                       MuxProductSpec *spec,
                       MuxFindings *findings)
{
  static const char *const known[] = { "quota", NULL };
  uint32_t before = findings->count + findings->dropped;
  const json_t *quota;
  char at[PLACE_LEN];

  if (!check_object (json, place, known, findings))
    return false;
  quota = get_field (json, place, "quota", findings);
  join_place (at, place, "quota");
  if (quota != NULL)
    mux_size_from_json (quota, at, &spec->quota, findings);
  return findings->count + findings->dropped == before;
}

json_t *
mux_cell_to_json (const MuxCellSpec *spec)
{
  return json_pack ("{s:I}", "idle_ppm", (json_int_t) spec->idle_ppm);
}

bool
mux_cell_from_json (const json_t *json,
                    const char *place,
                    MuxCellSpec *spec,
                    MuxFindings *findings)
{
  static const char *const known[] = { "idle_ppm", NULL };
  static const Uint idle = { "idle_ppm", 0, PPM, -1 };
  uint32_t before = findings->count + findings->dropped;

  if (!check_object (json, place, known, findings))
    return false;
  spec->idle_ppm = read_uint (json, place, &idle, findings);
  return findings->count + findings->dropped == before;
}

json_t *
mux_findings_to_json (const MuxFindings *findings)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; list != NULL && i < findings->count; i++)
    json_array_append_new (list, json_pack ("{s:s, s:s}", "place",
                                            findings->item[i].place, "text",
                                            findings->item[i].text));
  return list;
}
