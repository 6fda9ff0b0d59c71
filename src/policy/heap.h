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
 * struct MuxHeap - binary heap of indexes, least key first, then least seq
 * @node: the heap
 * @count: used nodes
 * @room: allocated nodes
 *
 * The position of each item stands in an array of the caller, so that any
 * item can be taken out without a search.
 */
typedef struct
{
  MuxHeapNode *node;
  uint32_t count;
  uint32_t allocated;
} MuxHeap;

void mux_heap_clear (MuxHeap *heap);
/** mux_heap_reserve() - room for @count items; false: no memory */
bool mux_heap_reserve (MuxHeap *heap, uint32_t count);
/** mux_heap_push() - false: no memory */
bool mux_heap_push (MuxHeap *heap, uint32_t *pos, MuxHeapNode node);
/** mux_heap_remove() - take out the item at position @at */
void mux_heap_remove (MuxHeap *heap, uint32_t *pos, uint32_t at);

#endif
