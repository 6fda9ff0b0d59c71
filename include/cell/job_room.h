#ifndef CELL_JOB_ROOM_H
#define CELL_JOB_ROOM_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Memory that a planner has for jobs, and which jobs are accepted into it.
 *
 * A job takes at most a part of what is free, so that ordinary jobs find room
 * beside wide ones; and what a sender has in all is at most a multiple of what
 * is free, so that other senders find room beside it (a dynamic threshold, as
 * switches share their buffers).
 */

/**
 * struct MuxJobRoom - state of that memory, in bytes
 * @limit_bytes: for all jobs
 * @used_bytes: by all jobs
 * @sender_bytes: of @used_bytes, by jobs of the sender of the job in question
 */
typedef struct
{
  uint64_t limit_bytes;
  uint64_t used_bytes;
  uint64_t sender_bytes;
} MuxJobRoom;

/** mux_job_room_limit() - limit of an instance
 * @memory_mib: its memory; 0: unknown
 * Return: in bytes. */
uint64_t mux_job_room_limit (uint32_t memory_mib);
/** mux_job_room_runs_limit() - memory for what is known of runs, where jobs
 * have @limit_bytes
 * Return: in bytes. */
uint64_t mux_job_room_runs_limit (uint64_t limit_bytes);
/** mux_job_room_job_max() - the largest job that an empty room accepts
 * Return: in bytes. */
uint64_t mux_job_room_job_max (uint64_t limit_bytes);
/** mux_job_room_missing() - how much has to be released before a job of
 * @bytes is accepted
 * Return: in bytes; 0: it is accepted now. */
uint64_t mux_job_room_missing (const MuxJobRoom *room, uint64_t bytes);
/** mux_job_room_retry_ms() - when the sender is to come back
 * @missing_bytes: not 0
 * @rate: bytes that are released in a second; 0: unknown
 * @seed: spreads the times of several jobs
 * Return: in ms. */
uint32_t
mux_job_room_retry_ms (uint64_t missing_bytes, uint64_t rate, uint64_t seed);

#endif
