#ifndef STANDIN_WORKER_FAULT_H
#define STANDIN_WORKER_FAULT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct StandinFaults - faults set by POST /ctl
 * @hang: calls are held, without effect, until cleared or for 60 s
 * @deaf: calls are cut without effect
 * @fail_all: every task fails within 10 ms
 * @leaving: starts are refused
 * @slow_ms: each answer is held so long, after its effect
 * @lose_answers: so many START answers are cut, after their effect
 */
typedef struct
{
  bool hang;
  bool deaf;
  bool fail_all;
  bool leaving;
  uint32_t slow_ms;
  uint32_t lose_answers;
} StandinFaults;

/** standin_worker_faults_read() - change what @json names
 * Return: false when a field is unknown or wrong; @faults is untouched. */
bool standin_worker_faults_read (const json_t *json, StandinFaults *faults);

#endif
