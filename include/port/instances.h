#ifndef PORT_INSTANCES_H
#define PORT_INSTANCES_H

#include "base/id.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * enum MuxInstanceState - state of an instance on the platform's list, which
 * is behind what really is
 */
typedef enum
{
  MUX_INSTANCE_LIVE,
  MUX_INSTANCE_LEAVING,
  MUX_INSTANCE_GONE, /* this incarnation has ended */
} MuxInstanceState;

/**
 * enum MuxInstanceRole - purpose of an instance
 */
typedef enum
{
  MUX_ROLE_ENTRY,  /* runs a daemon of this scheduler */
  MUX_ROLE_WORKER, /* runs tasks */
} MuxInstanceRole;

/**
 * struct MuxInstance - one entry of the list
 * @name: of the instance
 * @data_centre: that it is in
 * @rack: inside the data centre
 * @addr: "ip:port" of its endpoint, or of a daemon's peer socket
 * @state: as listed
 * @role: its purpose
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
 * @changes_only: instances that are not listed are unchanged, not gone
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
