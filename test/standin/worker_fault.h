#ifndef STANDIN_WORKER_FAULT_H
#define STANDIN_WORKER_FAULT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct StandinWorkerFaults - faults set by POST /ctl
 * @hang: calls are held, without effect, until this is cleared or for 60 s
 * @cut_calls: connections are closed without effect ("deaf" in JSON)
 * @fail_all: every task fails within 10 ms
 * @leaving: starts are refused
 * @slow_ms: delay of each response, after the effect
 * @lose_answers: number of STARTs still to take effect without a response
 */
typedef struct
{
  bool hang;
  bool cut_calls;
  bool fail_all;
  bool leaving;
  uint32_t slow_ms;
  uint32_t lose_answers;
} StandinWorkerFaults;

/** standin_worker_faults_read() - changes the fields that @json names
 * Return: false if a field is unknown or invalid; @faults is unchanged then. */
bool standin_worker_faults_read (const json_t *json,
                                 StandinWorkerFaults *faults);

#endif
