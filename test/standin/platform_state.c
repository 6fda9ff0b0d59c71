#include "standin/platform_state.h"

#include "base/clock.h"
#include "standin/platform_list.h"
#include "standin/platform_rows.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct StandinPlatform
{
  StandinPlatformOptions options;
  pthread_mutex_t lock;
  StandinRows *table;
  StandinRows *objects;
  StandinList *list;
  StandinPlatformStats stats;
};

static uint64_t
monotonic_ms (void *clock)
{
  (void) clock;
  return (uint64_t) mux_monotonic_ms ();
}

StandinPlatform *
standin_platform_new (const StandinPlatformOptions *options)
{
  StandinPlatform *platform = calloc (1, sizeof *platform);

  if (platform == NULL)
    return NULL;
  platform->options = *options;
  if (platform->options.now_ms == NULL)
    platform->options.now_ms = monotonic_ms;
  pthread_mutex_init (&platform->lock, NULL);
  platform->table = standin_platform_rows_new ();
  platform->objects = standin_platform_rows_new ();
  platform->list = standin_platform_list_new (options->list_lag_ms);
  if (platform->table == NULL || platform->objects == NULL
      || platform->list == NULL)
    {
      standin_platform_free (platform);
      return NULL;
    }
  return platform;
}

void
standin_platform_free (StandinPlatform *platform)
{
  if (platform == NULL)
    return;
  standin_platform_rows_free (platform->table);
  standin_platform_rows_free (platform->objects);
  standin_platform_list_free (platform->list);
  pthread_mutex_destroy (&platform->lock);
  free (platform);
}

static bool
txn_valid (const MuxRow *rows, uint32_t count)
{
  if (count == 0 || count > MUX_ROWS_MAX)
    return false;
  for (uint32_t i = 0; i < count; i++)
    {
      if (rows[i].key[0] == 0)
        return false;
      for (uint32_t j = 0; j < i; j++)
        if (strcmp (rows[i].key, rows[j].key) == 0)
          return false;
    }
  return true;
}

static void
add_found (StandinRowSet *set, const char *key, const MuxRow *row)
{
  MuxRow *found = &set->row[set->count++];

  memset (found, 0, sizeof *found);
  memcpy (found->key, key, strlen (key) + 1);
  if (row == NULL)
    return;
  found->rev = row->rev;
  found->value = mux_blob_ref (row->value);
}

static void
check_conditions (const StandinRows *table,
                  const MuxRow *rows,
                  uint32_t count,
                  StandinRowSet *failed)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const MuxRow *row = standin_platform_rows_find (table, rows[i].key);
      uint64_t rev = row != NULL ? row->rev : MUX_REV_ABSENT;

      if (rows[i].rev != MUX_REV_ANY && rows[i].rev != rev)
        add_found (failed, rows[i].key, row);
    }
}

/* Allocates every new row first, so that a transaction that runs out of memory
 * has no effect. */
static bool
reserve_rows (StandinRows *table, const MuxRow *rows, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      if (rows[i].value == NULL
          || standin_platform_rows_find (table, rows[i].key) != NULL)
        continue;
      if (standin_platform_rows_put (table, rows[i].key, MUX_REV_ABSENT, NULL))
        continue;
      for (uint32_t j = 0; j < i; j++)
        {
          const MuxRow *row = standin_platform_rows_find (table, rows[j].key);

          if (row != NULL && row->rev == MUX_REV_ABSENT)
            standin_platform_rows_remove (table, rows[j].key);
        }
      return false;
    }
  return true;
}

/* Return: number of rows written. */
static uint32_t
write_rows (StandinRows *table,
            const MuxRow *rows,
            uint32_t count,
            uint64_t rev)
{
  uint32_t written = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      if (rows[i].check_only)
        continue;
      if (rows[i].value != NULL)
        standin_platform_rows_put (table, rows[i].key, rev, rows[i].value);
      else
        standin_platform_rows_remove (table, rows[i].key);
      written++;
    }
  return written;
}

