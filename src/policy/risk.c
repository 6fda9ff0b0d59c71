#include "internal.h"

const char *
mux_risk_cause_name (MuxRiskCause cause)
{
  static const char *const names[]
      = { "none", "quota",           "cpu",       "memory", "accels", "slots",
          "gang", "workers_failing", "store_down" };

  return names[cause];
}

uint32_t
mux_sched_risk (MuxSched *sched, int64_t now_ms, MuxRisk *out, uint32_t cap)
{
  uint32_t n = 0;

  (void) now_ms;
  for (uint32_t i = 0; i < sched->classes && n < cap; i++)
    {
      const MuxClass *class = sched->class_at[i];

      if (!class->configured)
        continue;
      out[n] = (MuxRisk){ .target_ppm = class->spec.start_share_ppm,
                          .forecast_ppm = 1000000,
                          .queued = class->waiting };
      mux_name_copy (out[n].class_name, class->spec.name);
      n++;
    }
  return n;
}
