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
 * @sort: sort of configured object that it deals with, or NULL
 * @help: one line
 * @args: its arguments besides the global ones
 * @run: does it and returns an enum MuxExit
 * @local: asks no daemon
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
 * struct MuxCliCall - one run of a verb
 * @host: the process around it
 * @verb: what is run
 * @args: its checked arguments
 * @servers: daemons to talk to
 * @timeout_ms: longest wait for an response
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

/* Closed by an entry without a group. */
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

/** mux_call_read() - GET @path with up to one parameter (@name may be NULL)
 * @json: receives the response, owned by the caller; NULL unless it is OK
 * Return: an enum MuxExit; what went wrong is printed. */
int mux_call_read (MuxCliCall *call,
                   const char *path,
                   MuxHttpPair query,
                   uint32_t timeout_ms,
                   json_t **json);

/**
 * mux_call_read_all() - GET @path from every daemon of the list, one by one
 * @responses: receives the responses, an array owned by the caller
 * @unanswered: receives the addresses of the others, likewise; each is also
 *   printed with what went wrong
 * Return: an enum MuxExit; MUX_EXIT_LATER when only a part answered.
 */
int mux_call_read_all (MuxCliCall *call,
                       const char *path,
                       json_t **responses,
                       json_t **unanswered);

/**
 * mux_call_print_failure() - print what an response that is not OK says
 * @retry_flag: the flag and value with which the same command settles an
 * unknown outcome; a NULL name: there is none Return: @code
 */
int mux_call_print_failure (MuxCliCall *call,
                            int code,
                            const MuxCliResponse *response,
                            MuxHttpPair retry_flag);

/** mux_call_json() - the body of an OK response; prints when it is no JSON */
json_t *mux_call_json (MuxCliCall *call, const MuxCliResponse *response);

/** mux_call_change() - send a change with its id and who makes it, print the
 * revision that it made and, if asked, wait until it is in force
 * @change: method, path, query and body; the rest is filled here */
int mux_call_change (MuxCliCall *call, MuxCliRequest *change);

/** mux_findings_print() - each finding on a line of its own */
void mux_findings_print (FILE *err, const MuxFindings *findings);

/** mux_wait_until_applied() - poll until every reachable daemon has @revision
 * @unconfirmed: receives the names of those that lack it, an array to be freed
 * Return: whether all have it. */
bool mux_wait_until_applied (MuxCliCall *call,
                             json_int_t revision,
                             json_t **unconfirmed);

#endif
