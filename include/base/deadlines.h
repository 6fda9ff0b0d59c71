#ifndef BASE_DEADLINES_H
#define BASE_DEADLINES_H

#include <stdbool.h>
#include <stdint.h>

typedef struct MuxDeadline MuxDeadline;

/**
 * struct MuxDeadline - a deadline of a set; embedded in what ends at it, so
 *   that adding it needs no memory and can't fail
 * @at_ms: set by mux_deadlines_add()
 * @owner: what ends; set by the user
 * @added: whether it is in a set
 * @seq: order of addition, which decides between equal deadlines
 * @child: first of those that are later
 * @next: sibling
 * @prev: previous sibling; of the first one the parent
 */
struct MuxDeadline
{
  int64_t at_ms;
  void *owner;
  bool added;
  uint64_t seq;
  MuxDeadline *child;
  MuxDeadline *next;
  MuxDeadline *prev;
};

/**
 * struct MuxDeadlines - a set of deadlines, ordered by their times: a pairing
 *   heap.  Zeroed it is empty.
 * @first: the earliest; NULL: the set is empty
 * @next_seq: of the next deadline added
 */
typedef struct
{
  MuxDeadline *first;
  uint64_t next_seq;
} MuxDeadlines;

/** mux_deadlines_add() - adds a deadline that is in no set */
void
mux_deadlines_add (MuxDeadlines *set, MuxDeadline *deadline, int64_t at_ms);
/** mux_deadlines_remove() - does nothing if @deadline is in no set */
void mux_deadlines_remove (MuxDeadlines *set, MuxDeadline *deadline);
/** mux_deadlines_next_ms() - the earliest time; INT64_MAX: the set is empty */
int64_t mux_deadlines_next_ms (const MuxDeadlines *set);

#endif
