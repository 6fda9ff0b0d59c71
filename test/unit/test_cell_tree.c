#include "src/cell/cell_private.h"
#include "support/random.h"
#include "support/test.h"

/* Ordered sets: each change is checked against a plain list. */

#define MEMBERS 2000
#define CHANGES 20000
#define SEED 7
/* Of a tree of this many random members: some 3 times the logarithm. */
#define DEPTH_MAX 40

typedef struct
{
  CellNode node; /* first */
  uint32_t key;
  bool in;
} Member;

static bool
before (const CellNode *a, const CellNode *b)
{
  return ((const Member *) (const void *) a)->key
         < ((const Member *) (const void *) b)->key;
}

static Member member[MEMBERS];

static uint32_t
depth (const CellNode *node)
{
  uint32_t left;
  uint32_t right;

  if (node == NULL)
    return 0;
  left = depth (node->child[0]);
  right = depth (node->child[1]);
  return 1 + (left > right ? left : right);
}

/* Checks that the tree holds all members, in order, and nothing else. */
static void
check (const CellTree *tree)
{
  CellNode *node = cell_tree_first (tree);

  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      if (!member[i].in)
        continue;
      assert_ptr_equal (node, &member[i].node);
      node = cell_tree_next (node);
    }
  assert_null (node);
}

/* Guards against members that are lost or found out of order. */
static void
test_tree_keeps_its_members_in_order (void **state)
{
  CellTree tree = { .before = before };
  MuxRandom random = { .state = SEED };

  (void) state;
  for (uint32_t i = 0; i < MEMBERS; i++)
    member[i].key = i;
  for (uint32_t i = 0; i < CHANGES; i++)
    {
      Member *one = &member[mux_random_below (&random, MEMBERS)];

      if (one->in)
        cell_tree_remove (&tree, &one->node);
      else
        cell_tree_add (&tree, &one->node);
      one->in = !one->in;
      if (i % 100 == 0)
        check (&tree);
    }
  check (&tree);
}

/* Guards against a tree that degenerates into a list when members arrive in
 * order. */
static void
test_tree_is_flat_where_members_come_in_order (void **state)
{
  CellTree tree = { .before = before };

  (void) state;
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      member[i] = (Member){ .key = i, .in = true };
      cell_tree_add (&tree, &member[i].node);
    }
  check (&tree);
  assert_true (depth (tree.root) <= DEPTH_MAX);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_tree_keeps_its_members_in_order),
    cmocka_unit_test (test_tree_is_flat_where_members_come_in_order),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
