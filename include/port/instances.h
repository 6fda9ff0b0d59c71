#ifndef PORT_INSTANCES_H
#define PORT_INSTANCES_H

#include "base/id.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * enum MuxInstanceState - an instance on the platform's lagging list
 */
typedef enum
{
  MUX_INSTANCE_LIVE,
  MUX_INSTANCE_LEAVING,
  MUX_INSTANCE_GONE, /* it has ended and will not come back as this life */
} MuxInstanceState;

/**
 * enum MuxInstanceRole - what an instance is for
 */
typedef enum
{
  MUX_ROLE_ENTRY,  /* runs a daemon of ours */
  MUX_ROLE_WORKER, /* runs tasks */
} MuxInstanceRole;

/**
 * struct MuxInstance - one line of the list
 * @name: instance
 * @data_centre: where
 * @rack: where inside
 * @addr: "ip:port" of its endpoint, or of a daemon's peer socket
 * @state: as listed, late
 * @role: what it is for
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  char data_centre[MUX_NAME_LEN];
  char rack[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  MuxInstanceState state;
  MuxInstanceRole role;
} MuxInstance;

/**
 * struct MuxInstanceList - the list as last read
 * @changes_only: what it does not name stands as it was
 * @count: used entries
 * @item: the instances
 */
typedef struct
{
  bool changes_only;
  uint32_t count;
  MuxInstance item[];
} MuxInstanceList;

#endif
