/* Keeps uthash from ending the process when memory is exhausted. The object is
 * left out then, and its row is applied again later. */
#define HASH_NONFATAL_OOM 1

#include "config_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const sort_names[MUX_CONFIG_SORT_COUNT]
    = { "class", "product", "cell", "drain" };

const char *
config_sort_name (MuxConfigSort sort)
{
  return sort_names[sort];
}

bool
config_sort_parse (const char *text, MuxConfigSort *sort)
{
  for (int i = 0; text != NULL && i < MUX_CONFIG_SORT_COUNT; i++)
    if (strcmp (text, sort_names[i]) == 0)
      {
        *sort = (MuxConfigSort) i;
        return true;
      }
  return false;
}

static void
object_key (char key[CONFIG_KEY_LEN], MuxConfigSort sort, const char *name)
{
  snprintf (key, CONFIG_KEY_LEN, "%s/%s", sort_names[sort], name);
}

ConfigObject *
config_object (const Config *config, MuxConfigSort sort, const char *name)
{
  ConfigObject *object;
  char key[CONFIG_KEY_LEN];

  object_key (key, sort, name);
  HASH_FIND_STR (config->objects, key, object);
  return object;
}

uint64_t
config_object_revision (const ConfigObject *object)
{
  return object == NULL || object->value == NULL ? 0 : object->revision;
}

static ConfigObject *
object_get_or_add (Config *config, MuxConfigSort sort, const char *name)
{
  ConfigObject *object = config_object (config, sort, name);

  if (object != NULL)
    return object;
  object = calloc (1, sizeof *object);
  if (object == NULL)
    return NULL;
  object_key (object->key, sort, name);
  object->sort = sort;
  mux_name_copy (object->name, name);
  HASH_ADD_STR (config->objects, key, object);
  if (object->hh.tbl == NULL)
    {
      free (object);
      return NULL;
    }
  config->removed_count++;
  return object;
}

static void
object_free (Config *config, ConfigObject *object)
{
  HASH_DEL (config->objects, object);
  if (object->value == NULL)
    config->removed_count--;
  if (object->unapplied)
    config->unapplied_count--;
  json_decref (object->value);
  free (object);
}

void
config_objects_free (Config *config)
{
  ConfigObject *object, *next;

  HASH_ITER (hh, config->objects, object, next)
  {
    object_free (config, object);
  }
}

static void
mark_unapplied (Config *config, ConfigObject *object, bool unapplied)
{
  if (object->unapplied == unapplied)
    return;
  object->unapplied = unapplied;
  if (unapplied)
    config->unapplied_count++;
  else
    config->unapplied_count--;
}

static void
log_invalid (MuxCore *core, const char *key, uint64_t revision)
{
  core_log (core, MUX_LOG_ERR, "config_bad", "object=%s revision=%" PRIu64, key,
            revision);
}

static bool
apply_class (MuxCore *core, ConfigObject *object)
{
  MuxFindings findings = { 0 };
  MuxClassSpec spec = { 0 };

  if (object->value == NULL)
    {
      object->spec.name[0] = 0;
      mux_sched_class_remove (core->sched, object->name);
      return true;
    }
  if (!mux_class_from_json (object->value, object->key, &spec, &findings))
    {
      log_invalid (core, object->key, object->revision);
      return true;
    }
  mux_name_copy (spec.name, object->name);
  object->spec = spec;
  return mux_sched_class_set (core->sched, &spec);
}

static bool
apply_product (MuxCore *core, const ConfigObject *object)
{
  MuxFindings findings = { 0 };
  MuxProductSpec spec = { 0 };

  if (object->value == NULL)
    {
      mux_sched_product_remove (core->sched, object->name);
      return true;
    }
  mux_name_copy (spec.name, object->name);
  if (mux_product_from_json (object->value, object->key, &spec, &findings))
    return mux_sched_product_set (core->sched, &spec);
  log_invalid (core, object->key, object->revision);
  return true;
}

static void
apply_cell (MuxCore *core, const ConfigObject *object)
{
  MuxFindings findings = { 0 };
  MuxCellSpec spec = { 0 };

  if (object->value != NULL
      && mux_cell_from_json (object->value, object->key, &spec, &findings))
    mux_sched_cell_set (core->sched, &spec);
}

