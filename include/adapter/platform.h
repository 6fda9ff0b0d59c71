#ifndef ADAPTER_PLATFORM_H
#define ADAPTER_PLATFORM_H

#include "base/counters.h"
#include "base/error.h"
#include "port/ports.h"

/**
 * struct MuxPlatformHttpOptions - construction of the platform adapter
 * @inbox: where replies and instance lists go
 * @url: "http://ip:port" of the platform's services
 * @name: own instance name, told to the platform
 * @data_centre: own data centre, told to the platform
 * @threads: calls in flight at once
 * @queue: calls that may wait, power of two
 * @list_every_ms: how often the instance list is read
 * @counters: may be NULL
 */
typedef struct
{
  MuxInbox *inbox;
  const char *url;
  const char *name;
  const char *data_centre;
  uint32_t threads;
  uint32_t queue;
  uint32_t list_interval_ms;
  MuxCounters *counters;
} MuxPlatformHttpOptions;

/** mux_platform_http_new() - speaks docs/PLATFORM.md's platform protocol
 * Return: NULL with @err set when threads or memory are out. */
MuxPlatformPort *mux_platform_http_new (const MuxPlatformHttpOptions *options,
                                        MuxError *err);

#endif
