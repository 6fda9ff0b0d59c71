#include "cell_private.h"

/*
 * The plan: steps with waiting tasks, in planning order.
 *
 * It is kept in order as steps come, go and change their rank, which happens at
 * times known before, so that a pass costs what it looks at and not what waits.
 * Steps that no pass has looked at yet stand in a set of their own, in the same
 * order: those behind the round's place in the plan have their turn in it, too.
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
planned_before (const CellNode *a, const CellNode *b)
{
  return goes_before (CONST_STAGE_OF (a, plan_node),
                      CONST_STAGE_OF (b, plan_node));
}

static bool
urgent_before (const CellNode *a, const CellNode *b)
{
  return goes_before (CONST_STAGE_OF (a, urgent_node),
                      CONST_STAGE_OF (b, urgent_node));
}

static bool
ranked_before (const CellNode *a, const CellNode *b)
{
  return CONST_STAGE_OF (a, rank_node)->rank_expires_ms
         < CONST_STAGE_OF (b, rank_node)->rank_expires_ms;
}

static CellStage *
planned_of (CellNode *node)
{
  return node != NULL ? STAGE_OF (node, plan_node) : NULL;
}

static CellStage *
urgent_of (CellNode *node)
{
  return node != NULL ? STAGE_OF (node, urgent_node) : NULL;
}

void
cell_plan_order_init (CellPlanOrder *order)
{
  *order = (CellPlanOrder){ .visited = { .before = planned_before },
                            .unvisited = { .before = planned_before },
                            .urgent = { .before = urgent_before },
                            .by_rank_expiry = { .before = ranked_before } };
}

static bool
is_urgent (const CellStage *stage)
{
  return stage->job->spec->queue.priority == 0;
}

static void
insert (MuxCell *cell, CellStage *stage)
{
  CellPlanOrder *order = &cell->plan_order;
  int64_t now_ms = cell->time.now_ms;

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

/* Where a pass stands stays valid. */
static void
leave_cursors (CellPlanOrder *order, const CellStage *stage)
{
  if (order->front_cursor == stage)
    order->front_cursor = planned_of (cell_tree_next (&stage->plan_node));
  if (order->round_cursor == stage)
    order->round_cursor = planned_of (cell_tree_next (&stage->plan_node));
  if (order->urgent_cursor == stage)
    order->urgent_cursor = urgent_of (cell_tree_next (&stage->urgent_node));
}

static void
take_out (MuxCell *cell, CellStage *stage)
{
  CellPlanOrder *order = &cell->plan_order;

  leave_cursors (order, stage);
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
  insert (cell, stage);
}

void
cell_plan_order_remove (MuxCell *cell, CellStage *stage)
{
  take_out (cell, stage);
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
      take_out (cell, stage);
      insert (cell, stage);
    }
}

/* The first of those not looked at yet, if it goes before @planned. */
static CellStage *
take_fresh (CellPlanOrder *order, const CellStage *planned)
{
  CellStage *fresh = planned_of (cell_tree_first (&order->unvisited));

  if (fresh == NULL || (planned != NULL && goes_before (planned, fresh)))
    return NULL;
  cell_tree_remove (&order->unvisited, &fresh->plan_node);
  fresh->is_unvisited = false;
  cell_tree_add (&order->visited, &fresh->plan_node);
  return fresh;
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
  order->front_cursor = planned_of (cell_tree_first (&order->visited));
}

CellStage *
cell_plan_order_next_front (CellPlanOrder *order)
{
  CellStage *stage = take_fresh (order, order->front_cursor);

  if (stage != NULL || order->front_cursor == NULL)
    return stage;
  stage = order->front_cursor;
  order->front_cursor = planned_of (cell_tree_next (&stage->plan_node));
  if (order->round_cursor == stage)
    order->round_cursor = order->front_cursor;
  return stage;
}

CellStage *
cell_plan_order_next_in_round (CellPlanOrder *order)
{
  CellStage *stage = take_fresh (order, order->round_cursor);

  if (stage != NULL || order->round_cursor == NULL)
    return stage;
  stage = order->round_cursor;
  order->round_cursor = planned_of (cell_tree_next (&stage->plan_node));
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
  order->round_cursor = planned_of (cell_tree_first (&order->visited));
}

void
cell_plan_order_begin_urgent (CellPlanOrder *order)
{
  order->urgent_cursor = urgent_of (cell_tree_first (&order->urgent));
}

CellStage *
cell_plan_order_next_urgent (CellPlanOrder *order)
{
  CellStage *stage = order->urgent_cursor;

  if (stage != NULL)
    order->urgent_cursor = urgent_of (cell_tree_next (&stage->urgent_node));
  return stage;
}
