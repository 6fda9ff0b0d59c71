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
 * The core of stepped jobs: every daemon lets callers hand in, watch and
 * cancel jobs; one of them, the planner, holds the cell's claim and carries
 * all jobs.  It does no I/O and reads no clock: what happens is told to it
 * with the time, and what it wants goes to its sink.
 */
typedef struct MuxCell MuxCell;

/* What the core wants done; called from its own thread alone. */
typedef struct MuxCellSink MuxCellSink;
struct MuxCellSink
{
  /* Takes @call over.  True: mux_cell_reply() follows; false: it never will. */
  bool (*call) (MuxCellSink *sink, MuxCellCall *call);
  void (*respond) (MuxCellSink *sink, const MuxResponse *reply);
  bool (*peer_send) (MuxCellSink *sink,
                     const char *addr,
                     const MuxPeerMsg *msg);
  /* Takes @fields over; NULL: memory was out, the line is lost. */
  void (*log) (MuxCellSink *sink, const char *event, json_t *fields);
};

/**
 * struct MuxCellOptions - construction
 * @sink: borrowed
 * @counters: borrowed
 * @name: this instance
 * @data_centre: where it stands
 * @peer_addr: where other daemons reach it
 * @incarnation: differs from that of every other process of the cell
 * @seed: of what has to differ between daemons, such as who claims first
 * @lease_ms: lease asked of workers; also how long the tasks of a worker that
 *   can't be reached stay out of work
 * @strength_milli: share of a processor, in thousandths: the strongest plans
 * @dead_ms: silence of the planner after which another daemon claims
 * @ended_keep_s: how long the state of an ended job can be asked for, at least
 * @revoke_timeout_ms: no key is taken any more so long after its removal from
 *   the configuration, whatever this daemon hears of it; 0: as soon as it does
 * @quota_overrun_milli: thousandths of a quota that may be held beyond it
 * @unread_max: jobs whose row can't be read that are remembered; 0: as many as
 *   usual
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
  uint32_t strength_milli;
  uint32_t ended_retention_s;
  uint32_t revoke_timeout_ms;
  uint32_t quota_overrun_milli;
  uint32_t unreadable_max;
} MuxCellOptions;

/**
 * struct MuxCellTime - the two clocks at one moment
 * @now_ms: steady, goes on while the instance is suspended
 * @wall_ms: time of day
 * @heard_ms: on the steady clock: all that arrived by then has been taken; the
 *   longer events wait for this core, the further it is behind @now_ms
 */
typedef struct
{
  int64_t now_ms;
  int64_t wall_ms;
  int64_t processed_ms;
} MuxCellTime;

/** mux_cell_new() - NULL with @err set when memory is out */
MuxCell *mux_cell_new (const MuxCellOptions *options, MuxError *err);
void mux_cell_free (MuxCell *cell);
/** mux_cell_question() - takes @question over; one answer follows */
void mux_cell_request (MuxCell *cell, MuxCellTime time, MuxRequest *question);
/** mux_cell_reply() - takes @reply over */
void mux_cell_reply (MuxCell *cell, MuxCellTime time, MuxCellReply *reply);
/** mux_cell_peer() - @msg stays the caller's */
void mux_cell_peer (MuxCell *cell, MuxCellTime time, const MuxPeerMsg *msg);
/** mux_cell_tick() - do what is due
 * Return: when it wants to be called again at the latest. */
int64_t mux_cell_tick (MuxCell *cell, MuxCellTime time);
/** mux_cell_ready() - callers may be sent here */
bool mux_cell_ready (const MuxCell *cell);
/** mux_cell_stop() - take no new jobs, give the claim to another daemon */
void mux_cell_stop (MuxCell *cell, MuxCellTime time);
/** mux_cell_stopped() - nothing of this daemon's is left to do */
bool mux_cell_stopped (const MuxCell *cell);

#endif
