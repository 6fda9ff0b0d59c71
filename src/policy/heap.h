#ifndef POLICY_HEAP_H
#define POLICY_HEAP_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t key;
  uint64_t seq;
  uint32_t item;
} MuxHeapNode;

/**
 * struct MuxHeap - binary min-heap of indexes, ordered by key, then by seq
 * @node: the nodes
 * @count: used nodes
 * @allocated: allocated nodes
 *
 * The caller provides an array with the position of each item, so that any
 * item can be removed without a search.
 */
typedef struct
{
  MuxHeapNode *node;
  uint32_t count;
  uint32_t allocated;
} MuxHeap;

void mux_heap_clear (MuxHeap *heap);
/** mux_heap_reserve() - allocates nodes for @count items; false: out of memory
 */
bool mux_heap_reserve (MuxHeap *heap, uint32_t count);
/** mux_heap_push() - false: out of memory */
bool mux_heap_push (MuxHeap *heap, uint32_t *pos, MuxHeapNode node);
/** mux_heap_remove() - removes the item at position @at */
void mux_heap_remove (MuxHeap *heap, uint32_t *pos, uint32_t at);

#endif
