#ifndef CELL_SHARE_H
#define CELL_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Weighted fair shares of workspaces in a pool of workers whose capacity is all
 * taken.  The processors in use are divided in proportion to the weights, at
 * most what each workspace demands; what one does not demand goes to the others
 * in the same proportion.  The load addressed: a workspace that sends a
 * multiple of its usual load, beside others that stay within their shares.
 *
 * A pool with room, or with work of one workspace only, has no limits: nothing
 * is ordered or refused by shares there.  Does no I/O and reads no clock.
 *
 * Processors are in thousandths, work is in core-milliseconds.
 */

/* Pairs of a pool and a workspace that are tracked.  With more there are no
 * limits at all, as those not tracked would have an advantage. */
#define MUX_SHARES_MAX 128
/* Pools that are tracked; others have no limits. */
#define MUX_SHARE_POOLS_MAX 16
/* Priorities told apart; the last one holds all lower ones. */
#define MUX_SHARE_LEVELS 4
/* Classes of work by how far it exceeds the limit; 0: it is within. */
#define MUX_SHARE_CLASSES 4
/* Longest wait that is reported. */
#define MUX_SHARE_WAIT_MAX_MS 60000
/* Weight of a workspace whose configuration sets none. */
#define MUX_SHARE_NO_WEIGHT 0

/**
 * struct MuxShare - demand and limit of one workspace in one pool
 * @service: hash of the pool's name
 * @workspace: hash of the workspace's name; 0: jobs of no workspace
 * @weight: relative to others; MUX_SHARE_NO_WEIGHT: the mean of those set
 * @quota_milli: most processors that it may use; 0: unlimited
 * @running: processors of its runs, by level
 * @remaining: expected rest of these runs, in core-milliseconds, by level
 * @waiting: processors that its waiting tasks need, by level, of those that can
 *   still end in time
 * @work: of these tasks, by level
 * @limit_milli: its fair share; 0: no limit
 * @wait_ms: expected wait of a new job that exceeds the limit, by level; -1: it
 *   does not exceed it
 */
typedef struct
{
  uint64_t service;
  uint64_t workspace;
  uint32_t weight;
  uint64_t quota_milli;
  int64_t running[MUX_SHARE_LEVELS];
  int64_t remaining[MUX_SHARE_LEVELS];
  int64_t waiting[MUX_SHARE_LEVELS];
  int64_t work[MUX_SHARE_LEVELS];
  int64_t limit_milli;
  int64_t wait_ms[MUX_SHARE_LEVELS];
} MuxShare;

/**
 * struct MuxSharePool - a pool of workers
 * @service: hash of its name
 * @pool_milli: its processors
 * @free_milli: those on which nothing runs
 * @rate: core-milliseconds placed per second
 * @is_contended: its capacity is all taken and shares limit what workspaces get
 * @within_work: waiting work within the limits, by level
 * @wait_ms: expected wait of a new job within its limit, by level
 */
typedef struct
{
  uint64_t service;
  int64_t pool_milli;
  int64_t free_milli;
  int64_t rate;
  bool is_contended;
  int64_t within_work[MUX_SHARE_LEVELS];
  int64_t wait_ms[MUX_SHARE_LEVELS];
} MuxSharePool;

/**
 * struct MuxShares - state of all pools
 * @count: used entries of @share
 * @pool_count: used entries of @pool
 * @outlier_factor: limits apply only while a workspace demands so many times
 * the median by weight; 0: always
 * @overflow: more than MUX_SHARES_MAX pairs had demand: there are no limits
 */
typedef struct
{
  uint32_t count;
  uint32_t pool_count;
  uint32_t outlier_factor;
  bool overflow;
  MuxShare share[MUX_SHARES_MAX];
  MuxSharePool pool[MUX_SHARE_POOLS_MAX];
} MuxShares;

/** mux_share_level() - the level of a queue's priority */
uint32_t mux_share_level (uint32_t priority);
/** mux_shares_begin() - begin a count; forgets all pairs and keeps which pools
 * are contended */
void mux_shares_begin (MuxShares *shares);
/** mux_shares_get() - the entry of a workspace in a pool, created if new
 * Return: NULL if too many are tracked. */
MuxShare *
mux_shares_get (MuxShares *shares, uint64_t service, uint64_t workspace);
/** mux_shares_find() - the same, if it exists; else NULL */
const MuxShare *
mux_shares_find (const MuxShares *shares, uint64_t service, uint64_t workspace);
/** mux_shares_pool() - the entry of a pool, created if new
 * Return: NULL if MUX_SHARE_POOLS_MAX are tracked. */
MuxSharePool *mux_shares_pool (MuxShares *shares, uint64_t service);
/** mux_shares_find_pool() - the same, if it exists; else NULL */
const MuxSharePool *mux_shares_find_pool (const MuxShares *shares,
                                          uint64_t service);
/** mux_shares_set_limits() - called when running and waiting tasks were counted
 * and the pools' processors are set: updates which pools are contended, and the
 * limits */
void mux_shares_set_limits (MuxShares *shares);
/** mux_share_used() - processors that the workspace uses and waits for at
 * @level and more urgent ones; @share NULL: none */
int64_t mux_share_used (const MuxShare *share, uint32_t level);
/** mux_share_running() - those that it uses */
int64_t mux_share_running (const MuxShare *share, uint32_t level);
/** mux_share_class() - class of work for which the workspace has @ahead_milli
 * processors in use or in demand before it; @share NULL: 0 */
uint32_t mux_share_class (const MuxShare *share, int64_t ahead_milli);
/** mux_shares_set_waits() - called when the work within the limits was counted:
 * updates all expected waits */
void mux_shares_set_waits (MuxShares *shares);
/** mux_shares_accepted() - count a new job that was accepted since the count */
void mux_shares_accepted (MuxShares *shares,
                          uint64_t service,
                          uint64_t workspace,
                          uint32_t level,
                          int64_t milli,
                          int64_t work);
/** mux_shares_wait_ms() - expected wait of a new job; -1: the pool is not
 * contended and shares say nothing */
int64_t mux_shares_wait_ms (const MuxShares *shares,
                            uint64_t service,
                            uint64_t workspace,
                            uint32_t level);
/** mux_shares_retry_ms() - when a caller may succeed whose job would wait for
 * @wait_ms now
 * @acceptable_ms: longest wait with which it is accepted
 * @seed: any number that differs between callers
 * Return: 0: it is accepted now. */
uint32_t
mux_shares_retry_ms (int64_t wait_ms, int64_t acceptable_ms, uint64_t seed);

#endif
