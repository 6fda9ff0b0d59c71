#include "base/counters.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

/* Upper bounds of the histogram buckets, in ms; the last bucket has none. */
static const int64_t bucket_bound_ms[]
    = { 1,   2,    5,    10,   20,    50,    100,  200,
        500, 1000, 2000, 5000, 10000, 20000, 60000 };
#define BOUND_COUNT (sizeof bucket_bound_ms / sizeof bucket_bound_ms[0])
/* Those of speeds, in thousandths. */
static const int64_t bucket_bound_milli[BOUND_COUNT]
    = { 100,  200,  300,  400,  500,  600,  700, 850,
        1000, 1150, 1300, 1500, 2000, 3000, 5000 };
#define BUCKET_COUNT (BOUND_COUNT + 1)

struct MuxCounters
{
  atomic_uint_fast64_t counter[MUX_COUNTER_COUNT];
  atomic_uint_fast64_t gauge[MUX_GAUGE_COUNT];
  atomic_uint_fast64_t refused[MUX_REASON_COUNT];
  atomic_uint_fast64_t retry[MUX_REASON_COUNT];
  atomic_uint_fast64_t messages[MUX_TRAFFIC_COUNT][MUX_DIRECTION_COUNT];
  atomic_uint_fast64_t message_bytes[MUX_TRAFFIC_COUNT][MUX_DIRECTION_COUNT];
  atomic_uint_fast64_t bucket[MUX_HISTOGRAM_COUNT][BUCKET_COUNT];
  atomic_uint_fast64_t sum_ms[MUX_HISTOGRAM_COUNT];
};

typedef struct
{
  const char *name;
  const char *help;
} CounterInfo;

static const CounterInfo counter_info[MUX_COUNTER_COUNT] = {
#define COUNTER_INFO(symbol, name, help) [MUX_COUNT_##symbol] = { name, help },
  MUX_COUNTERS (COUNTER_INFO)
#undef COUNTER_INFO
};

static const CounterInfo gauge_info[MUX_GAUGE_COUNT] = {
#define GAUGE_INFO(symbol, name, help) [MUX_GAUGE_##symbol] = { name, help },
  MUX_GAUGES (GAUGE_INFO)
#undef GAUGE_INFO
};

static const CounterInfo histogram_info[MUX_HISTOGRAM_COUNT] = {
#define HISTOGRAM_INFO(symbol, name, help) [MUX_HIST_##symbol] = { name, help },
  MUX_HISTOGRAMS (HISTOGRAM_INFO)
#undef HISTOGRAM_INFO
};

static const char *const traffic_name[MUX_TRAFFIC_COUNT] = {
#define TRAFFIC_NAME(symbol, name) [MUX_TRAFFIC_##symbol] = (name),
  MUX_TRAFFIC_KINDS (TRAFFIC_NAME)
#undef TRAFFIC_NAME
};

static const char *const direction_name[MUX_DIRECTION_COUNT]
    = { [MUX_SENT] = "sent", [MUX_RECEIVED] = "received" };

MuxCounters *
mux_counters_new (void)
{
  return calloc (1, sizeof (MuxCounters));
}

void
mux_counters_free (MuxCounters *counters)
{
  free (counters);
}

static void
add (atomic_uint_fast64_t *value, uint64_t n)
{
  atomic_fetch_add_explicit (value, n, memory_order_relaxed);
}

static uint64_t
get (const atomic_uint_fast64_t *value)
{
  return atomic_load_explicit (value, memory_order_relaxed);
}

void
mux_count (MuxCounters *counters, MuxCounter counter, uint64_t n)
{
  add (&counters->counter[counter], n);
}

void
mux_count_refused (MuxCounters *counters, MuxReason reason)
{
  add (&counters->refused[reason], 1);
}

void
mux_count_retry (MuxCounters *counters, MuxReason reason)
{
  add (&counters->retry[reason], 1);
}

void
mux_count_message (MuxCounters *counters,
                   MuxTraffic kind,
                   MuxDirection direction,
                   uint64_t bytes)
{
  add (&counters->messages[kind][direction], 1);
  add (&counters->message_bytes[kind][direction], bytes);
}

uint64_t
mux_messages_value (const MuxCounters *counters,
                    MuxTraffic kind,
                    MuxDirection direction)
{
  return get (&counters->messages[kind][direction]);
}

uint64_t
mux_message_bytes_value (const MuxCounters *counters,
                         MuxTraffic kind,
                         MuxDirection direction)
{
  return get (&counters->message_bytes[kind][direction]);
}

void
mux_gauge_set (MuxCounters *counters, MuxGauge gauge, uint64_t value)
{
  atomic_store_explicit (&counters->gauge[gauge], value, memory_order_relaxed);
}

uint64_t
mux_gauge_value (const MuxCounters *counters, MuxGauge gauge)
{
  return get (&counters->gauge[gauge]);
}

