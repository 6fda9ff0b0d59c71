#include "internal.h"

#include <math.h>
#include <stdlib.h>

#define HORIZON_MS 60000.0
#define PPM 1e6
/* What others hold ends in time to be of use to urgent work within this. */
#define RELEASE_MS 5000.0
/* A smaller rise of the arrivals is taken for noise. */
#define RISE_MIN 0.15
/* Starts per ms under which what was seen lately says nothing. */
#define SEEN_RATE_MIN 0.002

const char *
mux_risk_cause_name (MuxRiskCause cause)
{
  static const char *const names[]
      = { "none", "quota",           "cpu",       "memory", "accels", "slots",
          "gang", "workers_failing", "store_down" };

  return names[cause];
}

/**
 * struct Outlook - what bears on the forecasts of all classes
 * @urgent_rate: urgent arrivals forecast, per ms
 * @urgent_tasks: of them running at once
 * @urgent_waiting: waiting now
 * @urgent_capacity: that could run at once as things are
 * @deferrable_work: resources times ms that the others wait for
 * @deferrable_room: resources left to the others
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

/* Arrivals go on rising as they do now. */
static double
rate_ahead (const MuxRate *rate)
{
  double rise = rate->fast - rate->slow;

  return rate->fast + (rise > RISE_MIN * rate->slow ? rise : 0);
}

static void
look_at_class (Outlook *out, const MuxClass *class)
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
look (const MuxSched *sched)
{
  Outlook out = { 0 };

  out.urgent_capacity
      = (double) sched->urgent_room + (double) sched->urgent_running;
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    out.deferrable_room[d] = (double) sched->total[d];
  for (uint32_t i = 0; i < sched->classes; i++)
    if (sched->class_at[i]->configured)
      look_at_class (&out, sched->class_at[i]);
  return out;
}

/*
 * Share of the next minute's urgent starts inside @within.  With less demand
 * than capacity the queue there is drains first; with more it grows until the
 * wait passes what was promised.
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
 * Share of the queue that starts in time when the queue takes @drain to serve
 * in order: the head has @head left, the tail all of @within, and those
 * between in proportion.
 */
static double
queue_share (double head, double within, double drain)
{
  double gain = within - head - drain;

  if (head >= 0)
    return gain >= -head ? 1 : head / -gain;
  return gain <= -head ? 0 : 1 + head / gain;
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

/* A quota that is used up, or tasks that never end, let nothing through that
 * does not fit now. */
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

/* The resource of which least is left, in proportion to what is needed. */
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
cut (double n)
{
  if (n <= 0)
    return 0;
  return n < UINT32_MAX ? (uint32_t) ceil (n) : UINT32_MAX;
}

/* Capacity with which the forecast would meet the target. */
static MuxSize
cure_of (const MuxClass *class, const Outlook *out)
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
  return (MuxSize){ cut (more[MUX_DIM_CPU]), cut (more[MUX_DIM_MEM]),
                    cut (more[MUX_DIM_ACCELS]), cut (more[MUX_DIM_SLOTS]) };
}

/* What was seen of late, where that is enough to say anything. */
static double
seen_share (const MuxClass *class)
{
  if (class->starts.fast < SEEN_RATE_MIN)
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

  share = fmin (share, seen_share (class));
  mux_name_copy (risk.class_name, class->spec.name);
  risk.forecast_ppm = (uint32_t) (fmax (0, share) * PPM);
  risk.at_risk = risk.forecast_ppm < risk.target_ppm;
  if (risk.at_risk)
    {
      risk.cause = cause_of (sched, class, out);
      risk.shortfall = cure_of (class, out);
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
  Outlook outlook = look (sched);
  uint32_t n = 0;

  /* Those at risk go first even when not all have room. */
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
