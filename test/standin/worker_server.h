#ifndef STANDIN_WORKER_SERVER_H
#define STANDIN_WORKER_SERVER_H

#include "base/error.h"
#include "standin/worker_logic.h"

/**
 * struct StandinWorkerServerOptions - options of a worker with HTTP
 * @worker: of its logic; ctx, on_event and on_end are set by the server
 * @listen: "ip:port"; port 0 lets the kernel pick
 * @log_fd: log of its events, opened with O_APPEND; -1: none
 * @now_ms: the worker's clock; NULL: CLOCK_BOOTTIME
 * @on_leaving: called when POST /ctl has changed "leaving"; may be NULL
 * @ctx: first argument of the functions above
 */
typedef struct
{
  StandinWorkerOptions worker;
  const char *listen;
  int log_fd;
  int64_t (*now_ms) (void *ctx);
  void (*on_leaving) (void *ctx, bool leaving);
  void *ctx;
} StandinWorkerServerOptions;

typedef struct StandinWorkerServer StandinWorkerServer;

/** standin_worker_server_new() - starts serving; NULL on failure, with @err set
 */
StandinWorkerServer *
standin_worker_server_new (const StandinWorkerServerOptions *options,
                           MuxError *err);
/** standin_worker_server_free() - ends pending waits and stops serving */
void standin_worker_server_free (StandinWorkerServer *server);
/** standin_worker_server_addr() - "ip:port" that it listens on */
const char *standin_worker_server_addr (const StandinWorkerServer *server);
/** standin_worker_server_clock_jumped() - to be called after the clock of
 * @now_ms has jumped */
void standin_worker_server_clock_jumped (StandinWorkerServer *server);
/** standin_worker_server_wait() - blocks until at least @waits calls wait for a
 * task's end or, if 0, until none does */
void standin_worker_server_wait (StandinWorkerServer *server, uint32_t waits);

#endif
