#ifndef STANDIN_WORKER_SERVER_H
#define STANDIN_WORKER_SERVER_H

#include "base/error.h"
#include "standin/worker_logic.h"

/**
 * struct StandinWorkerServerOptions - construction of a worker with its HTTP
 * @worker: its logic; ctx, on_event and on_end are set by the server
 * @listen: "ip:port"; port 0 lets the kernel pick
 * @log_fd: execution log, opened with O_APPEND; -1: none
 * @now_ms: the worker's clock; NULL: CLOCK_BOOTTIME
 * @on_leaving: told when POST /ctl changed it; may be NULL
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

/** standin_worker_server_new() - serves at once; NULL with @err set */
StandinWorkerServer *
standin_worker_server_new (const StandinWorkerServerOptions *options,
                           MuxError *err);
/** standin_worker_server_free() - ends waits, then closes */
void standin_worker_server_free (StandinWorkerServer *server);
/** standin_worker_server_addr() - "ip:port" it listens at */
const char *standin_worker_server_addr (const StandinWorkerServer *server);
/** standin_worker_server_poke() - the clock given by now_ms has jumped */
void standin_worker_server_poke (StandinWorkerServer *server);
/** standin_worker_server_wait() - until @waits calls wait for a task's end
 *  or, at 0, until none does */
void standin_worker_server_wait (StandinWorkerServer *server, uint32_t waits);

#endif
