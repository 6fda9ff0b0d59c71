#ifndef POLICY_IDMAP_H
#define POLICY_IDMAP_H

#include "base/id.h"

#include <stdbool.h>
#include <stdint.h>

#define MUX_NONE UINT32_MAX

typedef struct
{
  MuxId id;
  uint32_t value;
} MuxIdSlot;

/**
 * struct MuxIdMap - hash table from ids to dense indexes, with linear probing
 * @slot: 2^n entries, at most half of them used
 * @mask: number of entries minus 1
 * @count: used entries
 */
typedef struct
{
  MuxIdSlot *slot;
  uint32_t mask;
  uint32_t count;
} MuxIdMap;

/** mux_idmap_init() - allocates for @hint ids; false: out of memory */
bool mux_idmap_init (MuxIdMap *map, uint32_t hint);
void mux_idmap_clear (MuxIdMap *map);
/** mux_idmap_get() - returns the value of @id; MUX_NONE: absent */
uint32_t mux_idmap_get (const MuxIdMap *map, MuxId id);
/** mux_idmap_put() - adds @id, which must be absent; false: out of memory */
bool mux_idmap_put (MuxIdMap *map, MuxId id, uint32_t value);
void mux_idmap_remove (MuxIdMap *map, MuxId id);

#endif
