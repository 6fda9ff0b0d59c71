#ifndef ADAPTER_PLATFORM_H
#define ADAPTER_PLATFORM_H

#include "base/counters.h"
#include "base/error.h"
#include "port/ports.h"

/**
 * struct MuxPlatformHttpOptions - options of mux_platform_http_new(); strings
 *   are borrowed until the adapter is freed
 * @inbox: receives replies and instance lists; borrowed
 * @url: "http://ip:port" of the platform's services
 * @name: own instance name, sent with every request
 * @data_centre: own data centre, sent with every request
 * @threads: concurrent calls
 * @queue: calls that may wait for a thread, a power of two; further ones fail
 * @list_interval_ms: interval between reads of the instance list
 * @counters: borrowed; may be NULL
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

/** mux_platform_http_new() - adapter for docs/PLATFORM.md's platform protocol
 * Return: NULL with @err set when memory or threads can't be allocated. */
MuxPlatformPort *mux_platform_http_new (const MuxPlatformHttpOptions *options,
                                        MuxError *err);

#endif
