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
  int order = cell_stage_order (a, b);

  return order != 0 ? order < 0 : a->number < b->number;
}

static bool
planned_before (const CellNode *a, const CellNode *b)
{
  return goes_before (CONST_STAGE_OF (a, planned), CONST_STAGE_OF (b, planned));
}

static bool
urgent_before (const CellNode *a, const CellNode *b)
{
  return goes_before (CONST_STAGE_OF (a, urgent), CONST_STAGE_OF (b, urgent));
}

static bool
ranked_before (const CellNode *a, const CellNode *b)
{
  return CONST_STAGE_OF (a, ranked)->ranked_until_ms
         < CONST_STAGE_OF (b, ranked)->ranked_until_ms;
}

static CellStage *
planned_of (CellNode *node)
{
  return node != NULL ? STAGE_OF (node, planned) : NULL;
}

static CellStage *
urgent_of (CellNode *node)
{
  return node != NULL ? STAGE_OF (node, urgent) : NULL;
}

void
cell_order_init (CellOrder *order)
{
  *order = (CellOrder){ .planned = { .before = planned_before },
                        .fresh = { .before = planned_before },
                        .urgent = { .before = urgent_before },
                        .ranked = { .before = ranked_before } };
}

static bool
is_urgent (const CellStage *stage)
{
  return stage->job->spec->queue.priority == 0;
}

static void
insert (MuxCell *cell, CellStage *stage)
{
  CellOrder *order = &cell->order;
  int64_t now_ms = cell->time.now_ms;

  stage->rank = cell_stage_rank (stage, now_ms);
  stage->ranked_until_ms = cell_stage_ranked_until (stage, now_ms);
  cell_tree_add (stage->is_fresh ? &order->fresh : &order->planned,
                 &stage->planned);
  if (is_urgent (stage))
    cell_tree_add (&order->urgent, &stage->urgent);
  if (stage->ranked_until_ms != INT64_MAX)
    cell_tree_add (&order->ranked, &stage->ranked);
  mux_count (cell->options.counters, MUX_COUNT_PLAN_MOVES, 1);
}

/* Where a pass stands stays valid. */
static void
leave_cursors (CellOrder *order, const CellStage *stage)
{
  if (order->front == stage)
    order->front = planned_of (cell_tree_next (&stage->planned));
  if (order->turn == stage)
    order->turn = planned_of (cell_tree_next (&stage->planned));
  if (order->next_urgent == stage)
    order->next_urgent = urgent_of (cell_tree_next (&stage->urgent));
}

static void
take_out (MuxCell *cell, CellStage *stage)
{
  CellOrder *order = &cell->order;

  leave_cursors (order, stage);
  cell_tree_remove (stage->is_fresh ? &order->fresh : &order->planned,
                    &stage->planned);
  if (is_urgent (stage))
    cell_tree_remove (&order->urgent, &stage->urgent);
  if (stage->ranked_until_ms != INT64_MAX)
    cell_tree_remove (&order->ranked, &stage->ranked);
}

void
cell_order_add (MuxCell *cell, CellStage *stage)
{
  stage->is_fresh = true;
  stage->number = ++cell->order.numbers;
  insert (cell, stage);
}

void
cell_order_remove (MuxCell *cell, CellStage *stage)
{
  take_out (cell, stage);
}

void
cell_order_rank (MuxCell *cell)
{
  CellNode *node;

  while ((node = cell_tree_first (&cell->order.ranked)) != NULL)
    {
      CellStage *stage = STAGE_OF (node, ranked);

      if (cell->time.now_ms < stage->ranked_until_ms)
        return;
      take_out (cell, stage);
      insert (cell, stage);
    }
}

/* The first of those not looked at yet, if it goes before @planned. */
static CellStage *
take_fresh (CellOrder *order, const CellStage *planned)
{
  CellStage *fresh = planned_of (cell_tree_first (&order->fresh));

  if (fresh == NULL || (planned != NULL && goes_before (planned, fresh)))
    return NULL;
  cell_tree_remove (&order->fresh, &fresh->planned);
  fresh->is_fresh = false;
  cell_tree_add (&order->planned, &fresh->planned);
  return fresh;
}

static void
visit_all (MuxCell *cell, const CellTree *tree, CellVisit visit)
{
  for (CellNode *node = cell_tree_first (tree); node != NULL;
       node = cell_tree_next (node))
    visit (cell, CONST_STAGE_OF (node, planned));
}

void
cell_order_visit (MuxCell *cell, CellVisit visit)
{
  visit_all (cell, &cell->order.planned, visit);
  visit_all (cell, &cell->order.fresh, visit);
}

void
cell_order_begin (CellOrder *order)
{
  order->front = planned_of (cell_tree_first (&order->planned));
}

CellStage *
cell_order_front (CellOrder *order)
{
  CellStage *stage = take_fresh (order, order->front);

  if (stage != NULL || order->front == NULL)
    return stage;
  stage = order->front;
  order->front = planned_of (cell_tree_next (&stage->planned));
  if (order->turn == stage)
    order->turn = order->front;
  return stage;
}

CellStage *
cell_order_turn (CellOrder *order)
{
  CellStage *stage = take_fresh (order, order->turn);

  if (stage != NULL || order->turn == NULL)
    return stage;
  stage = order->turn;
  order->turn = planned_of (cell_tree_next (&stage->planned));
  return stage;
}

bool
cell_order_is_done (const CellOrder *order)
{
  return order->turn == NULL && order->fresh.root == NULL;
}

void
cell_order_new_round (CellOrder *order)
{
  order->turn = planned_of (cell_tree_first (&order->planned));
}

void
cell_order_begin_urgent (CellOrder *order)
{
  order->next_urgent = urgent_of (cell_tree_first (&order->urgent));
}

CellStage *
cell_order_urgent (CellOrder *order)
{
  CellStage *stage = order->next_urgent;

  if (stage != NULL)
    order->next_urgent = urgent_of (cell_tree_next (&stage->urgent));
  return stage;
}
