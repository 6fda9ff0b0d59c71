#include "internal.h"

#include <math.h>
#include <stdlib.h>

#define HORIZON_MS 60000.0
#define PPM 1e6
/* Room of deferrable tasks counts for urgent ones as far as they are forecast
 * to end within this time. */
#define RELEASE_MS 5000.0
/* Relative rise of the arrival rate below which it is taken as noise. */
#define RISE_MIN 0.15
/* Starts per ms below which the observed share of late ones is ignored. */
#define OBSERVED_RATE_MIN 0.002

const char *
mux_risk_cause_name (MuxRiskCause cause)
{
  static const char *const names[]
      = { "none", "quota",           "cpu",       "memory", "accels", "slots",
          "gang", "workers_failing", "store_down" };

  return names[cause];
}

/**
 * struct Outlook - demand and capacity, as input to the forecasts of all
 * classes
 * @urgent_rate: forecast arrival rate of urgent tasks, per ms
 * @urgent_tasks: forecast mean number of running urgent tasks
 * @urgent_waiting: urgent tasks waiting now
 * @urgent_capacity: urgent tasks that can run at once, with the room that
 *   deferrable tasks release soon
 * @deferrable_work: resources times run time in ms of waiting deferrable
 *   tasks, by MuxDim
 * @deferrable_room: resources left to deferrable tasks, by MuxDim
 */
typedef struct
{
  double urgent_rate;
  double urgent_tasks;
  double urgent_waiting;
  double urgent_capacity;
  double deferrable_work[MUX_DIMS];
  double deferrable_room[MUX_DIMS];
} Outlook;

/* Forecast arrival rate: a current rise is extrapolated, a fall is not. */
static double
rate_ahead (const MuxRate *rate)
{
  double rise = rate->fast - rate->slow;

  return rate->fast + (rise > RISE_MIN * rate->slow ? rise : 0);
}

static void
outlook_add (Outlook *out, const MuxClass *class)
{
  double rate = rate_ahead (&class->arrivals);

  if (class->urgent)
    {
      out->urgent_rate += rate;
      out->urgent_tasks += rate * class->run_mean_ms;
      out->urgent_waiting += class->waiting;
    }
  else if (class->run_mean_ms > 0)
    out->urgent_capacity
        += class->booked * (1 - exp (-RELEASE_MS / class->run_mean_ms));
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      double size = mux_size_dim (class->size, d);

      if (class->urgent)
        out->deferrable_room[d] -= rate * class->run_mean_ms * size;
      else
        out->deferrable_work[d] += class->waiting * class->run_mean_ms * size;
    }
}

static Outlook
outlook_of (const MuxSched *sched)
{
  Outlook out = { 0 };

  out.urgent_capacity
      = (double) sched->urgent_room + (double) sched->urgent_running;
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    out.deferrable_room[d] = (double) sched->total[d];
  for (uint32_t i = 0; i < sched->classes; i++)
    if (sched->class_at[i]->configured)
      outlook_add (&out, sched->class_at[i]);
  return out;
}

/*
 * Share of the urgent starts of the next HORIZON_MS that wait at most @within.
 * If demand is below capacity, the present queue drains first; if it is above,
 * the queue grows until the wait exceeds @within.
 */
static double
urgent_share (const Outlook *out, double within)
{
  double run = out->urgent_rate > 0 ? out->urgent_tasks / out->urgent_rate : 0;
  double served, wait, late, beta;

  if (out->urgent_rate <= 0 || run <= 0)
    return 1;
  served = out->urgent_capacity / run;
  if (served <= 0)
    return 0;
  wait = out->urgent_waiting / served;
  if (out->urgent_rate >= served)
    return wait >= within
               ? 0
               : fmin (1, (within - wait) * served / (out->urgent_rate - served)
                              / HORIZON_MS);
  if (wait > within)
    {
      late = (wait - within) * served / (served - out->urgent_rate);
      return 1 - fmin (1, late / HORIZON_MS);
    }
  beta = (out->urgent_capacity - out->urgent_tasks) / sqrt (out->urgent_tasks);
  return 1
         - mux_wait_probability (beta)
               * exp (-(served - out->urgent_rate) * within);
}

static double
drain_ms (const Outlook *out, MuxDim *binding)
{
  double longest = 0;

  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      double ms = out->deferrable_work[d] <= 0 ? 0
                  : out->deferrable_room[d] > 0
                      ? out->deferrable_work[d] / out->deferrable_room[d]
                      : 10 * HORIZON_MS;

      if (ms <= longest)
        continue;
      longest = ms;
      *binding = (MuxDim) d;
    }
  return longest;
}

/*
 * Share of a queue that starts on time if it is served in order and takes
 * @drain ms.  The head has @head ms left until its start deadline, the tail
 * all of @within, and those between in proportion.
 */
static double
queue_share (double head, double within, double drain)
{
  double slack = within - head - drain;

  if (head >= 0)
    return slack >= -head ? 1 : head / -slack;
  return slack <= -head ? 0 : 1 + head / slack;
}

static double
waiting_share (const MuxClass *class, double drain, int64_t now_ms)
{
  const MuxHeapNode *first = mux_queue_earliest (class);

  if (first == NULL)
    return 1;
  return queue_share ((double) (first->key - now_ms),
                      class->spec.start_within_ms, drain);
}

/* Returns whether nothing of the class starts until something changes: its
 * quota is used up, or it is long-running, where no room becomes free by
 * itself, and does not fit now. */
static bool
stuck (const MuxSched *sched, const MuxClass *class)
{
  if (!mux_product_within_quota (sched, class, 1)
      && !mux_class_may_borrow (class))
    return true;
  return class->spec.kind == MUX_KIND_LONG_RUNNING
         && sched->index.shape[class->shape].fits.count == 0;
}

