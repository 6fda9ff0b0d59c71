#ifndef CLI_VERB_H
#define CLI_VERB_H

#include "args.h"
#include "client.h"

#include <jansson.h>

typedef struct MuxCliCall MuxCliCall;

/**
 * struct MuxVerb - one verb of the command line
 * @group: first word
 * @name: second word, or NULL
 * @sort: kind of configuration object that it reads or changes, or NULL
 * @help: one-line description
 * @args: arguments besides the global options
 * @run: executes the verb and returns an enum MuxExit
 * @local: runs without a daemon
 */
typedef struct
{
  const char *group;
  const char *name;
  const char *sort;
  const char *help;
  MuxArgList args;
  int (*run) (MuxCliCall *call);
  bool local;
} MuxVerb;

/**
 * struct MuxCliCall - one execution of a verb
 * @host: process environment
 * @verb: the verb
 * @args: validated arguments
 * @servers: daemons to send requests to
 * @timeout_ms: time limit of a request
 * @json: print JSON
 */
struct MuxCliCall
{
  MuxCliHost *host;
  const MuxVerb *verb;
  MuxArgs args;
  MuxServers servers;
  uint32_t timeout_ms;
  bool json;
};

/* Terminated by an entry with a NULL group. */
extern const MuxVerb mux_verbs[];

int mux_verb_status (MuxCliCall *call);
int mux_verb_workers (MuxCliCall *call);
int mux_verb_risk (MuxCliCall *call);
int mux_verb_counters (MuxCliCall *call);
int mux_verb_history (MuxCliCall *call);
int mux_verb_config_get (MuxCliCall *call);
int mux_verb_config_list (MuxCliCall *call);
int mux_verb_config_rm (MuxCliCall *call);
int mux_verb_config_revert (MuxCliCall *call);
int mux_verb_class_set (MuxCliCall *call);
int mux_verb_product_set (MuxCliCall *call);
int mux_verb_cell_set (MuxCliCall *call);
int mux_verb_worker_drain (MuxCliCall *call);
int mux_verb_job_submit (MuxCliCall *call);
int mux_verb_job_show (MuxCliCall *call);
int mux_verb_job_wait (MuxCliCall *call);
int mux_verb_job_cancel (MuxCliCall *call);
int mux_verb_job_list (MuxCliCall *call);
int mux_verb_request (MuxCliCall *call);
int mux_verb_ticket (MuxCliCall *call);
int mux_verb_keygen (MuxCliCall *call);
int mux_verb_explain (MuxCliCall *call);
int mux_verb_report (MuxCliCall *call);
int mux_verb_speeds (MuxCliCall *call);

/** mux_call_read() - GET @path
 * @query: parameter; none if its name is NULL
 * @json: receives the response, owned by the caller; NULL on failure
 * Return: an enum MuxExit; failures are printed. */
int mux_call_read (MuxCliCall *call,
                   const char *path,
                   MuxHttpPair query,
                   uint32_t timeout_ms,
                   json_t **json);

/**
 * mux_call_read_all() - GET @path from every daemon, one after the other
 * @responses: receives an array of the responses, owned by the caller
 * @unanswered: receives an array of the addresses of daemons without response,
 *   owned by the caller; each is also printed with the cause
 * Return: an enum MuxExit; MUX_EXIT_LATER if only some daemons answered.
 */
int mux_call_read_all (MuxCliCall *call,
                       const char *path,
                       json_t **responses,
                       json_t **unanswered);

/**
 * mux_call_print_failure() - print a failure and what its response says
 * @retry_flag: flag and value with which the same command can be repeated to
 *   resolve an unknown outcome; a NULL name: none
 *
 * Return: @code
 */
int mux_call_print_failure (MuxCliCall *call,
                            int code,
                            const MuxCliResponse *response,
                            MuxHttpPair retry_flag);

/** mux_call_json() - parse the body of a response; prints an error if it is not
 * JSON Return: NULL if it is not JSON. */
json_t *mux_call_json (MuxCliCall *call, const MuxCliResponse *response);

/** mux_call_change() - send a configuration change, print its revision and,
 * with
 * --wait, wait until all reachable daemons have applied it
 * @change: method, path, query and body; the id and the author are added here
 * Return: an enum MuxExit; failures are printed. */
int mux_call_change (MuxCliCall *call, MuxCliRequest *change);

/** mux_findings_print() - print each finding on a line of its own */
void mux_findings_print (FILE *err, const MuxFindings *findings);

/** mux_wait_until_applied() - poll until all reachable daemons have applied
 * @revision, for at most --wait-ms
 * @unconfirmed: receives an array of the names of those that have not, owned by
 *   the caller
 * Return: whether all have applied it. */
bool mux_wait_until_applied (MuxCliCall *call,
                             json_int_t revision,
                             json_t **unconfirmed);

#endif
