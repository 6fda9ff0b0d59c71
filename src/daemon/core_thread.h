#ifndef DAEMON_CORE_THREAD_H
#define DAEMON_CORE_THREAD_H

#include "core/core.h"
#include "http_server.h"
#include "inbox.h"

/*
 * The thread that owns the core.  It takes events from the inbox, steps the
 * core with each, and passes the core's actions on to the adapters and to the
 * HTTP server.
 */
typedef struct MuxCoreThread MuxCoreThread;

/**
 * struct MuxCoreThreadOptions - construction; all pointers are borrowed
 * @inbox: source of events
 * @worker: adapter for calls to workers
 * @worker_calls_max: bound on outstanding calls to workers
 * @platform: adapter for calls to the platform; NULL: there is none
 * @table_calls_max: bound on outstanding calls to the platform
 * @peer: adapter for messages to other daemons
 * @core: options of the core; its sink is set by mux_core_thread_new()
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

/** mux_core_thread_new() - create the core; its thread does not run yet
 * Return: NULL with @err set when out of memory or when an option is invalid.
 */
MuxCoreThread *mux_core_thread_new (const MuxCoreThreadOptions *options,
                                    MuxError *err);
/** mux_core_thread_start() - start the thread
 * @server: receives the core's responses; borrowed
 * Return: false with @err set when no thread can be created. */
bool mux_core_thread_start (MuxCoreThread *thread,
                            MuxHttpServer *server,
                            MuxError *err);
/** mux_core_thread_backend() - the interface for the HTTP server */
MuxHttpBackend *mux_core_thread_backend (MuxCoreThread *thread);
/** mux_core_thread_stop_work() - begin a graceful stop of the core */
void mux_core_thread_stop_work (MuxCoreThread *thread);
/** mux_core_thread_wait_stopped() - wait until the graceful stop has finished
 * Return: false when @timeout_ms passed first. */
bool mux_core_thread_wait_stopped (MuxCoreThread *thread, uint32_t timeout_ms);
/** mux_core_thread_join() - end the thread and wait for it
 * The core emits no action afterwards. */
void mux_core_thread_join (MuxCoreThread *thread);
/** mux_core_thread_free() - join the thread if it runs, and free it */
void mux_core_thread_free (MuxCoreThread *thread);

#endif
