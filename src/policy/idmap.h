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
 * struct MuxIdMap - ids to dense indexes, by linear probing
 * @slot: 2^n entries, at most half of them used
 * @mask: entries minus 1
 * @count: used entries
 */
typedef struct
{
  MuxIdSlot *slot;
  uint32_t mask;
  uint32_t count;
} MuxIdMap;

/** mux_idmap_init() - room for @hint ids without growing; false: no memory */
bool mux_idmap_init (MuxIdMap *map, uint32_t hint);
void mux_idmap_clear (MuxIdMap *map);
/** mux_idmap_get() - MUX_NONE when absent */
uint32_t mux_idmap_get (const MuxIdMap *map, MuxId id);
/** mux_idmap_put() - @id must be absent; false: no memory */
bool mux_idmap_put (MuxIdMap *map, MuxId id, uint32_t value);
void mux_idmap_drop (MuxIdMap *map, MuxId id);

#endif