static double
forecast_share (const MuxSched *sched,
                const MuxClass *class,
                const Outlook *out,
                int64_t now_ms)
{
  MuxDim binding;

  if (stuck (sched, class))
    return waiting_share (class, 10 * HORIZON_MS, now_ms);
  if (class->urgent && class->spec.kind != MUX_KIND_LONG_RUNNING)
    return urgent_share (out, class->spec.start_within_ms);
  return waiting_share (class, drain_ms (out, &binding), now_ms);
}

static MuxRiskCause
dim_cause (MuxDim dim)
{
  static const MuxRiskCause causes[MUX_DIMS]
      = { MUX_RISK_CPU, MUX_RISK_MEMORY, MUX_RISK_ACCELS, MUX_RISK_SLOTS };

  return causes[dim];
}

/* The dimension that the class needs and of which the largest share is used. */
static MuxDim
scarcest (const MuxSched *sched, const MuxClass *class)
{
  MuxDim dim = MUX_DIM_SLOTS;
  double least = 0;

  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      double need = mux_size_dim (class->size, d);
      double used = sched->total[d] > 0
                        ? 1 - (double) sched->free[d] / sched->total[d]
                        : 1;

      if (need > 0 && used > least)
        {
          least = used;
          dim = (MuxDim) d;
        }
    }
  return dim;
}

static MuxRiskCause
cause_of (const MuxSched *sched, const MuxClass *class, const Outlook *out)
{
  MuxDim dim = scarcest (sched, class);
  double failing
      = sched->usable > 0 ? (double) sched->tripped / sched->usable : 0;
  double tasks = class->waiting > 0 ? class->waiting : 1;

  if (!mux_product_within_quota (sched, class, 1))
    return MUX_RISK_QUOTA;
  if (failing > 0 && out->urgent_tasks < sched->urgent_room_max
      && (1 - failing) * sched->urgent_room_max < out->urgent_tasks * 1.1)
    return MUX_RISK_WORKERS_FAILING;
  if (class->spec.kind == MUX_KIND_GANG && class->size.slots > 0
      && (double) sched->free[dim] >= tasks * mux_size_dim (class->size, dim))
    return MUX_RISK_GANG;
  if (!class->urgent)
    drain_ms (out, &dim);
  return dim_cause (dim);
}

static uint32_t
to_uint32 (double n)
{
  if (n <= 0)
    return 0;
  return n < UINT32_MAX ? (uint32_t) ceil (n) : UINT32_MAX;
}

/* Estimate of the capacity to add so that the forecast meets the target; for
 * urgent classes with two standard deviations of headroom. */
static MuxSize
shortfall_of (const MuxClass *class, const Outlook *out)
{
  double within = class->spec.start_within_ms;
  double more[MUX_DIMS];

  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      double size = mux_size_dim (class->size, d);
      double tasks = out->urgent_tasks + 2 * sqrt (out->urgent_tasks)
                     + out->urgent_waiting - out->urgent_capacity;

      more[d] = class->urgent ? size * tasks
                              : out->deferrable_work[d] / within
                                    - out->deferrable_room[d];
    }
  return (MuxSize){ to_uint32 (more[MUX_DIM_CPU]),
                    to_uint32 (more[MUX_DIM_MEM]),
                    to_uint32 (more[MUX_DIM_ACCELS]),
                    to_uint32 (more[MUX_DIM_SLOTS]) };
}

/* Recent share of starts within the promised wait; 1 if there were too few. */
static double
observed_share (const MuxClass *class)
{
  if (class->starts.fast < OBSERVED_RATE_MIN)
    return 1;
  return fmin (1, class->on_time.fast / class->starts.fast);
}

static MuxRisk
assess (const MuxSched *sched,
        const MuxClass *class,
        const Outlook *out,
        int64_t now_ms)
{
  double share = forecast_share (sched, class, out, now_ms);
  MuxRisk risk
      = { .target_ppm = class->spec.start_share_ppm,
          .queued = class->waiting,
          .p99_wait_ms = mux_hist_quantile (&class->wait_hist, 990000) };

  share = fmin (share, observed_share (class));
  mux_name_copy (risk.class_name, class->spec.name);
  risk.forecast_ppm = (uint32_t) (fmax (0, share) * PPM);
  risk.at_risk = risk.forecast_ppm < risk.target_ppm;
  if (risk.at_risk)
    {
      risk.cause = cause_of (sched, class, out);
      risk.shortfall = shortfall_of (class, out);
    }
  return risk;
}

static int
compare_risk (const void *a, const void *b)
{
  const MuxRisk *x = a;
  const MuxRisk *y = b;

  if (x->at_risk != y->at_risk)
    return x->at_risk ? -1 : 1;
  return strcmp (x->class_name, y->class_name);
}

uint32_t
mux_sched_risk (MuxSched *sched, int64_t now_ms, MuxRisk *out, uint32_t cap)
{
  Outlook outlook = outlook_of (sched);
  uint32_t n = 0;

  /* Two passes, so that classes at risk come first if @cap is too small. */
  for (int pass = 0; pass < 2; pass++)
    for (uint32_t i = 0; i < sched->classes && n < cap; i++)
      {
        const MuxClass *class = sched->class_at[i];
        MuxRisk risk;

        if (!class->configured)
          continue;
        risk = assess (sched, class, &outlook, now_ms);
        if (risk.at_risk == (pass == 0))
          out[n++] = risk;
      }
  qsort (out, n, sizeof *out, compare_risk);
  return n;
}
