#include "base/deadlines.h"

#include <stddef.h>

static bool
before (const MuxDeadline *a, const MuxDeadline *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->seq < b->seq;
}

/* Merges two heaps without siblings; either may be NULL. */
static MuxDeadline *
merge (MuxDeadline *a, MuxDeadline *b)
{
  MuxDeadline *parent;
  MuxDeadline *child;

  if (a == NULL || b == NULL)
    return a != NULL ? a : b;
  parent = before (a, b) ? a : b;
  child = parent == a ? b : a;
  child->prev = parent;
  child->next = parent->child;
  if (child->next != NULL)
    child->next->prev = child;
  parent->child = child;
  return parent;
}

static MuxDeadline *
take_first (MuxDeadline **list)
{
  MuxDeadline *first = *list;

  if (first == NULL)
    return NULL;
  *list = first->next;
  first->next = NULL;
  first->prev = NULL;
  return first;
}

/* Merges siblings in pairs and then the pairs, which keeps the amortized cost
 * of a removal logarithmic. */
static MuxDeadline *
merge_siblings (MuxDeadline *list)
{
  MuxDeadline *pairs = NULL;
  MuxDeadline *heap = NULL;

  while (list != NULL)
    {
      MuxDeadline *first = take_first (&list);
      MuxDeadline *pair = merge (first, take_first (&list));

      pair->next = pairs;
      pairs = pair;
    }
  while (pairs != NULL)
    heap = merge (heap, take_first (&pairs));
  return heap;
}

static void
detach (MuxDeadline *deadline)
{
  if (deadline->prev->child == deadline)
    deadline->prev->child = deadline->next;
  else
    deadline->prev->next = deadline->next;
  if (deadline->next != NULL)
    deadline->next->prev = deadline->prev;
}

void
mux_deadlines_add (MuxDeadlines *set, MuxDeadline *deadline, int64_t at_ms)
{
  deadline->at_ms = at_ms;
  deadline->seq = set->next_seq++;
  deadline->added = true;
  deadline->child = NULL;
  deadline->next = NULL;
  deadline->prev = NULL;
  set->first = merge (set->first, deadline);
}

void
mux_deadlines_remove (MuxDeadlines *set, MuxDeadline *deadline)
{
  if (!deadline->added)
    return;
  deadline->added = false;
  if (deadline == set->first)
    {
      set->first = merge_siblings (deadline->child);
      return;
    }
  detach (deadline);
  set->first = merge (set->first, merge_siblings (deadline->child));
}

int64_t
mux_deadlines_next_ms (const MuxDeadlines *set)
{
  return set->first != NULL ? set->first->at_ms : INT64_MAX;
}
