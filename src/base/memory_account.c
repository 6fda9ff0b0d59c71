#include "base/memory_account.h"

bool
mux_memory_reserve (MuxMemoryAccount *account, uint64_t bytes)
{
  if (bytes > account->limit_bytes - account->held_bytes)
    return false;
  account->held_bytes += bytes;
  if (account->held_bytes > account->peak_bytes)
    account->peak_bytes = account->held_bytes;
  return true;
}

void
mux_memory_release (MuxMemoryAccount *account, uint64_t bytes)
{
  account->held_bytes -= bytes;
}

MuxMemoryPlan
mux_memory_plan (uint64_t total_bytes,
                 uint32_t connections_wanted,
                 uint32_t connection_bytes)
{
  uint64_t most = total_bytes / 4 * 3 / connection_bytes;
  MuxMemoryPlan plan
      = { .connections_max
          = most < connections_wanted ? (uint32_t) most : connections_wanted };

  plan.body_bytes
      = total_bytes - (uint64_t) plan.connections_max * connection_bytes;
  return plan;
}
