#include "standin/platform_rows.h"

#include <stdlib.h>
#include <string.h>

/* Enough for some millions of rows if one node in four is on the next level. */
#define ROWS_LEVELS 12

typedef struct Node Node;
struct Node
{
  MuxRow row; /* first member, so that a row can be cast to its node */
  Node *next[];
};

struct StandinRows
{
  uint64_t count;
  uint64_t random;
  Node *head;
};

static Node *
node_new (uint32_t levels)
{
  return calloc (1, sizeof (Node) + levels * sizeof (Node *));
}

static void
node_free (Node *node)
{
  mux_blob_unref (node->row.value);
  free (node);
}

StandinRows *
standin_platform_rows_new (void)
{
  StandinRows *rows = calloc (1, sizeof *rows);

  if (rows == NULL)
    return NULL;
  rows->random = 0x9e3779b97f4a7c15;
  rows->head = node_new (ROWS_LEVELS);
  if (rows->head == NULL)
    {
      free (rows);
      return NULL;
    }
  return rows;
}

void
standin_platform_rows_free (StandinRows *rows)
{
  Node *next;

  if (rows == NULL)
    return;
  for (Node *node = rows->head; node != NULL; node = next)
    {
      next = node->next[0];
      node_free (node);
    }
  free (rows);
}

uint64_t
standin_platform_rows_count (const StandinRows *rows)
{
  return rows->count;
}

/* Fills @before with the last node of each level whose key is below @key. */
static void
find_before (const StandinRows *rows,
             const char *key,
             Node *before[ROWS_LEVELS])
{
  Node *node = rows->head;

  for (uint32_t level = ROWS_LEVELS; level-- > 0;)
    {
      while (node->next[level] != NULL
             && strcmp (node->next[level]->row.key, key) < 0)
        node = node->next[level];
      before[level] = node;
    }
}

const MuxRow *
standin_platform_rows_from (const StandinRows *rows, const char *key)
{
  Node *before[ROWS_LEVELS];

  find_before (rows, key, before);
  return before[0]->next[0] != NULL ? &before[0]->next[0]->row : NULL;
}

const MuxRow *
standin_platform_rows_find (const StandinRows *rows, const char *key)
{
  const MuxRow *row = standin_platform_rows_from (rows, key);

  return row != NULL && strcmp (row->key, key) == 0 ? row : NULL;
}

const MuxRow *
standin_platform_rows_next (const MuxRow *row)
{
  const Node *node = (const Node *) row;

  return node->next[0] != NULL ? &node->next[0]->row : NULL;
}

static uint32_t
random_levels (StandinRows *rows)
{
  uint32_t levels = 1;

  rows->random ^= rows->random << 13;
  rows->random ^= rows->random >> 7;
  rows->random ^= rows->random << 17;
  for (uint64_t bits = rows->random; (bits & 3) == 0; bits >>= 2)
    if (++levels == ROWS_LEVELS)
      break;
  return levels;
}

bool
standin_platform_rows_put (StandinRows *rows,
                           const char *key,
                           uint64_t rev,
                           MuxBlob *value)
{
  Node *before[ROWS_LEVELS];
  Node *node;

  find_before (rows, key, before);
  node = before[0]->next[0];
  if (node == NULL || strcmp (node->row.key, key) != 0)
    {
      uint32_t levels = random_levels (rows);

      node = node_new (levels);
      if (node == NULL)
        return false;
      strncpy (node->row.key, key, MUX_ROW_KEY_LEN - 1);
      for (uint32_t level = 0; level < levels; level++)
        {
          node->next[level] = before[level]->next[level];
          before[level]->next[level] = node;
        }
      rows->count++;
    }
  mux_blob_unref (node->row.value);
  node->row.value = mux_blob_ref (value);
  node->row.rev = rev;
  return true;
}

void
standin_platform_rows_remove (StandinRows *rows, const char *key)
{
  Node *before[ROWS_LEVELS];
  Node *node;

  find_before (rows, key, before);
  node = before[0]->next[0];
  if (node == NULL || strcmp (node->row.key, key) != 0)
    return;
  for (uint32_t level = 0;
       level < ROWS_LEVELS && before[level]->next[level] == node; level++)
    before[level]->next[level] = node->next[level];
  node_free (node);
  rows->count--;
}
