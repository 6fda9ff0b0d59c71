#ifndef CLI_MERGE_H
#define CLI_MERGE_H

#include <jansson.h>

/**
 * mux_merge_workers() - one row for each worker, from many daemons' responses
 * @responses: array of responses to GET /v1/workers
 *
 * The row is that of the daemon that holds the worker; while it changes hands
 * and two say so, that of the higher epoch.  Of a worker that none holds it
 * is the first row met.
 *
 * Return: an array owned by the caller.
 */
json_t *mux_merge_workers (const json_t *responses);

/**
 * mux_merge_risk() - one row for each class, from many daemons' responses
 * @responses: array of responses to GET /v1/risk
 *
 * The row is that with the worst forecast; the queues are added up, the
 * longest p99 is kept, and it is at risk if any daemon says so.
 *
 * Return: an array owned by the caller.
 */
json_t *mux_merge_risk (const json_t *responses);

/**
 * mux_merge_status() - one row for each daemon, as it sees itself
 * @responses: array of responses to GET /v1/status; "not_live" is added to
 * each, the members that it doesn't hear
 */
void mux_merge_status (json_t *responses);

#endif
