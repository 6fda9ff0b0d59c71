#ifndef DAEMON_CELL_THREAD_H
#define DAEMON_CELL_THREAD_H

#include "cell/cell.h"
#include "event_log.h"
#include "platform/platform.h"
#include "port/ports.h"

/* The thread that alone runs the core of stepped jobs, and the ring through
 * which callers, replies and peers reach it. */
typedef struct MuxCellThread MuxCellThread;

/**
 * struct MuxCellThreadOptions - construction
 * @cell: of the core; its sink is set here
 * @log: borrowed
 * @queue: events that may wait, power of two
 */
typedef struct
{
  MuxCellOptions cell;
  MuxEventLog *log;
  uint32_t queue;
} MuxCellThreadOptions;

MuxCellThread *mux_cell_thread_new (const MuxCellThreadOptions *options,
                                    MuxError *err);
/** mux_cell_thread_start() - both ports are borrowed and outlive the thread */
bool mux_cell_thread_start (MuxCellThread *thread,
                            MuxCellPort *platform,
                            MuxPeerPort *peer,
                            MuxError *err);
/** mux_cell_thread_leave() - give the claim up, go on to serve callers */
void mux_cell_thread_stop_work (MuxCellThread *thread);
/** mux_cell_thread_join() - end the thread */
void mux_cell_thread_join (MuxCellThread *thread);
/** mux_cell_thread_free() - nobody pushes any more */
void mux_cell_thread_free (MuxCellThread *thread);
MuxPlatformInbox *mux_cell_thread_platform_inbox (MuxCellThread *thread);
MuxInbox *mux_cell_thread_peer_inbox (MuxCellThread *thread);
MuxCellBackend *mux_cell_thread_backend (MuxCellThread *thread);

#endif
