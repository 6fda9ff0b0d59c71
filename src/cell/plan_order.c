#include "cell_private.h"

/*
 * The plan: stages with waiting tasks, in planning order.
 *
 * Stages are inserted, removed and moved one at a time, and a rank changes only
 * at times known in advance, so that the cost of a pass depends on the stages
 * it scans and not on all that wait.  Stages not visited by any pass yet are
 * kept in a separate set with the same order, so that those that sort before
 * the cursor of the current round still get their turn in it.
 */

#define STAGE_OF(node, member) \
  ((CellStage *) (void *) ((char *) (node) -offsetof (CellStage, member)))
#define CONST_STAGE_OF(node, member)                                     \
  ((const CellStage *) (const void *) ((const char *) (node) -offsetof ( \
      CellStage, member)))

static bool
goes_before (const CellStage *a, const CellStage *b)
{
  int order = cell_stage_compare (a, b);

  return order != 0 ? order < 0 : a->number < b->number;
}

static bool
plan_node_before (const CellNode *a, const CellNode *b)
{
  return goes_before (CONST_STAGE_OF (a, plan_node),
                      CONST_STAGE_OF (b, plan_node));
}

static bool
urgent_node_before (const CellNode *a, const CellNode *b)
{
  return goes_before (CONST_STAGE_OF (a, urgent_node),
                      CONST_STAGE_OF (b, urgent_node));
}

static bool
rank_node_before (const CellNode *a, const CellNode *b)
{
  return CONST_STAGE_OF (a, rank_node)->rank_expires_ms
         < CONST_STAGE_OF (b, rank_node)->rank_expires_ms;
}

static CellStage *
stage_of_plan_node (CellNode *node)
{
  return node != NULL ? STAGE_OF (node, plan_node) : NULL;
}

static CellStage *
stage_of_urgent_node (CellNode *node)
{
  return node != NULL ? STAGE_OF (node, urgent_node) : NULL;
}

void
cell_plan_order_init (CellPlanOrder *order)
{
  *order = (CellPlanOrder){ .visited = { .before = plan_node_before },
                            .unvisited = { .before = plan_node_before },
                            .urgent = { .before = urgent_node_before },
                            .by_rank_expiry = { .before = rank_node_before } };
}

static bool
is_urgent (const CellStage *stage)
{
  return stage->job->spec->queue.priority == 0;
}

static void
insert_stage (MuxCell *cell, CellStage *stage)
{
  CellPlanOrder *order = &cell->plan_order;
  int64_t now_ms = cell->time.now_ms;

  cell_stage_set_start_times (cell, stage);
  stage->rank = cell_stage_rank (stage, now_ms);
  stage->rank_expires_ms = cell_stage_rank_expires_ms (stage, now_ms);
  cell_tree_add (stage->is_unvisited ? &order->unvisited : &order->visited,
                 &stage->plan_node);
  if (is_urgent (stage))
    cell_tree_add (&order->urgent, &stage->urgent_node);
  if (stage->rank_expires_ms != INT64_MAX)
    cell_tree_add (&order->by_rank_expiry, &stage->rank_node);
  mux_count (cell->options.counters, MUX_COUNT_PLAN_MOVES, 1);
}

/* Moves the cursors that point to @stage to its successor. */
static void
advance_cursors (CellPlanOrder *order, const CellStage *stage)
{
  if (order->front_cursor == stage)
    order->front_cursor
        = stage_of_plan_node (cell_tree_next (&stage->plan_node));
  if (order->round_cursor == stage)
    order->round_cursor
        = stage_of_plan_node (cell_tree_next (&stage->plan_node));
  if (order->urgent_cursor == stage)
    order->urgent_cursor
        = stage_of_urgent_node (cell_tree_next (&stage->urgent_node));
}

static void
remove_stage (MuxCell *cell, CellStage *stage)
{
  CellPlanOrder *order = &cell->plan_order;

  advance_cursors (order, stage);
  cell_tree_remove (stage->is_unvisited ? &order->unvisited : &order->visited,
                    &stage->plan_node);
  if (is_urgent (stage))
    cell_tree_remove (&order->urgent, &stage->urgent_node);
  if (stage->rank_expires_ms != INT64_MAX)
    cell_tree_remove (&order->by_rank_expiry, &stage->rank_node);
}

