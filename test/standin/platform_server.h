#ifndef STANDIN_PLATFORM_SERVER_H
#define STANDIN_PLATFORM_SERVER_H

#include "base/error.h"
#include "standin/platform_faults.h"
#include "standin/platform_state.h"

/**
 * struct StandinPlatformServerOptions - options of the server
 * @platform: state, borrowed
 * @faults: borrowed
 * @listen: "ip:port"; port 0 lets the kernel pick
 * @read_ms: latency of each read
 * @write_ms: latency of each write
 */
typedef struct
{
  StandinPlatform *platform;
  StandinFaults *faults;
  const char *listen;
  uint32_t read_ms;
  uint32_t write_ms;
} StandinPlatformServerOptions;

typedef struct StandinPlatformServer StandinPlatformServer;

/** standin_platform_server_new() - starts serving; NULL on failure, with @err
 * set */
StandinPlatformServer *
standin_platform_server_new (const StandinPlatformServerOptions *options,
                             MuxError *err);
/** standin_platform_server_free() - ends the faults' waits and stops serving */
void standin_platform_server_free (StandinPlatformServer *server);
/** standin_platform_server_addr() - "ip:port" that it listens on */
const char *standin_platform_server_addr (const StandinPlatformServer *server);

#endif
