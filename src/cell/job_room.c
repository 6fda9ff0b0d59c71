#include "cell/job_room.h"

/* Jobs take at most this part of an instance's memory, */
#define MEMORY_PART 4
/* and what is known of runs this one; */
#define RUNS_PART 3
/* or jobs this much where its memory is not known. */
#define MEMORY_DEFAULT_MIB 64
#define BYTES_PER_MIB ((uint64_t) 1 << 20)
/* A job takes at most this part of what is free. */
#define JOB_PART 8
/* A sender's jobs take at most so many times what they leave free. */
#define SENDER_FACTOR 4
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 30000
/* Retries are spread over this part of their delay. */
#define SPREAD_PART 4
#define MS_PER_S 1000

uint64_t
mux_job_room_limit (uint32_t memory_mib)
{
  uint64_t mib
      = memory_mib != 0 ? memory_mib / MEMORY_PART : MEMORY_DEFAULT_MIB;

  return (mib != 0 ? mib : 1) * BYTES_PER_MIB;
}

uint64_t
mux_job_room_runs_limit (uint64_t limit_bytes)
{
  return limit_bytes / RUNS_PART * MEMORY_PART;
}

uint64_t
mux_job_room_job_max (uint64_t limit_bytes)
{
  return limit_bytes / JOB_PART;
}

/* The sum of a sender's jobs and of what is free stays the same but for what
 * others release: each byte that the sender releases counts for both. */
static uint64_t
missing_for_sender (const MuxJobRoom *room, uint64_t bytes, uint64_t free_bytes)
{
  uint64_t wanted = room->sender_bytes + bytes * (SENDER_FACTOR + 1);

  if (wanted <= free_bytes * SENDER_FACTOR)
    return 0;
  return (wanted - free_bytes * SENDER_FACTOR + SENDER_FACTOR)
         / (SENDER_FACTOR + 1);
}

uint64_t
mux_job_room_missing (const MuxJobRoom *room, uint64_t bytes)
{
  uint64_t free_bytes = room->limit_bytes > room->used_bytes
                            ? room->limit_bytes - room->used_bytes
                            : 0;
  uint64_t over = room->used_bytes > room->limit_bytes
                      ? room->used_bytes - room->limit_bytes
                      : 0;
  uint64_t for_job
      = bytes * JOB_PART > free_bytes ? bytes * JOB_PART - free_bytes : 0;
  uint64_t for_sender = missing_for_sender (room, bytes, free_bytes);

  if (for_job == 0 && for_sender == 0)
    return 0;
  return over + (for_job > for_sender ? for_job : for_sender);
}

uint32_t
mux_job_room_retry_ms (uint64_t missing_bytes, uint64_t rate, uint64_t seed)
{
  uint64_t ms = rate > 0 ? missing_bytes / rate * MS_PER_S
                               + missing_bytes % rate * MS_PER_S / rate
                         : RETRY_MAX_MS;

  if (ms < RETRY_MIN_MS)
    ms = RETRY_MIN_MS;
  if (ms > RETRY_MAX_MS)
    ms = RETRY_MAX_MS;
  return (uint32_t) (ms + seed % (ms / SPREAD_PART));
}
