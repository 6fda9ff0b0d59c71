#ifndef SUPPORT_SLOPE_H
#define SUPPORT_SLOPE_H

#include <stdint.h>

#define SLOPE_POINTS_MAX 16

/**
 * struct Slope - cost measured at several sizes
 * @count: used points
 * @size: of each point
 * @cost: measured there
 */
typedef struct
{
  uint32_t count;
  double size[SLOPE_POINTS_MAX];
  double cost[SLOPE_POINTS_MAX];
} Slope;

/**
 * struct SlopeFit - least-squares line through the points
 * @per: cost of one more
 * @base: cost at size 0
 * @spread: largest distance of a point from the line, in parts of the cost
 *   at the largest size
 */
typedef struct
{
  double per;
  double base;
  double spread;
} SlopeFit;

/** slope_add() - one more point; aborts when there are too many */
void slope_add (Slope *slope, double size, double cost);
/** slope_fit() - needs two different sizes at least */
SlopeFit slope_fit (const Slope *slope);
/** slope_print() - "NAME per unit" and its base, spread and points
 * @unit: of one more, such as "ns/worker" */
void slope_print (const Slope *slope, const char *name, const char *unit);

#endif
