#ifndef POLICY_TUNING_H
#define POLICY_TUNING_H

#include "policy/sched.h"

/**
 * struct MuxTuning - parts of the policy to switch off, so that a benchmark
 * can measure the effect of each; daemons leave all of them false
 * @no_reserve: no room is kept for urgent work
 * @no_reservation: no workers are drained for gangs and large tasks
 * @no_breaker: breakers never open
 * @no_learning: the declared size is booked
 * @no_rack_spread: placement ignores racks
 * @no_forecast: admission considers the queue's length only
 * @no_tiers: earliest start deadline over all classes
 * @no_late_queue: late deferrable tasks keep their place in the order
 * @below_declared: a learned size is booked even if smaller than declared
 * @first_fit: first fit (lowest index) instead of best fit
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
