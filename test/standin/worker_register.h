#ifndef STANDIN_WORKER_REGISTER_H
#define STANDIN_WORKER_REGISTER_H

#include <stdbool.h>

/**
 * struct StandinRegistration - a worker's entry in the platform's list
 * @platform: "http://ip:port" of the platform stand-in
 * @name: the worker
 * @data_centre: where it is
 * @rack: where it is
 * @addr: its "ip:port"
 */
typedef struct
{
  const char *platform;
  const char *name;
  const char *data_centre;
  const char *rack;
  const char *addr;
} StandinRegistration;

/** standin_worker_register() - POST /ctl/instance, tried a few times
 * @state: "live" or "leaving" */
bool standin_worker_register (const StandinRegistration *registration,
                              const char *state);

#endif
