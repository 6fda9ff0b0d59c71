#ifndef CELL_INTERFERENCE_H
#define CELL_INTERFERENCE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Finds kinds of tasks that run slower while tasks of another kind run on the
 * same worker, from the residuals of runs: the logarithm of the time taken over
 * the time expected on that worker.
 *
 * For each pair the residual is regressed on the share of the run that the
 * other kind ran beside it.  The slope is the logarithm of the slowdown.  An
 * error that all runs of a kind have in common is in the intercept and does not
 * count.
 */

/* Most pairs that are tracked. */
#define MUX_INTERFERENCE_PAIRS_MAX 64
/* Most other kinds that are counted for one run. */
#define MUX_INTERFERENCE_BESIDE_MAX 8

/**
 * struct MuxInterferencePair - statistics of one pair, decaying
 * @kind: kind whose runs were observed; 0 is no kind
 * @other: kind that ran beside it
 * @found: @other is found to slow @kind
 * @changed: @found changed with the last run that was recorded
 * @last_beside: number of the last observation with @other beside it, see
 *   MuxInterference.observations
 * @weight: sum of the observations' weights
 * @share_mean: of the shares of the runs
 * @residual_mean: of the residuals
 * @share_square: weighted sum of squared deviations of the shares
 * @product: weighted sum of products of both deviations
 * @residual_square: weighted sum of squared deviations of the residuals
 */
typedef struct
{
  uint64_t kind;
  uint64_t other;
  bool found;
  bool changed;
  uint64_t last_beside;
  double weight;
  double share_mean;
  double residual_mean;
  double share_square;
  double product;
  double residual_square;
} MuxInterferencePair;

/**
 * struct MuxInterference - all pairs; all zero: nothing was observed
 * @observations: runs recorded
 * @count: used entries of @pair
 * @found_count: pairs that are found
 * @pair: those that are found come first
 */
typedef struct
{
  uint64_t observations;
  uint32_t count;
  uint32_t found_count;
  MuxInterferencePair pair[MUX_INTERFERENCE_PAIRS_MAX];
} MuxInterference;

/**
 * struct MuxBeside - a kind that ran beside a run
 * @kind: the kind
 * @share: part of the run, 0 to 1
 */
typedef struct
{
  uint64_t kind;
  double share;
} MuxBeside;

/**
 * struct MuxInterferenceRun - a run that was observed
 * @kind: of its task
 * @residual: log of the time taken minus log of the time expected
 * @weight: above 0, up to 1; less than 1 for runs that share an error with
 *   others, so that these count together as one observation
 * @beside_count: used entries of @beside
 * @beside: kinds that ran on the same worker
 */
typedef struct
{
  uint64_t kind;
  double residual;
  double weight;
  uint32_t beside_count;
  MuxBeside beside[MUX_INTERFERENCE_BESIDE_MAX];
} MuxInterferenceRun;

/** mux_interference_add_beside() - add @share to what @kind has in @run; beyond
 * MUX_INTERFERENCE_BESIDE_MAX kinds it is not counted */
void mux_interference_add_beside (MuxInterferenceRun *run,
                                  uint64_t kind,
                                  double share);
/** mux_interference_record() - record a run
 * Return: whether pairs were found or dropped; they are marked as changed. */
bool mux_interference_record (MuxInterference *all,
                              const MuxInterferenceRun *run);
/** mux_interference_find() - the pair; NULL: it is not tracked */
const MuxInterferencePair *mux_interference_find (const MuxInterference *all,
                                                  uint64_t kind,
                                                  uint64_t other);
/** mux_interference_is_found() - whether one of the kinds is found to slow the
 * other */
bool mux_interference_is_found (const MuxInterference *all,
                                uint64_t kind,
                                uint64_t other);
/** mux_interference_concerns() - whether the kind is in a pair that is found */
bool mux_interference_concerns (const MuxInterference *all, uint64_t kind);
/** mux_interference_slowdown() - estimated logarithm of the factor by which the
 * other kind slows a run; 0 if it is unknown */
double mux_interference_slowdown (const MuxInterferencePair *pair);
/** mux_interference_confidence() - that estimate in standard errors */
double mux_interference_confidence (const MuxInterferencePair *pair);
/** mux_interference_set() - take over a pair from another daemon
 * Return: false: it is out of range, or there is no free entry. */
bool mux_interference_set (MuxInterference *all,
                           const MuxInterferencePair *pair);

#endif
