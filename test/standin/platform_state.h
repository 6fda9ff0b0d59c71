#ifndef STANDIN_PLATFORM_STATE_H
#define STANDIN_PLATFORM_STATE_H

#include "port/instances.h"
#include "port/table.h"

/* State of the platform stand-in: table, object store and instance list, all
 * in memory, without HTTP.  Every function may be called from any thread. */
typedef struct StandinPlatform StandinPlatform;

/**
 * struct StandinPlatformOptions - construction of the state
 * @list_lag_ms: a change of the instance list shows after this
 * @now_ms: clock that the lag is counted on; NULL: the monotonic clock
 * @clock: passed to @now_ms
 */
typedef struct
{
  uint32_t list_lag_ms;
  uint64_t (*now_ms) (void *clock);
  void *clock;
} StandinPlatformOptions;

/**
 * struct StandinPlatformStats - counts since the start
 * @txns: transactions that came in, committed or not
 * @conflicts: of them, those whose condition failed
 * @rows_written: rows put or deleted
 * @reads: GETs of rows
 * @rows_read: rows given by GETs and scans
 * @scans: scan pages
 * @object_puts: objects put or deleted
 * @object_gets: objects read
 * @lists: readings of the instance list
 * @rows: rows that stand now
 * @rev: the newest revision
 */
typedef struct
{
  uint64_t txns;
  uint64_t conflicts;
  uint64_t rows_written;
  uint64_t reads;
  uint64_t rows_read;
  uint64_t scans;
  uint64_t object_puts;
  uint64_t object_gets;
  uint64_t lists;
  uint64_t rows;
  uint64_t rev;
} StandinPlatformStats;

/**
 * struct StandinRowSet - rows as found; holds a reference of each value
 */
typedef struct
{
  uint32_t count;
  bool more; /* SCAN: more rows follow */
  MuxRow row[MUX_ROWS_MAX];
} StandinRowSet;

/** standin_platform_new() - NULL when memory is out */
StandinPlatform *standin_platform_new (const StandinPlatformOptions *options);
void standin_platform_free (StandinPlatform *platform);

/**
 * standin_platform_txn() - all of @rows, or nothing
 * @rev: revision of the rows written, or the newest if none was
 * @failed: rows whose condition failed, as found
 * Return: MUX_TABLE_OK, _CONFLICT, _BAD (rows or keys out of bounds, a key
 *   twice) or _DOWN (memory is out; nothing was written).
 */
MuxTableStatus standin_platform_txn (StandinPlatform *platform,
                                     const MuxRow *rows,
                                     uint32_t count,
                                     uint64_t *rev,
                                     StandinRowSet *failed);
/** standin_platform_get() - the rows that @found names, in its order */
void standin_platform_get (StandinPlatform *platform, StandinRowSet *found);
/** standin_platform_scan() - a page of at most @limit rows */
void standin_platform_scan (StandinPlatform *platform,
                            const char *prefix,
                            const char *after,
                            uint32_t limit,
                            StandinRowSet *found);
void standin_platform_rows_release (StandinRowSet *set);

/** standin_platform_object_put() - NULL @value deletes
 * Return: its revision, or 0 when memory is out. */
uint64_t standin_platform_object_put (StandinPlatform *platform,
                                      const char *name,
                                      MuxBlob *value);
/** standin_platform_object_get() - NULL when there is none; else unref it */
MuxBlob *standin_platform_object_get (StandinPlatform *platform,
                                      const char *name,
                                      uint64_t *rev);

/** standin_platform_instance_set() - register or change, shown after the lag
 * Return: false when the instance is gone for good or memory is out. */
bool standin_platform_instance_set (StandinPlatform *platform,
                                    const MuxInstance *instance);
/** standin_platform_instances() - the list as it shows now, to be freed
 * @after, @rev: see standin_platform_list_show() */
MuxInstanceList *standin_platform_instances (StandinPlatform *platform,
                                             uint64_t after,
                                             uint64_t *rev);

void standin_platform_stats (StandinPlatform *platform,
                             StandinPlatformStats *stats);

#endif
