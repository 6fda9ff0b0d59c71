#ifndef BASE_MEMORY_ACCOUNT_H
#define BASE_MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct MuxMemoryAccount - memory of one purpose, bounded in sum
 * @limit_bytes: most that may be reserved at once
 * @held_bytes: reserved now
 * @peak_bytes: most that was reserved at once
 *
 * Memory is reserved before it is allocated and released after it is freed.
 * The callers serialize access.
 */
typedef struct
{
  uint64_t limit_bytes;
  uint64_t held_bytes;
  uint64_t peak_bytes;
} MuxMemoryAccount;

/** mux_memory_reserve() - take @bytes from the account
 * Return: false when they would exceed the limit; nothing is taken then. */
bool mux_memory_reserve (MuxMemoryAccount *account, uint64_t bytes);
/** mux_memory_release() - give @bytes back; at most what is held */
void mux_memory_release (MuxMemoryAccount *account, uint64_t bytes);

/**
 * struct MuxMemoryPlan - how the memory for callers is divided
 * @connections_max: connections open at once
 * @body_bytes: for bodies beyond the room that each connection has
 */
typedef struct
{
  uint32_t connections_max;
  uint64_t body_bytes;
} MuxMemoryPlan;

/**
 * mux_memory_plan() - divide memory between connections and bodies
 * @total_bytes: memory for both
 * @connections_wanted: connections that are enough
 * @connection_bytes: what one connection may hold besides a large body
 * Return: at most three quarters for connections, the rest for bodies.
 */
MuxMemoryPlan mux_memory_plan (uint64_t total_bytes,
                               uint32_t connections_wanted,
                               uint32_t connection_bytes);

#endif
