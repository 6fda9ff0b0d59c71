#include "cell/interference.h"

#include <math.h>
#include <stddef.h>

/* Observations that the statistics cover; the latest have most weight. */
#define MEMORY 1500.0
/* A pair that is found is kept apart where possible, so that hardly any run
 * shows the effect.  Runs without the other kind then make the statistics decay
 * slower by this factor; else the pair would be dropped and found in turn. */
#define FOUND_MEMORY_FACTOR 16.0
/* A residual counts as at most this far from the mean: 3% of runs take seven
 * times as long, 1.95 as a logarithm. */
#define DEVIATION_MAX 0.8
/* Confidence from which on a pair is found, in standard errors.  It is checked
 * after each run for up to 64 pairs: over the millions of runs of a day, chance
 * exceeds 5.0 about every other day and 5.5 in one of 25, by the tail of the
 * normal distribution. */
#define FOUND_CONFIDENCE 5.5
#define DROPPED_CONFIDENCE 2.5
/* Least slowdown, as a logarithm: a factor of 1.1, and 1.05 to remain found.
 * Smaller ones are not worth another choice of worker. */
#define FOUND_SLOWDOWN 0.095
#define DROPPED_SLOWDOWN 0.049
/* A pair is not found beyond this slowdown, a factor of 3: neighbours don't
 * slow a task that much, delays of the planner or the worker do.  Bursts of one
 * kind gave 11. */
#define PLAUSIBLE_SLOWDOWN 1.1
/* Least weight of observations, and least squared deviations of the shares,
 * for a verdict.  With 30 observations one worker that was out of reach for
 * some seconds made a kind seem to slow itself by 3.7. */
#define WEIGHT_MIN 100.0
#define SHARE_SQUARE_MIN 3.0
/* Lower bound of the residuals' variance: runs that took the same time so far
 * may still differ later. */
#define VARIANCE_MIN 0.0025
/* A pair that is not found gives way to a new one when it was not seen together
 * for so many observations: at 870 runs a second half a minute. */
#define UNUSED_OBSERVATIONS 25000
/* Bound of the values of a pair from another daemon. */
#define VALUE_MAX 1e6

void
mux_interference_add_beside (MuxInterferenceRun *run,
                             uint64_t kind,
                             double share)
{
  MuxBeside *beside = NULL;

  if (kind == 0 || !(share > 0))
    return;
  for (uint32_t i = 0; i < run->beside_count; i++)
    if (run->beside[i].kind == kind)
      beside = &run->beside[i];
  if (beside == NULL)
    {
      if (run->beside_count == MUX_INTERFERENCE_BESIDE_MAX)
        return;
      beside = &run->beside[run->beside_count++];
      *beside = (MuxBeside){ .kind = kind };
    }
  beside->share = fmin (beside->share + share, 1);
}

const MuxInterferencePair *
mux_interference_find (const MuxInterference *all,
                       uint64_t kind,
                       uint64_t other)
{
  for (uint32_t i = 0; i < all->count; i++)
    if (all->pair[i].kind == kind && all->pair[i].other == other)
      return &all->pair[i];
  return NULL;
}

bool
mux_interference_is_found (const MuxInterference *all,
                           uint64_t kind,
                           uint64_t other)
{
  for (uint32_t i = 0; i < all->found_count; i++)
    {
      const MuxInterferencePair *pair = &all->pair[i];

      if ((pair->kind == kind && pair->other == other)
          || (pair->kind == other && pair->other == kind))
        return true;
    }
  return false;
}

bool
mux_interference_concerns (const MuxInterference *all, uint64_t kind)
{
  for (uint32_t i = 0; i < all->found_count; i++)
    if (all->pair[i].kind == kind || all->pair[i].other == kind)
      return true;
  return false;
}

/* Moves the pairs that are found to the front. */
static void
order (MuxInterference *all)
{
  all->found_count = 0;
  for (uint32_t i = 0; i < all->count; i++)
    if (all->pair[i].found)
      {
        MuxInterferencePair found = all->pair[i];

        all->pair[i] = all->pair[all->found_count];
        all->pair[all->found_count++] = found;
      }
}

double
mux_interference_slowdown (const MuxInterferencePair *pair)
{
  return pair->share_square > 0 ? pair->product / pair->share_square : 0;
}

double
mux_interference_confidence (const MuxInterferencePair *pair)
{
  double slowdown = mux_interference_slowdown (pair);
  double variance;

  if (pair->weight < WEIGHT_MIN || pair->share_square < SHARE_SQUARE_MIN)
    return 0;
  variance = (pair->residual_square - slowdown * pair->product) / pair->weight;
  return slowdown / sqrt (fmax (variance, VARIANCE_MIN) / pair->share_square);
}

