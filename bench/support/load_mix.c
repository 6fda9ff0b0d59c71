#include "bench/support/load.h"

/* Declared sizes and run times are wrong by up to four times either way. */

#define SPEC(n, k, idem, within, share, cpu, mem, run)                \
  .spec = { .name = n,                                                \
            .product = n,                                             \
            .kind = k,                                                \
            .idempotent = idem,                                       \
            .start_within_ms = within,                                \
            .start_share_ppm = share,                                 \
            .size = { .cpu_milli = cpu, .mem_mib = mem, .slots = 1 }, \
            .run_ms = run }

static const LoadMix hajar = {
  .name = "hajar",
  .workers = 50,
  .rack_size = 8,
  .capacity = { .cpu_milli = 32000, .mem_mib = 131072, .slots = 8 },
  .idle_ppm = 50000,
  .classes = 4,
  .class = {
    { SPEC ("booking", MUX_KIND_SERVICE, true, 100, 999000, 2000, 4096, 500),
      .cpu_milli = 1000, .mem_mib = 2048, .run_ms = 250, .weight = 0.30,
      .batch = 1, .give_up_ms = 2000 },
    { SPEC ("voucher", MUX_KIND_SERVICE, false, 50, 999000, 500, 512, 120),
      .cpu_milli = 1000, .mem_mib = 1024, .run_ms = 120, .weight = 0.10,
      .batch = 1, .give_up_ms = 2000 },
    { SPEC ("settle", MUX_KIND_BATCH, true, 120000, 950000, 1500, 8192, 5000),
      .cpu_milli = 6000, .mem_mib = 8192, .run_ms = 20000, .weight = 0.35,
      .batch = 60, .give_up_ms = 600000 },
    { SPEC ("dawn", MUX_KIND_GANG, true, 60000, 900000, 4000, 49152, 30000),
      .cpu_milli = 2000, .mem_mib = 32768, .run_ms = 15000, .weight = 0.25,
      .batch = 12, .gang = true, .give_up_ms = 600000 },
  },
};

static const LoadMix gridwatch = {
  .name = "gridwatch",
  .workers = 50,
  .rack_size = 8,
  .capacity = { .cpu_milli = 64000, .mem_mib = 131072, .slots = 8 },
  .idle_ppm = 150000,
  .classes = 4,
  .class = {
    { SPEC ("report", MUX_KIND_SERVICE, false, 30, 999000, 1000, 512, 40),
      .cpu_milli = 2000, .mem_mib = 1024, .run_ms = 80, .weight = 0.35,
      .batch = 1, .give_up_ms = 1000 },
    { SPEC ("ack", MUX_KIND_SERVICE, true, 20, 999000, 4000, 4096, 120),
      .cpu_milli = 1000, .mem_mib = 1024, .run_ms = 30, .weight = 0.10,
      .batch = 1, .give_up_ms = 1000 },
    { SPEC ("cluster", MUX_KIND_BATCH, true, 60000, 950000, 16000, 16384,
            20000),
      .cpu_milli = 8000, .mem_mib = 16384, .run_ms = 10000, .weight = 0.30,
      .batch = 40, .give_up_ms = 600000 },
    { SPEC ("restore", MUX_KIND_GANG, true, 45000, 900000, 4000, 6144, 3000),
      .cpu_milli = 8000, .mem_mib = 24576, .run_ms = 12000, .weight = 0.25,
      .batch = 8, .gang = true, .give_up_ms = 600000 },
  },
};

const LoadMix *
load_mix_hajar (void)
{
  return &hajar;
}

const LoadMix *
load_mix_gridwatch (void)
{
  return &gridwatch;
}
