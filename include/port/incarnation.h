#ifndef PORT_INCARNATION_H
#define PORT_INCARNATION_H

#include "base/id.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * An incarnation of a worker lasts from a start of its process to its end.  A
 * worker may be restarted under the same id; the time of the start then tells
 * its incarnations apart.  The name of an incarnation holds both the id and
 * that time, so that what is stored or sent under it is about this incarnation
 * alone.
 */

/** mux_incarnation_name() - make the name of the incarnation of worker @id that
 * started at @started_ms; 0: not known, the id alone is the name
 * Return: false when it is too long for a name. */
bool mux_incarnation_name (char name[MUX_NAME_LEN],
                           const char *id,
                           uint64_t started_ms);
/** mux_incarnation_worker() - copy the worker's id out of @name */
void mux_incarnation_worker (char id[MUX_NAME_LEN], const char *name);
/** mux_incarnation_started_ms() - the time of the start in @name; 0: none */
uint64_t mux_incarnation_started_ms (const char *name);
/** mux_incarnation_valid() - check that @name is a valid worker id, with a
 * time of start behind it or none */
bool mux_incarnation_valid (const char *name);

#endif
