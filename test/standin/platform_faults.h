#ifndef STANDIN_PLATFORM_FAULTS_H
#define STANDIN_PLATFORM_FAULTS_H

#include "base/id.h"

#include <stdbool.h>
#include <stdint.h>

#define STANDIN_PLATFORM_CUTS_MAX 32

/**
 * struct StandinFaultPlan - the faults in force
 * @down: table and object store answer 503 without effect
 * @list_down: the instance list answers 503
 * @hang: calls to table and object store are held until this is cleared, and
 *   take effect then
 * @slow_ms: delay of each of these calls before it takes effect
 * @lose_next: number of writes still to take effect without a response
 * @lose_ppm: share of the writes that take effect without a response
 * @lose_seed: seed for the choice of these
 * @cut_count: used entries of @cut
 * @cut: names of data centres or instances whose connections are closed
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
 * enum StandinVerdict - whether a call is carried out
 */
typedef enum
{
  STANDIN_ADMIT,
  STANDIN_REFUSE, /* 503, no effect */
  STANDIN_CLOSE,  /* connection closed, no effect */
} StandinVerdict;

typedef struct StandinFaults StandinFaults;

/** standin_platform_faults_new() - without faults; NULL if out of memory */
StandinFaults *standin_platform_faults_new (void);
void standin_platform_faults_free (StandinFaults *faults);
void standin_platform_faults_get (StandinFaults *faults,
                                  StandinFaultPlan *plan);
void standin_platform_faults_set (StandinFaults *faults,
                                  const StandinFaultPlan *plan);
/** standin_platform_faults_stop() - ends all waits, before the server stops */
void standin_platform_faults_stop (StandinFaults *faults);
/** standin_platform_faults_silence_connections() - requests on connections open
 * now get no response any more */
void standin_platform_faults_silence_connections (StandinFaults *faults);
/**
 * standin_platform_faults_wait_held() - waits until @count calls are held
 * Return: false after @timeout_ms.
 */
bool standin_platform_faults_wait_held (StandinFaults *faults,
                                        uint32_t count,
                                        uint32_t timeout_ms);
/** standin_platform_faults_connection() - assigns a number to a new connection
 */
uint64_t standin_platform_faults_connection (StandinFaults *faults);

/**
 * standin_platform_faults_admit() - decides on a call, after its delays
 * @from: data centre and instance of the caller, "" if not given
 * @connection: number of its connection
 * @list: the call reads the instance list
 * @latency_ms: delay without any fault
 */
StandinVerdict standin_platform_faults_admit (StandinFaults *faults,
                                              const char *const from[2],
                                              uint64_t connection,
                                              bool list,
                                              uint32_t latency_ms);
/** standin_platform_faults_lose_reply() - whether the response to this write is
 * to be lost */
bool standin_platform_faults_lose_reply (StandinFaults *faults);
/** standin_platform_faults_counts() - numbers of calls refused, of connections
 * closed by @cut, and of responses lost */
void standin_platform_faults_counts (StandinFaults *faults,
                                     uint64_t *refused,
                                     uint64_t *cut,
                                     uint64_t *lost);

#endif
