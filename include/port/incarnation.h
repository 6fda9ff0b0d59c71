#ifndef PORT_INCARNATION_H
#define PORT_INCARNATION_H

#include "base/id.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * One life of a worker: from a start of it to its end.  A worker may start
 * again under the id that it had; then the time of its start tells its lives
 * apart. The name of a life holds both, so that whatever is kept by it, or told
 * to another daemon, is of that life alone.
 */

/** mux_life_name() - of the life of worker @id that began at @born_ms; 0: it
 * does not tell, and the id alone names it Return: false when that is too long
 * for a name. */
bool mux_incarnation_name (char life[MUX_NAME_LEN],
                           const char *id,
                           uint64_t born_ms);
/** mux_life_id() - of the worker whose life that is */
void mux_incarnation_worker (char id[MUX_NAME_LEN], const char *life);
/** mux_life_born_ms() - when it began; 0: not told */
uint64_t mux_incarnation_started_ms (const char *life);
/** mux_life_valid() - a worker's name, and a time behind it, if any */
bool mux_incarnation_valid (const char *life);

#endif
