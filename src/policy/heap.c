#include "heap.h"

#include "idmap.h"

#include <stdlib.h>

void
mux_heap_clear (MuxHeap *heap)
{
  free (heap->node);
  *heap = (MuxHeap){ 0 };
}

bool
mux_heap_reserve (MuxHeap *heap, uint32_t count)
{
  if (count <= heap->allocated)
    return true;

  uint32_t allocated = heap->allocated < 16 ? 16 : heap->allocated;

  while (allocated < count)
    allocated *= 2;

  MuxHeapNode *node = realloc (heap->node, allocated * sizeof *node);

  if (node == NULL)
    return false;
  heap->node = node;
  heap->allocated = allocated;
  return true;
}

static bool
before (const MuxHeapNode *a, const MuxHeapNode *b)
{
  return a->key != b->key ? a->key < b->key : a->seq < b->seq;
}

static void
put (MuxHeap *heap, uint32_t *pos, uint32_t at, MuxHeapNode node)
{
  heap->node[at] = node;
  pos[node.item] = at;
}

static void
sift_up (MuxHeap *heap, uint32_t *pos, uint32_t at, MuxHeapNode node)
{
  while (at > 0)
    {
      uint32_t up = (at - 1) / 2;

      if (!before (&node, &heap->node[up]))
        break;
      put (heap, pos, at, heap->node[up]);
      at = up;
    }
  put (heap, pos, at, node);
}

static void
sift_down (MuxHeap *heap, uint32_t *pos, uint32_t at, MuxHeapNode node)
{
  for (;;)
    {
      uint32_t child = 2 * at + 1;

      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && before (&heap->node[child + 1], &heap->node[child]))
        child++;
      if (!before (&heap->node[child], &node))
        break;
      put (heap, pos, at, heap->node[child]);
      at = child;
    }
  put (heap, pos, at, node);
}

bool
mux_heap_push (MuxHeap *heap, uint32_t *pos, MuxHeapNode node)
{
  if (!mux_heap_reserve (heap, heap->count + 1))
    return false;
  heap->count++;
  sift_up (heap, pos, heap->count - 1, node);
  return true;
}

void
mux_heap_remove (MuxHeap *heap, uint32_t *pos, uint32_t at)
{
  pos[heap->node[at].item] = MUX_NONE;
  heap->count--;
  if (at == heap->count)
    return;

  MuxHeapNode last = heap->node[heap->count];

  if (at > 0 && before (&last, &heap->node[(at - 1) / 2]))
    sift_up (heap, pos, at, last);
  else
    sift_down (heap, pos, at, last);
}