void
cell_plan_order_add (MuxCell *cell, CellStage *stage)
{
  stage->is_unvisited = true;
  stage->number = ++cell->plan_order.last_number;
  stage->share_class = cell_share_class_of_new (cell, stage);
  insert_stage (cell, stage);
}

void
cell_plan_order_set_class (MuxCell *cell, CellStage *stage, uint32_t class)
{
  remove_stage (cell, stage);
  stage->share_class = class;
  insert_stage (cell, stage);
}

void
cell_plan_order_remove (MuxCell *cell, CellStage *stage)
{
  remove_stage (cell, stage);
}

void
cell_plan_order_rerank (MuxCell *cell)
{
  CellNode *node;

  while ((node = cell_tree_first (&cell->plan_order.by_rank_expiry)) != NULL)
    {
      CellStage *stage = STAGE_OF (node, rank_node);

      if (cell->time.now_ms < stage->rank_expires_ms)
        return;
      remove_stage (cell, stage);
      insert_stage (cell, stage);
    }
}

/* Returns the first unvisited stage if it goes before @visited, else NULL. */
static CellStage *
take_unvisited (CellPlanOrder *order, const CellStage *visited)
{
  CellStage *unvisited
      = stage_of_plan_node (cell_tree_first (&order->unvisited));

  if (unvisited == NULL
      || (visited != NULL && goes_before (visited, unvisited)))
    return NULL;
  cell_tree_remove (&order->unvisited, &unvisited->plan_node);
  unvisited->is_unvisited = false;
  cell_tree_add (&order->visited, &unvisited->plan_node);
  return unvisited;
}

static void
visit_all (MuxCell *cell, const CellTree *tree, CellStageVisit visit)
{
  for (CellNode *node = cell_tree_first (tree); node != NULL;
       node = cell_tree_next (node))
    visit (cell, CONST_STAGE_OF (node, plan_node));
}

void
cell_plan_order_visit (MuxCell *cell, CellStageVisit visit)
{
  visit_all (cell, &cell->plan_order.visited, visit);
  visit_all (cell, &cell->plan_order.unvisited, visit);
}

void
cell_plan_order_begin (CellPlanOrder *order)
{
  order->front_cursor = stage_of_plan_node (cell_tree_first (&order->visited));
}

CellStage *
cell_plan_order_next_front (CellPlanOrder *order)
{
  CellStage *stage = take_unvisited (order, order->front_cursor);

  if (stage != NULL || order->front_cursor == NULL)
    return stage;
  stage = order->front_cursor;
  order->front_cursor = stage_of_plan_node (cell_tree_next (&stage->plan_node));
  if (order->round_cursor == stage)
    order->round_cursor = order->front_cursor;
  return stage;
}

CellStage *
cell_plan_order_next_in_round (CellPlanOrder *order)
{
  CellStage *stage = take_unvisited (order, order->round_cursor);

  if (stage != NULL || order->round_cursor == NULL)
    return stage;
  stage = order->round_cursor;
  order->round_cursor = stage_of_plan_node (cell_tree_next (&stage->plan_node));
  return stage;
}

bool
cell_plan_order_is_done (const CellPlanOrder *order)
{
  return order->round_cursor == NULL && order->unvisited.root == NULL;
}

void
cell_plan_order_new_round (CellPlanOrder *order)
{
  order->round_cursor = stage_of_plan_node (cell_tree_first (&order->visited));
}

void
cell_plan_order_begin_urgent (CellPlanOrder *order)
{
  order->urgent_cursor
      = stage_of_urgent_node (cell_tree_first (&order->urgent));
}

CellStage *
cell_plan_order_next_urgent (CellPlanOrder *order)
{
  CellStage *stage = order->urgent_cursor;

  if (stage != NULL)
    order->urgent_cursor
        = stage_of_urgent_node (cell_tree_next (&stage->urgent_node));
  return stage;
}