static void
judge (MuxInterferencePair *pair)
{
  double slowdown = mux_interference_slowdown (pair);
  double confidence = mux_interference_confidence (pair);
  bool found
      = pair->found
            ? slowdown >= DROPPED_SLOWDOWN && confidence >= DROPPED_CONFIDENCE
            : slowdown >= FOUND_SLOWDOWN && slowdown <= PLAUSIBLE_SLOWDOWN
                  && confidence >= FOUND_CONFIDENCE;

  pair->changed = found != pair->found;
  pair->found = found;
}

static void
update (MuxInterferencePair *pair, double residual, double share, double weight)
{
  double memory
      = MEMORY * (pair->found && share <= 0 ? FOUND_MEMORY_FACTOR : 1.0);
  double keep = 1.0 - weight / memory;
  double share_diff = share - pair->share_mean;
  double diff = fmax (-DEVIATION_MAX,
                      fmin (residual - pair->residual_mean, DEVIATION_MAX));
  double part;
  double rest;

  pair->weight = pair->weight * keep + weight;
  part = weight / pair->weight;
  rest = weight * (1.0 - part);
  pair->share_mean += share_diff * part;
  pair->residual_mean += diff * part;
  pair->share_square
      = pair->share_square * keep + rest * share_diff * share_diff;
  pair->product = pair->product * keep + rest * share_diff * diff;
  pair->residual_square = pair->residual_square * keep + rest * diff * diff;
}

/* Return: an entry for a new pair; NULL: all are in use. */
static MuxInterferencePair *
free_pair (MuxInterference *all)
{
  MuxInterferencePair *oldest = NULL;

  if (all->count < MUX_INTERFERENCE_PAIRS_MAX)
    return &all->pair[all->count++];
  for (uint32_t i = 0; i < all->count; i++)
    if (!all->pair[i].found
        && (oldest == NULL || all->pair[i].last_beside < oldest->last_beside))
      oldest = &all->pair[i];
  return oldest != NULL
                 && all->observations - oldest->last_beside
                        > UNUSED_OBSERVATIONS
             ? oldest
             : NULL;
}

static double
share_beside (const MuxInterferenceRun *run, uint64_t kind)
{
  for (uint32_t i = 0; i < run->beside_count; i++)
    if (run->beside[i].kind == kind)
      return run->beside[i].share;
  return 0;
}

bool
mux_interference_record (MuxInterference *all, const MuxInterferenceRun *run)
{
  bool changed = false;

  if (run->kind == 0 || !isfinite (run->residual) || !(run->weight > 0)
      || run->weight > 1)
    return false;
  all->observations++;
  for (uint32_t i = 0; i < run->beside_count; i++)
    if (mux_interference_find (all, run->kind, run->beside[i].kind) == NULL)
      {
        MuxInterferencePair *pair = free_pair (all);

        if (pair != NULL)
          *pair = (MuxInterferencePair){ .kind = run->kind,
                                         .other = run->beside[i].kind };
      }
  for (uint32_t i = 0; i < all->count; i++)
    {
      MuxInterferencePair *pair = &all->pair[i];
      double share;

      pair->changed = false;
      if (pair->kind != run->kind)
        continue;
      share = share_beside (run, pair->other);
      if (share > 0)
        pair->last_beside = all->observations;
      update (pair, run->residual, share, run->weight);
      judge (pair);
      changed = changed || pair->changed;
    }
  if (changed)
    order (all);
  return changed;
}

static bool
is_within (double value, double min, double max)
{
  return value >= min && value <= max;
}

bool
mux_interference_set (MuxInterference *all, const MuxInterferencePair *pair)
{
  MuxInterferencePair *entry = NULL;

  if (pair->kind == 0 || pair->other == 0
      || !is_within (pair->weight, 0, MEMORY * FOUND_MEMORY_FACTOR)
      || !is_within (pair->share_mean, 0, 1)
      || !is_within (pair->residual_mean, -VALUE_MAX, VALUE_MAX)
      || !is_within (pair->share_square, 0, VALUE_MAX)
      || !is_within (pair->product, -VALUE_MAX, VALUE_MAX)
      || !is_within (pair->residual_square, 0, VALUE_MAX))
    return false;
  for (uint32_t i = 0; i < all->count && entry == NULL; i++)
    if (all->pair[i].kind == pair->kind && all->pair[i].other == pair->other)
      entry = &all->pair[i];
  if (entry == NULL)
    entry = free_pair (all);
  if (entry == NULL)
    return false;
  *entry = *pair;
  entry->changed = false;
  entry->last_beside = all->observations;
  order (all);
  return true;
}
