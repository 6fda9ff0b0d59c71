#ifndef POLICY_TUNING_H
#define POLICY_TUNING_H

#include "policy/sched.h"

/**
 * struct MuxTuning - parts of the policy that a benchmark leaves out to
 * measure what they bring; a daemon never does
 * @no_reserve: no room is kept for urgent work
 * @no_reservation: no workers are drained for gangs and large tasks
 * @no_breaker: workers are trusted whatever they fail
 * @no_learning: the declared size is booked
 * @no_spread: racks are not looked at
 * @no_forecast: admission looks at the queue's length alone
 * @no_tiers: earliest start deadline over all classes
 * @no_late: late deferrable tasks keep their place in the order
 * @below_declared: a learned size is booked even when it is smaller
 * @first_fit: lowest index that fits in place of best fit
 */
typedef struct
{
  bool no_reserve;
  bool no_reservation;
  bool no_breaker;
  bool no_learning;
  bool no_rack_spread;
  bool no_forecast;
  bool no_tiers;
  bool no_late_queue;
  bool below_declared;
  bool first_fit;
} MuxTuning;

void mux_sched_tune (MuxSched *sched, const MuxTuning *tuning);

#endif
