#ifndef CLI_MERGE_H
#define CLI_MERGE_H

#include <jansson.h>

/**
 * mux_merge_workers() - merge daemons' lists of workers, one row per worker
 * @responses: array of responses to GET /v1/workers
 *
 * Takes the row of the daemon that holds the claim on the worker; if two
 * daemons report so during a handover, that with the higher epoch; if none
 * does, the first row.
 *
 * Return: an array owned by the caller.
 */
json_t *mux_merge_workers (const json_t *responses);

/**
 * mux_merge_risk() - merge daemons' lists of classes, one row per class
 * @responses: array of responses to GET /v1/risk
 *
 * Takes the row with the worst forecast, with the sum of the queue lengths and
 * the longest p99 wait; at risk if any daemon reports the class as at risk.
 *
 * Return: an array owned by the caller.
 */
json_t *mux_merge_risk (const json_t *responses);

/**
 * mux_merge_status() - add "not_live" to each daemon's status: the members that
 * the daemon does not consider live
 * @responses: array of responses to GET /v1/status, modified in place
 */
void mux_merge_status (json_t *responses);

#endif
