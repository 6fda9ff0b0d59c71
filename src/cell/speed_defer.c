#include "cell_private.h"

/*
 * Stages that could be in time on fast workers and find only slow ones.
 *
 * They leave these to stages behind them in planning order that are in time
 * there, and take what is left at the end of a full pass: a late end is worth
 * something, and no worker stays idle.
 */

bool
cell_stage_defer (MuxCell *cell, CellStage *stage)
{
  if (cell->placing_deferred)
    return false;
  if (stage->is_deferred)
    return true;
  stage->is_deferred = true;
  DL_APPEND2 (cell->deferred_stages, stage, deferred_prev, deferred_next);
  mux_count (cell->options.counters, MUX_COUNT_SPEED_DEFERRED, 1);
  return true;
}

void
cell_stage_undefer (MuxCell *cell, CellStage *stage)
{
  if (!stage->is_deferred)
    return;
  stage->is_deferred = false;
  DL_DELETE2 (cell->deferred_stages, stage, deferred_prev, deferred_next);
}

CellStage *
cell_stage_next_deferred (MuxCell *cell)
{
  CellStage *stage = cell->deferred_stages;

  if (stage != NULL)
    cell_stage_undefer (cell, stage);
  return stage;
}