MuxTableStatus
standin_platform_txn (StandinPlatform *platform,
                      const MuxRow *rows,
                      uint32_t count,
                      uint64_t *rev,
                      StandinRowSet *failed)
{
  MuxTableStatus status = MUX_TABLE_OK;
  uint32_t written;

  failed->count = 0;
  failed->more = false;
  if (!txn_valid (rows, count))
    return MUX_TABLE_BAD_REQUEST;
  pthread_mutex_lock (&platform->lock);
  platform->stats.txns++;
  check_conditions (platform->table, rows, count, failed);
  if (failed->count > 0)
    {
      platform->stats.conflicts++;
      status = MUX_TABLE_CONFLICT;
    }
  else if (!reserve_rows (platform->table, rows, count))
    status = MUX_TABLE_DOWN;
  else
    {
      written
          = write_rows (platform->table, rows, count, platform->stats.rev + 1);
      platform->stats.rows_written += written;
      if (written > 0)
        platform->stats.rev++;
    }
  *rev = platform->stats.rev;
  pthread_mutex_unlock (&platform->lock);
  return status;
}

void
standin_platform_get (StandinPlatform *platform, StandinRowSet *found)
{
  uint32_t count = found->count;

  found->count = 0;
  found->more = false;
  pthread_mutex_lock (&platform->lock);
  platform->stats.reads++;
  platform->stats.rows_read += count;
  for (uint32_t i = 0; i < count; i++)
    {
      char key[MUX_ROW_KEY_LEN];

      memcpy (key, found->row[i].key, sizeof key);
      add_found (found, key, standin_platform_rows_find (platform->table, key));
    }
  pthread_mutex_unlock (&platform->lock);
}

void
standin_platform_scan (StandinPlatform *platform,
                       const char *prefix,
                       const char *after,
                       uint32_t limit,
                       StandinRowSet *found)
{
  size_t len = strlen (prefix);
  const MuxRow *row;

  found->count = 0;
  found->more = false;
  pthread_mutex_lock (&platform->lock);
  platform->stats.scans++;
  row = standin_platform_rows_from (
      platform->table, strcmp (after, prefix) > 0 ? after : prefix);
  if (row != NULL && after[0] != 0 && strcmp (row->key, after) == 0)
    row = standin_platform_rows_next (row);
  for (; row != NULL && strncmp (row->key, prefix, len) == 0;
       row = standin_platform_rows_next (row))
    {
      if (found->count == limit)
        {
          found->more = true;
          break;
        }
      add_found (found, row->key, row);
    }
  platform->stats.rows_read += found->count;
  pthread_mutex_unlock (&platform->lock);
}

void
standin_platform_rows_release (StandinRowSet *set)
{
  for (uint32_t i = 0; i < set->count; i++)
    mux_blob_unref (set->row[i].value);
  set->count = 0;
}

uint64_t
standin_platform_object_put (StandinPlatform *platform,
                             const char *name,
                             MuxBlob *value)
{
  uint64_t rev = 0;

  pthread_mutex_lock (&platform->lock);
  if (value == NULL)
    standin_platform_rows_remove (platform->objects, name);
  if (value == NULL
      || standin_platform_rows_put (platform->objects, name,
                                    platform->stats.rev + 1, value))
    {
      rev = ++platform->stats.rev;
      platform->stats.object_puts++;
    }
  pthread_mutex_unlock (&platform->lock);
  return rev;
}

MuxBlob *
standin_platform_object_get (StandinPlatform *platform,
                             const char *name,
                             uint64_t *rev)
{
  MuxBlob *value = NULL;
  const MuxRow *row;

  pthread_mutex_lock (&platform->lock);
  platform->stats.object_gets++;
  row = standin_platform_rows_find (platform->objects, name);
  if (row != NULL)
    {
      value = mux_blob_ref (row->value);
      *rev = row->rev;
    }
  pthread_mutex_unlock (&platform->lock);
  return value;
}

bool
standin_platform_instance_set (StandinPlatform *platform,
                               const MuxInstance *instance)
{
  uint64_t now_ms = platform->options.now_ms (platform->options.clock);
  bool taken;

  pthread_mutex_lock (&platform->lock);
  taken = standin_platform_list_set (platform->list, instance, now_ms);
  pthread_mutex_unlock (&platform->lock);
  return taken;
}

MuxInstanceList *
standin_platform_instances (StandinPlatform *platform,
                            uint64_t after,
                            uint64_t *rev)
{
  uint64_t now_ms = platform->options.now_ms (platform->options.clock);
  MuxInstanceList *list;

  pthread_mutex_lock (&platform->lock);
  platform->stats.lists++;
  list = standin_platform_list_show (platform->list, now_ms, after, rev);
  pthread_mutex_unlock (&platform->lock);
  return list;
}

void
standin_platform_stats (StandinPlatform *platform, StandinPlatformStats *stats)
{
  pthread_mutex_lock (&platform->lock);
  *stats = platform->stats;
  stats->rows = standin_platform_rows_count (platform->table);
  pthread_mutex_unlock (&platform->lock);
}