static void
apply_object (MuxCore *core, ConfigObject *object)
{
  bool applied = true;

  if (object->sort == MUX_CONFIG_CLASS)
    applied = apply_class (core, object);
  else if (object->sort == MUX_CONFIG_PRODUCT)
    applied = apply_product (core, object);
  else if (object->sort == MUX_CONFIG_CELL)
    apply_cell (core, object);
  else
    workers_update_usable (core);
  mark_unapplied (core->config, object, !applied);
}

void
config_objects_retry (MuxCore *core)
{
  ConfigObject *object, *next;

  HASH_ITER (hh, core->config->objects, object, next)
  {
    if (object->unapplied)
      apply_object (core, object);
  }
}

static int
by_key (const ConfigObject *a, const ConfigObject *b)
{
  return strcmp (a->key, b->key);
}

static int
by_revision (const ConfigObject *a, const ConfigObject *b)
{
  return (a->revision > b->revision) - (a->revision < b->revision);
}

void
config_objects_sort (Config *config, bool revision_order)
{
  if (revision_order)
    HASH_SORT (config->objects, by_revision);
  else
    HASH_SORT (config->objects, by_key);
}

/* Removed objects are remembered so that their removal can be sent to peers.
 * The oldest are forgotten; a peer whose revision is older than they are has
 * to request all objects. */
static void
forget_removed (Config *config)
{
  ConfigObject *object, *next;

  if (config->removed_count <= CONFIG_REMOVED_MAX)
    return;
  config_objects_sort (config, true);
  HASH_ITER (hh, config->objects, object, next)
  {
    if (config->removed_count <= CONFIG_REMOVED_MAX / 2)
      return;
    if (object->value != NULL)
      continue;
    config->floor = object->revision;
    object_free (config, object);
  }
}

static void
object_set (MuxCore *core,
            ConfigObject *object,
            uint64_t revision,
            json_t *value)
{
  Config *config = core->config;

  if (object->value == NULL)
    config->removed_count--;
  if (value == NULL)
    config->removed_count++;
  json_decref (object->value);
  object->value = json_incref (value);
  object->revision = revision;
  apply_object (core, object);
}

/* @row is a log row or an object of a snapshot. Returns false when memory is
 * exhausted. */
static bool
apply_row (MuxCore *core, const json_t *row)
{
  const char *name = json_string_value (json_object_get (row, "name"));
  const char *sort_text = json_string_value (json_object_get (row, "sort"));
  uint64_t revision = json_number (row, "revision");
  json_t *value = json_object_get (row, "value");
  ConfigObject *object;
  MuxConfigSort sort;

  if (name == NULL || !mux_name_valid (name)
      || !config_sort_parse (sort_text, &sort))
    {
      log_invalid (core, "?", revision);
      return true;
    }
  object = object_get_or_add (core->config, sort, name);
  if (object == NULL)
    return false;
  object->generation = core->config->generation;
  if (object->revision < revision)
    object_set (core, object, revision, json_is_object (value) ? value : NULL);
  return true;
}

bool
config_apply_row (MuxCore *core, const json_t *row)
{
  Config *config = core->config;
  uint64_t revision = json_number (row, "revision");

  if (revision <= config->revision)
    return true;
  if (revision != config->revision + 1 || !apply_row (core, row))
    return false;
  config->revision = revision;
  forget_removed (config);
  return true;
}

/* Removes objects that the state just applied does not hold. They were removed
 * so long ago that its sender no longer remembers them. */
static void
remove_missing (MuxCore *core)
{
  Config *config = core->config;
  ConfigObject *object, *next;

  HASH_ITER (hh, config->objects, object, next)
  {
    if (object->generation == config->generation)
      continue;
    if (object->value != NULL)
      object_set (core, object, object->revision, NULL);
    object_free (config, object);
  }
}

bool
config_apply_state (MuxCore *core,
                    const json_t *objects,
                    bool complete,
                    uint64_t floor,
                    uint64_t revision)
{
  Config *config = core->config;
  json_t *row;
  size_t i;

  config->generation++;
  json_array_foreach ((json_t *) objects, i, row)
  {
    if (!apply_row (core, row))
      return false;
  }
  if (complete)
    remove_missing (core);
  if (floor > config->floor)
    config->floor = floor;
  config->revision = revision;
  forget_removed (config);
  return true;
}

json_t *
config_object_json (const ConfigObject *object)
{
  json_t *value
      = object->value != NULL ? json_incref (object->value) : json_null ();

  return json_pack ("{s:s, s:s, s:I, s:o}", "sort", sort_names[object->sort],
                    "name", object->name, "revision",
                    (json_int_t) object->revision, "value", value);
}
