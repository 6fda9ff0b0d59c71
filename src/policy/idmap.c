#include "idmap.h"

#include <stdlib.h>

#define IDMAP_MIN 64u

static uint32_t
home_of (const MuxIdMap *map, MuxId id)
{
  /* Ids may be counters as well as hashes, so their bits are mixed. */
  uint64_t h = (id.lo ^ (id.hi >> 32 | id.hi << 32)) * 0x9e3779b97f4a7c15u;

  return (uint32_t) (h >> 32) & map->mask;
}

static bool
alloc_slots (MuxIdMap *map, uint32_t size)
{
  MuxIdSlot *slot = malloc (size * sizeof *slot);

  if (slot == NULL)
    return false;
  for (uint32_t i = 0; i < size; i++)
    slot[i].value = MUX_NONE;
  map->slot = slot;
  map->mask = size - 1;
  map->count = 0;
  return true;
}

bool
mux_idmap_init (MuxIdMap *map, uint32_t hint)
{
  uint32_t size = IDMAP_MIN;

  while (size < UINT32_MAX / 4 && size / 2 < hint)
    size *= 2;
  return alloc_slots (map, size);
}

void
mux_idmap_clear (MuxIdMap *map)
{
  free (map->slot);
  *map = (MuxIdMap){ 0 };
}

static uint32_t
find (const MuxIdMap *map, MuxId id)
{
  uint32_t i = home_of (map, id);

  while (map->slot[i].value != MUX_NONE && !mux_id_equal (map->slot[i].id, id))
    i = (i + 1) & map->mask;
  return i;
}

uint32_t
mux_idmap_get (const MuxIdMap *map, MuxId id)
{
  return map->slot[find (map, id)].value;
}

static bool
grow (MuxIdMap *map)
{
  MuxIdMap old = *map;

  if (!alloc_slots (map, (old.mask + 1) * 2))
    return false;
  for (uint32_t i = 0; i <= old.mask; i++)
    if (old.slot[i].value != MUX_NONE)
      mux_idmap_put (map, old.slot[i].id, old.slot[i].value);
  free (old.slot);
  return true;
}

bool
mux_idmap_put (MuxIdMap *map, MuxId id, uint32_t value)
{
  if (map->count > map->mask / 2 && !grow (map))
    return false;

  uint32_t i = find (map, id);

  map->slot[i] = (MuxIdSlot){ id, value };
  map->count++;
  return true;
}

void
mux_idmap_remove (MuxIdMap *map, MuxId id)
{
  uint32_t hole = find (map, id);

  if (map->slot[hole].value == MUX_NONE)
    return;
  map->count--;
  /* Backward shift: entries behind the hole move up, so that lookups that
   * stop at a free slot still find them. */
  for (uint32_t i = (hole + 1) & map->mask; map->slot[i].value != MUX_NONE;
       i = (i + 1) & map->mask)
    {
      uint32_t home = home_of (map, map->slot[i].id);

      if (((i - home) & map->mask) < ((i - hole) & map->mask))
        continue;
      map->slot[hole] = map->slot[i];
      hole = i;
    }
  map->slot[hole].value = MUX_NONE;
}
