#include "cell_private.h"

/* Ordered sets as treaps: binary search trees by the order of their members,
 * and heaps by random priorities of the nodes, which keep them balanced. */

static uint32_t
draw_priority (CellTree *tree)
{
  tree->random_state = tree->random_state * UINT64_C (6364136223846793005)
                       + UINT64_C (1442695040888963407);
  return (uint32_t) (tree->random_state >> 32);
}

static void
replace_child (CellTree *tree,
               CellNode *parent,
               const CellNode *child,
               CellNode *by)
{
  if (parent == NULL)
    tree->root = by;
  else
    parent->child[parent->child[1] == child] = by;
  if (by != NULL)
    by->parent = parent;
}

/* Rotates @node into the place of its parent, which becomes its child. */
static void
rotate_up (CellTree *tree, CellNode *node)
{
  CellNode *parent = node->parent;
  bool right = parent->child[1] == node;
  CellNode *between = node->child[!right];

  replace_child (tree, parent->parent, parent, node);
  parent->child[right] = between;
  if (between != NULL)
    between->parent = parent;
  node->child[!right] = parent;
  parent->parent = node;
}

void
cell_tree_add (CellTree *tree, CellNode *node)
{
  CellNode *parent = NULL;
  CellNode **at = &tree->root;

  while (*at != NULL)
    {
      parent = *at;
      at = &parent->child[!tree->before (node, parent)];
    }
  *node = (CellNode){ .parent = parent, .priority = draw_priority (tree) };
  *at = node;
  while (node->parent != NULL && node->parent->priority < node->priority)
    rotate_up (tree, node);
}

void
cell_tree_remove (CellTree *tree, CellNode *node)
{
  while (node->child[0] != NULL && node->child[1] != NULL)
    rotate_up (
        tree, node->child[node->child[1]->priority > node->child[0]->priority]);
  replace_child (tree, node->parent, node, node->child[node->child[0] == NULL]);
}

static CellNode *
outermost (CellNode *node, bool right)
{
  while (node != NULL && node->child[right] != NULL)
    node = node->child[right];
  return node;
}

CellNode *
cell_tree_first (const CellTree *tree)
{
  return outermost (tree->root, false);
}

CellNode *
cell_tree_next (const CellNode *node)
{
  if (node->child[1] != NULL)
    return outermost (node->child[1], false);
  while (node->parent != NULL && node->parent->child[1] == node)
    node = node->parent;
  return node->parent;
}
