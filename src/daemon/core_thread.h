#ifndef DAEMON_CORE_THREAD_H
#define DAEMON_CORE_THREAD_H

#include "core/core.h"
#include "http_server.h"
#include "inbox.h"

/*
 * The thread that owns the core: takes what the inbox holds, steps the core,
 * and carries its actions to the adapters and to the door.
 */
typedef struct MuxCoreThread MuxCoreThread;

/**
 * struct MuxCoreThreadOptions - construction; all pointers are borrowed
 * @inbox: where events come from
 * @worker: towards workers
 * @worker_calls_max: most calls to workers outstanding
 * @platform: towards the platform; NULL: none
 * @table_calls_max: most calls to the platform outstanding
 * @peer: towards other daemons
 * @core: options of the core, but for the sink
 */
typedef struct
{
  MuxDaemonInbox *inbox;
  MuxWorkerPort *worker;
  uint32_t worker_calls_max;
  MuxPlatformPort *platform;
  uint32_t table_calls_max;
  MuxPeerPort *peer;
  MuxCoreOptions core;
} MuxCoreThreadOptions;

/** mux_core_thread_new() - not running yet
 * Return: NULL with @err set when memory is out or an option is bad. */
MuxCoreThread *mux_core_thread_new (const MuxCoreThreadOptions *options,
                                    MuxError *err);
/** mux_core_thread_start() - run it; answers go to @door */
bool mux_core_thread_start (MuxCoreThread *thread,
                            MuxHttpServer *door,
                            MuxError *err);
/** mux_core_thread_backend() - what the door is given */
MuxHttpBackend *mux_core_thread_backend (MuxCoreThread *thread);
/** mux_core_thread_stop_work() - begin the graceful stop */
void mux_core_thread_stop_work (MuxCoreThread *thread);
/** mux_core_thread_wait_stopped() - until the graceful stop has finished
 * Return: false when @timeout_ms passed first. */
bool mux_core_thread_wait_stopped (MuxCoreThread *thread, uint32_t timeout_ms);
/** mux_core_thread_join() - end the thread; no action is emitted any more */
void mux_core_thread_join (MuxCoreThread *thread);
/** mux_core_thread_free() - joins it first when it runs */
void mux_core_thread_free (MuxCoreThread *thread);

#endif
