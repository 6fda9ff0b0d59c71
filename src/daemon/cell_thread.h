#ifndef DAEMON_CELL_THREAD_H
#define DAEMON_CELL_THREAD_H

#include "cell/cell.h"
#include "event_log.h"
#include "platform/platform.h"
#include "port/ports.h"

/* The thread that runs the cell (the core of stepped jobs) and the event ring
 * through which requests, platform replies and peer messages reach it.  No
 * other thread calls the cell. */
typedef struct MuxCellThread MuxCellThread;

/**
 * struct MuxCellThreadOptions - construction of the cell thread
 * @cell: options of the cell; its sink is set by mux_cell_thread_new()
 * @log: structured log; borrowed
 * @queue: capacity of the event ring, a power of two
 */
typedef struct
{
  MuxCellOptions cell;
  MuxEventLog *log;
  uint32_t queue;
} MuxCellThreadOptions;

MuxCellThread *mux_cell_thread_new (const MuxCellThreadOptions *options,
                                    MuxError *err);
/** mux_cell_thread_start() - start the thread
 * @platform: borrowed; outlives the thread
 * @peer: borrowed; outlives the thread
 * Return: false with @err set when no thread can be created. */
bool mux_cell_thread_start (MuxCellThread *thread,
                            MuxCellPort *platform,
                            MuxPeerPort *peer,
                            MuxError *err);
/** mux_cell_thread_stop_work() - release the claim and stop scheduling
 * Callers' requests are still served. */
void mux_cell_thread_stop_work (MuxCellThread *thread);
/** mux_cell_thread_join() - end the thread and wait for it */
void mux_cell_thread_join (MuxCellThread *thread);
/** mux_cell_thread_free() - free the thread and the events left in its ring
 * Called after mux_cell_thread_join(), once no other thread pushes events. */
void mux_cell_thread_free (MuxCellThread *thread);
MuxPlatformInbox *mux_cell_thread_platform_inbox (MuxCellThread *thread);
MuxInbox *mux_cell_thread_peer_inbox (MuxCellThread *thread);
MuxCellBackend *mux_cell_thread_backend (MuxCellThread *thread);

#endif
