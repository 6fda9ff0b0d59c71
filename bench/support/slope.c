#include "bench/support/slope.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

void
slope_add (Slope *slope, double size, double cost)
{
  if (slope->count == SLOPE_POINTS_MAX)
    abort ();
  slope->size[slope->count] = size;
  slope->cost[slope->count++] = cost;
}

SlopeFit
slope_fit (const Slope *slope)
{
  double n = slope->count;
  double x = 0, y = 0, xx = 0, xy = 0, top = 0, far = 0;
  SlopeFit fit;

  for (uint32_t i = 0; i < slope->count; i++)
    {
      x += slope->size[i];
      y += slope->cost[i];
      xx += slope->size[i] * slope->size[i];
      xy += slope->size[i] * slope->cost[i];
    }
  fit.per = (n * xy - x * y) / (n * xx - x * x);
  fit.base = (y - fit.per * x) / n;
  for (uint32_t i = 0; i < slope->count; i++)
    {
      double line = fit.base + fit.per * slope->size[i];

      far = fmax (far, fabs (slope->cost[i] - line));
      top = fmax (top, fabs (slope->cost[i]));
    }
  fit.spread = top > 0 ? far / top : 0;
  return fit;
}

void
slope_print (const Slope *slope, const char *name, const char *unit)
{
  SlopeFit fit = slope_fit (slope);

  printf ("%s %.4g %s\n", name, fit.per, unit);
  printf ("%s.base %.4g %s\n", name, fit.base, "at_size_0");
  printf ("%s.spread %.1f percent\n", name, fit.spread * 100);
  for (uint32_t i = 0; i < slope->count; i++)
    printf ("%s.at.%.0f %.4g total\n", name, slope->size[i], slope->cost[i]);
  fflush (stdout);
}
