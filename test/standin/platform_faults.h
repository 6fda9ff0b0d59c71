#ifndef STANDIN_PLATFORM_FAULTS_H
#define STANDIN_PLATFORM_FAULTS_H

#include "base/id.h"

#include <stdbool.h>
#include <stdint.h>

#define STANDIN_PLATFORM_CUTS_MAX 32

/**
 * struct StandinFaultPlan - which faults are in force
 * @down: table and object store answer 503 without effect
 * @list_down: so does the instance list
 * @hang: calls of table and object store are held until this ends, and take
 *   effect then
 * @slow_ms: each of them waits this long before it takes effect
 * @lose_next: so many writes take effect and get no answer
 * @lose_ppm: share of the writes that get no answer
 * @lose_seed: seed of that choice
 * @cut_count: used entries of @cut
 * @cut: names of data centres or instances whose calls are not let in
 */
typedef struct
{
  bool down;
  bool list_down;
  bool hang;
  uint32_t slow_ms;
  uint32_t lose_next;
  uint32_t lose_ppm;
  uint64_t lose_seed;
  uint32_t cut_count;
  char cut[STANDIN_PLATFORM_CUTS_MAX][MUX_ADDR_LEN];
} StandinFaultPlan;

/**
 * enum StandinVerdict - what becomes of a call before it takes effect
 */
typedef enum
{
  STANDIN_LET_IN,
  STANDIN_REFUSE, /* 503, no effect */
  STANDIN_CLOSE,  /* connection closed, no effect */
} StandinVerdict;

typedef struct StandinFaults StandinFaults;

/** standin_platform_faults_new() - none in force; NULL: memory is out */
StandinFaults *standin_platform_faults_new (void);
void standin_platform_faults_free (StandinFaults *faults);
void standin_platform_faults_get (StandinFaults *faults,
                                  StandinFaultPlan *plan);
void standin_platform_faults_set (StandinFaults *faults,
                                  const StandinFaultPlan *plan);
/** standin_platform_faults_stop() - end all waits, for the end of the server */
void standin_platform_faults_stop (StandinFaults *faults);
/** standin_platform_faults_silence() - every connection open now goes silent */
void standin_platform_faults_silence (StandinFaults *faults);
/**
 * standin_platform_faults_wait_held() - wait until @count calls are held
 * Return: false when that takes longer than @timeout_ms.
 */
bool standin_platform_faults_wait_held (StandinFaults *faults,
                                        uint32_t count,
                                        uint32_t timeout_ms);
/** standin_platform_faults_connection() - number of a new connection */
uint64_t standin_platform_faults_connection (StandinFaults *faults);

/**
 * standin_platform_faults_admit() - judge a call and wait out its delays
 * @from: data centre and instance of the caller, "" when not told
 * @connection: number of its connection
 * @list: the call reads the instance list
 * @latency_ms: delay without any fault
 */
StandinVerdict standin_platform_faults_admit (StandinFaults *faults,
                                              const char *const from[2],
                                              uint64_t connection,
                                              bool list,
                                              uint32_t latency_ms);
/** standin_platform_faults_loses() - whether this write gets no answer */
bool standin_platform_faults_loses (StandinFaults *faults);
/** standin_platform_faults_counts() - calls refused or cut, answers lost */
void standin_platform_faults_counts (StandinFaults *faults,
                                     uint64_t *refused,
                                     uint64_t *cut,
                                     uint64_t *lost);

#endif
