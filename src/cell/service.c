#include "cell_private.h"

#include <stdlib.h>

/*
 * Services (pools of workers) named by the queues of all configurations so far,
 * and by stored jobs, whose queue may have been deleted.  A worker of any other
 * service can't run anything of ours.  None is ever removed: a configuration
 * names a handful, and most name the same.
 */

/**
 * struct CellService - a known service; owned by MuxCell.services
 * @hash: of its name; key of the table
 */
struct CellService
{
  uint64_t hash;
  UT_hash_handle hh;
};

bool
cell_service_is_known (const MuxCell *cell, uint64_t hash)
{
  const CellService *service;

  HASH_FIND (hh, cell->services, &hash, sizeof hash, service);
  return service != NULL;
}

void
cell_service_add (MuxCell *cell, const char *name)
{
  uint64_t hash = mux_hash_name (name, 0);
  CellService *service;

  if (name[0] == 0 || cell_service_is_known (cell, hash))
    return;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return;
  service->hash = hash;
  HASH_ADD (hh, cell->services, hash, sizeof service->hash, service);
}

void
cell_services_free (MuxCell *cell)
{
  CellService *service;
  CellService *next;

  HASH_ITER (hh, cell->services, service, next)
  {
    HASH_DEL (cell->services, service);
    free (service);
  }
}
