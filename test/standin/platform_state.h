#ifndef STANDIN_PLATFORM_STATE_H
#define STANDIN_PLATFORM_STATE_H

#include "port/instances.h"
#include "port/table.h"

/* State of the platform stand-in: table, object store and instance list in
 * memory, without HTTP.  All functions are thread-safe. */
typedef struct StandinPlatform StandinPlatform;

/**
 * struct StandinPlatformOptions - options of the state
 * @list_lag_ms: time until a change of the instance list is visible
 * @now_ms: clock for that lag; NULL: the monotonic clock
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
 * @txns: transactions received
 * @conflicts: transactions with a failed condition
 * @rows_written: rows put or deleted
 * @reads: GETs of rows
 * @rows_read: rows returned by GETs and scans
 * @scans: scan pages
 * @object_puts: objects put or deleted
 * @object_gets: objects read
 * @lists: reads of the instance list
 * @rows: current number of rows
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
 * struct StandinRowSet - rows found, with a reference to each value
 */
typedef struct
{
  uint32_t count;
  bool more; /* SCAN: more rows follow */
  MuxRow row[MUX_ROWS_MAX];
} StandinRowSet;

/** standin_platform_new() - NULL if out of memory */
StandinPlatform *standin_platform_new (const StandinPlatformOptions *options);
void standin_platform_free (StandinPlatform *platform);

/**
 * standin_platform_txn() - applies all of @rows or none
 * @rev: receives the revision of the rows written, or the newest if none was
 * @failed: receives the rows whose condition failed, as they are
 * Return: MUX_TABLE_OK, _CONFLICT, _BAD (rows or keys out of bounds, a
 * duplicate key) or _DOWN (out of memory; nothing was written).
 */
MuxTableStatus standin_platform_txn (StandinPlatform *platform,
                                     const MuxRow *rows,
                                     uint32_t count,
                                     uint64_t *rev,
                                     StandinRowSet *failed);
/** standin_platform_get() - reads the rows whose keys are in @found, in place
 */
void standin_platform_get (StandinPlatform *platform, StandinRowSet *found);
/** standin_platform_scan() - reads a page of at most @limit rows with @prefix,
 * from the first key above @after on */
void standin_platform_scan (StandinPlatform *platform,
                            const char *prefix,
                            const char *after,
                            uint32_t limit,
                            StandinRowSet *found);
void standin_platform_rows_release (StandinRowSet *set);

/** standin_platform_object_put() - writes an object; a NULL @value deletes it
 * Return: its revision, or 0 if out of memory. */
uint64_t standin_platform_object_put (StandinPlatform *platform,
                                      const char *name,
                                      MuxBlob *value);
/** standin_platform_object_get() - reads an object, to be unreferenced by the
 * caller; NULL: none */
MuxBlob *standin_platform_object_get (StandinPlatform *platform,
                                      const char *name,
                                      uint64_t *rev);

/** standin_platform_instance_set() - registers or changes an instance, visible
 * after the lag
 * Return: false if the instance is already gone or memory is exhausted. */
bool standin_platform_instance_set (StandinPlatform *platform,
                                    const MuxInstance *instance);
/** standin_platform_instances() - returns the list as visible now, to be freed
 * by the caller
 * @after, @rev: see standin_platform_list_show() */
MuxInstanceList *standin_platform_instances (StandinPlatform *platform,
                                             uint64_t after,
                                             uint64_t *rev);

void standin_platform_stats (StandinPlatform *platform,
                             StandinPlatformStats *stats);

#endif
