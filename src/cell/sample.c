#include "cell_private.h"

/*
 * Which workers one look at a step passes over.
 *
 * Guards against a planner whose decisions cost more the larger its cell is: a
 * step that looked at each of 3,000 workers, for each question and each start,
 * left its processor no time for the others.  In a large cell a look ends after
 * a part of the workers; the next one of the same step goes on behind it, so
 * that in the end all have been looked at.  Steps begin apart from each other.
 */

/* A look passes over so many workers at most: all of a small cell, and several
 * times those that a policy question names. */
#define LOOK_MAX 384

bool
cell_is_sampled (const MuxCell *cell)
{
  return HASH_COUNT (cell->workers) > LOOK_MAX;
}

uint32_t
cell_sample_max (const MuxCell *cell)
{
  return cell_is_sampled (cell) ? LOOK_MAX : HASH_COUNT (cell->workers);
}

CellSample
cell_sample_begin (const MuxCell *cell, const CellStage *stage)
{
  CellSample sample = { .slots = cell->worker_slots,
                        .workers = cell_sample_max (cell),
                        .is_part = cell_is_sampled (cell) };
  uint64_t first;

  if (!sample.is_part)
    return sample;
  first = stage->sample_slot != 0 ? stage->sample_slot
                                  : mux_hash_name (stage->job->id, stage->step);
  sample.slot = (uint32_t) (first % cell->worker_slots);
  return sample;
}

CellWorker *
cell_sample_next (MuxCell *cell, CellSample *sample)
{
  while (sample->slots > 0 && sample->workers > 0)
    {
      CellWorker *worker = cell->worker_at[sample->slot];

      sample->slot = (sample->slot + 1) % cell->worker_slots;
      sample->slots--;
      if (worker == NULL)
        continue;
      sample->workers--;
      cell->looks++;
      return worker;
    }
  return NULL;
}

void
cell_sample_end (CellStage *stage, const CellSample *sample)
{
  if (sample->is_part)
    stage->sample_slot = sample->slot;
}
