#ifndef SUPPORT_CHAOS_VARIANTS_H
#define SUPPORT_CHAOS_VARIANTS_H

#include "support/cell_chaos.h"

/* Random schedules of faults and takeovers, each variant with a fault more. */

/* What is different from the usual world. */
typedef struct
{
  uint32_t follow_rows;
  bool late;
  bool slow;
  bool crashes;
  bool outages;
  bool rooms;
  bool same_ids;
  bool bursts;
  bool gone;
} ChaosVariant;

/** chaos_play_seeds() - RANDOM_SEEDS schedules from RANDOM_SEED on, with the
 * usual checks */
void chaos_play_seeds (const ChaosVariant *variant);

#endif