uint64_t
mux_counter_value (const MuxCounters *counters, MuxCounter counter)
{
  return get (&counters->counter[counter]);
}

uint64_t
mux_refused_value (const MuxCounters *counters, MuxReason reason)
{
  return get (&counters->refused[reason]);
}

uint64_t
mux_retry_value (const MuxCounters *counters, MuxReason reason)
{
  return get (&counters->retry[reason]);
}

static const int64_t *
bounds_of (uint32_t histogram)
{
  return histogram == MUX_HIST_SPEED ? bucket_bound_milli : bucket_bound_ms;
}

void
mux_observe (MuxCounters *counters, MuxHistogram histogram, int64_t ms)
{
  const int64_t *bound = bounds_of (histogram);
  size_t i = 0;

  if (ms < 0)
    ms = 0;
  while (i < BOUND_COUNT && ms > bound[i])
    i++;
  add (&counters->bucket[histogram][i], 1);
  add (&counters->sum_ms[histogram], (uint64_t) ms);
}

/* Output buffer; @len also counts bytes that did not fit. */
typedef struct
{
  char *bytes;
  size_t cap;
  size_t len;
} Text;

static void __attribute__ ((format (printf, 2, 3)))
text_add (Text *text, const char *format, ...)
{
  size_t room = text->len < text->cap ? text->cap - text->len : 0;
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (room > 0 ? text->bytes + text->len : NULL, room, format, args);
  va_end (args);
  if (n > 0)
    text->len += (size_t) n;
}

static void
print_reasons (Text *text,
               const char *name,
               const char *help,
               const atomic_uint_fast64_t *values)
{
  text_add (text, "# HELP cuminmux_%s %s\n# TYPE cuminmux_%s counter\n", name,
            help, name);
  for (uint32_t i = 1; i < MUX_REASON_COUNT; i++)
    text_add (text, "cuminmux_%s{reason=\"%s\"} %" PRIu64 "\n", name,
              mux_reason_name ((MuxReason) i), get (&values[i]));
}

static void
print_traffic (Text *text,
               const char *name,
               const char *help,
               const atomic_uint_fast64_t values[][MUX_DIRECTION_COUNT])
{
  text_add (text, "# HELP cuminmux_%s %s\n# TYPE cuminmux_%s counter\n", name,
            help, name);
  for (uint32_t kind = 0; kind < MUX_TRAFFIC_COUNT; kind++)
    for (uint32_t to = 0; to < MUX_DIRECTION_COUNT; to++)
      text_add (text, "cuminmux_%s{verb=\"%s\",direction=\"%s\"} %" PRIu64 "\n",
                name, traffic_name[kind], direction_name[to],
                get (&values[kind][to]));
}

static void
print_plain (Text *text,
             const CounterInfo *info,
             const char *type,
             uint64_t value)
{
  text_add (text,
            "# HELP cuminmux_%s %s\n# TYPE cuminmux_%s %s\n"
            "cuminmux_%s %" PRIu64 "\n",
            info->name, info->help, info->name, type, info->name, value);
}

static void
print_histogram (Text *text, const MuxCounters *counters, uint32_t histogram)
{
  const char *name = histogram_info[histogram].name;
  uint64_t count = 0;

  text_add (text, "# HELP cuminmux_%s %s\n# TYPE cuminmux_%s histogram\n", name,
            histogram_info[histogram].help, name);
  for (size_t i = 0; i < BOUND_COUNT; i++)
    {
      count += get (&counters->bucket[histogram][i]);
      text_add (text, "cuminmux_%s_bucket{le=\"%" PRId64 "\"} %" PRIu64 "\n",
                name, bounds_of (histogram)[i], count);
    }
  count += get (&counters->bucket[histogram][BOUND_COUNT]);
  text_add (text,
            "cuminmux_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
            "cuminmux_%s_sum %" PRIu64 "\ncuminmux_%s_count %" PRIu64 "\n",
            name, count, name, get (&counters->sum_ms[histogram]), name, count);
}

size_t
mux_counters_print (const MuxCounters *counters, char *out, size_t cap)
{
  Text text = { out, cap, 0 };

  for (uint32_t i = 0; i < MUX_COUNTER_COUNT; i++)
    print_plain (&text, &counter_info[i], "counter",
                 get (&counters->counter[i]));
  for (uint32_t i = 0; i < MUX_GAUGE_COUNT; i++)
    print_plain (&text, &gauge_info[i], "gauge", get (&counters->gauge[i]));
  print_reasons (&text, "refused_total", "refusals by reason",
                 counters->refused);
  print_reasons (&text, "retries_total", "retries and fencings by reason",
                 counters->retry);
  print_traffic (&text, "traffic_messages_total",
                 "messages of the scheduler by kind", counters->messages);
  print_traffic (&text, "traffic_bytes_total", "their bytes",
                 counters->message_bytes);
  for (uint32_t i = 0; i < MUX_HISTOGRAM_COUNT; i++)
    print_histogram (&text, counters, i);
  return text.len;
}
