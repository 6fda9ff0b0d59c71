#ifndef STANDIN_WORKER_REGISTER_H
#define STANDIN_WORKER_REGISTER_H

#include <stdbool.h>

/**
 * struct StandinRegistration - a worker's entry in the platform's list
 * @platform: "http://ip:port" of the platform stand-in
 * @name: of the worker
 * @data_centre: of the worker
 * @rack: of the worker
 * @addr: "ip:port" of the worker
 */
typedef struct
{
  const char *platform;
  const char *name;
  const char *data_centre;
  const char *rack;
  const char *addr;
} StandinRegistration;

/** standin_worker_register() - sends POST /ctl/instance, with a few retries
 * @state: "live" or "leaving"
 * Return: false if all failed. */
bool standin_worker_register (const StandinRegistration *registration,
                              const char *state);

#endif
