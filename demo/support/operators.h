#ifndef SUPPORT_OPERATORS_H
#define SUPPORT_OPERATORS_H

#include "demo/support/cluster.h"
#include "demo/support/jsonl.h"

#include <stdint.h>

/* Operators that race on one class, and a watcher of each daemon's revision. */

#define MUX_OPERATORS 3

/**
 * struct MuxOperatorsOptions - who changes what
 * @cluster: its daemons are asked
 * @class_name: raced for; each change is made on condition of what was seen
 * @seed: of the choices
 * @log: receives "change" and "shown" lines, see history.h
 */
typedef struct
{
  MuxCluster *cluster;
  const char *class_name;
  uint64_t seed;
  MuxJsonl *log;
} MuxOperatorsOptions;

typedef struct MuxOperators MuxOperators;

MuxOperators *mux_operators_start (const MuxOperatorsOptions *options);
/** mux_operators_stop() - wait for their last changes, and free
 * Return: changes accepted. */
uint32_t mux_operators_stop (MuxOperators *operators);
/** mux_operators_judge() - log what every daemon shows, once all show the
 * same revision or @timeout_ms is over */
void mux_operators_judge (const MuxOperatorsOptions *options,
                          uint32_t timeout_ms);

#endif
