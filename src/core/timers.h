#ifndef CORE_TIMERS_H
#define CORE_TIMERS_H

#include "core_private.h"

/* Wake-ups by subject.  An entry is never removed: whoever fires compares the
 * time with the subject's own and ignores one that was moved since. */
Timers *timers_new (void);
void timers_free (Timers *timers);
/** timers_add() - false: memory is out */
bool timers_add (Timers *timers, int64_t at_ms, MuxId subject);
/** timers_next_ms() - INT64_MAX when there is none */
int64_t timers_next_ms (const Timers *timers);
/** timers_pop() - false when none is due at @now_ms */
bool
timers_pop (Timers *timers, int64_t now_ms, int64_t *at_ms, MuxId *subject);

#endif
