#ifndef CELL_CELL_H
#define CELL_CELL_H

#include "base/counters.h"
#include "base/error.h"
#include "port/cell.h"
#include "port/peer.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The scheduler of one daemon.  Every daemon accepts, queries and cancels jobs
 * for its callers; one of them, the planner, holds the cell's claim and runs
 * all jobs.  It does no I/O and reads no clock: events come with the time by
 * the functions below, and its output goes to a MuxCellSink.
 */
typedef struct MuxCell MuxCell;

/* Output of the scheduler; called from its thread, inside its functions. */
typedef struct MuxCellSink MuxCellSink;
struct MuxCellSink
{
  /* Takes @call over.  Return: true: one mux_cell_reply() follows; false: none
   * does. */
  bool (*call) (MuxCellSink *sink, MuxCellCall *call);
  /* Responds to a request; @reply stays the caller's. */
  void (*respond) (MuxCellSink *sink, const MuxResponse *reply);
  /* Sends @msg, which stays the caller's, to the daemon at @addr.  Return:
   * false: it was dropped. */
  bool (*peer_send) (MuxCellSink *sink,
                     const char *addr,
                     const MuxPeerMsg *msg);
  /* Takes @fields over; NULL: out of memory, and the line is dropped. */
  void (*log) (MuxCellSink *sink, const char *event, json_t *fields);
};

/**
 * struct MuxCellOptions - options of mux_cell_new(); strings are borrowed until
 *   mux_cell_free()
 * @sink: borrowed
 * @counters: borrowed
 * @name: of this instance, unique in the cell
 * @data_centre: of this instance
 * @peer_addr: "ip:port" where it listens for other daemons
 * @incarnation: unique to this process; higher than that of any earlier process
 *   of this instance
 * @seed: of delays that should differ between daemons, such as before claiming
 * @lease_ms: lease requested from workers; tasks of an unreachable worker are
 *   not started elsewhere for as long
 * @dead_ms: silence of the planner after which another daemon claims
 * @cpu_share_milli: this instance's share of a processor, in thousandths
 * @link_kbps: rate of its link, in kbit/s; 0: unknown
 * @memory_mib: its memory, in MiB; 0: unknown.  By these three limits the most
 *   able daemon becomes the planner, see cell/ability.h
 * @ended_retention_s: how long, at least, the state of an ended job is kept
 * @revoke_timeout_ms: a key is rejected so long after its removal from the
 *   configuration, even if this daemon can't read that; 0: only once it does
 * @quota_overrun_milli: by how many thousandths a workspace may exceed its
 *   quota
 * @unreadable_max: jobs with an unreadable row that are remembered; 0: default
 */
typedef struct
{
  MuxCellSink *sink;
  MuxCounters *counters;
  const char *name;
  const char *data_centre;
  const char *peer_addr;
  uint64_t incarnation;
  uint64_t seed;
  uint32_t lease_ms;
  uint32_t dead_ms;
  uint32_t cpu_share_milli;
  uint32_t link_kbps;
  uint32_t memory_mib;
  uint32_t ended_retention_s;
  uint32_t revoke_timeout_ms;
  uint32_t quota_overrun_milli;
  uint32_t unreadable_max;
} MuxCellOptions;

/**
 * struct MuxCellTime - time of an event
 * @now_ms: monotonic clock that includes time suspended, in ms
 * @wall_ms: time of day, in ms since 1970
 * @processed_ms: on the monotonic clock: all events that arrived by then have
 *   been processed; it falls behind @now_ms as events wait
 */
typedef struct
{
  int64_t now_ms;
  int64_t wall_ms;
  int64_t processed_ms;
} MuxCellTime;

/** mux_cell_new() - creates the scheduler; @options is copied
 * Return: NULL with @err set when out of memory. */
MuxCell *mux_cell_new (const MuxCellOptions *options, MuxError *err);
void mux_cell_free (MuxCell *cell);
/** mux_cell_request() - takes @request of a caller over; one response follows
 */
void mux_cell_request (MuxCell *cell, MuxCellTime time, MuxRequest *request);
/** mux_cell_reply() - takes @reply to a call over */
void mux_cell_reply (MuxCell *cell, MuxCellTime time, MuxCellReply *reply);
/** mux_cell_peer() - handles a message of another daemon; @msg stays the
 * caller's */
void mux_cell_peer (MuxCell *cell, MuxCellTime time, const MuxPeerMsg *msg);
/** mux_cell_set_port_late() - by how many ms calls of this daemon end late that
 * are past their timeout; they count as lost by so much later */
void mux_cell_set_port_late (MuxCell *cell, int64_t late_ms);
/** mux_cell_tick() - does what is due
 * Return: latest time of the next call, on the monotonic clock in ms. */
int64_t mux_cell_tick (MuxCell *cell, MuxCellTime time);
/** mux_cell_ready() - this daemon can serve callers */
bool mux_cell_ready (const MuxCell *cell);
/** mux_cell_stop() - begins to shut down: no new jobs, and the claim is
 * released
 */
void mux_cell_stop (MuxCell *cell, MuxCellTime time);
/** mux_cell_stopped() - after mux_cell_stop(): nothing is left to do */
bool mux_cell_stopped (const MuxCell *cell);

#endif
