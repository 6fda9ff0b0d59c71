#ifndef CELL_CELL_PRIVATE_H
#define CELL_CELL_PRIVATE_H

#include "cell_types.h"
#include "gang_types.h"

/* call.c: calls and their replies. */
/** cell_message() - a message to daemon @to with the sender's fields filled in
 */
MuxPeerMsg cell_message (const MuxCell *cell, MuxPeerVerb verb, const char *to);
/** cell_peer_request_id() - the id under which a caller's request is relayed to
 * a peer; no other process uses it */
uint64_t cell_peer_request_id (const MuxCell *cell, uint64_t request_id);
/** cell_peer_request_caller() - the caller's request that a peer request was
 * made for */
uint64_t cell_peer_request_caller (const MuxCell *cell,
                                   uint64_t peer_request_id);
bool cell_call (MuxCell *cell, MuxCellCall *call, const CellPending *pending);
/** cell_reply_received() - processes a reply, which stays the caller's */
void cell_reply_received (MuxCell *cell, MuxCellReply *reply);
/** cell_call_abandon() - ignores the call's reply */
void cell_call_abandon (MuxCell *cell, uint64_t call_id);
void cell_store_result (MuxCell *cell, const MuxCellReply *reply);
/** cell_store_timed_out() - the store has not answered since @since_ms */
void cell_store_timed_out (MuxCell *cell, int64_t since_ms);
bool cell_store_available (const MuxCell *cell);
/** cell_store_time_ms() - upper bound of the store's clock @in_ms from now
 * Return: 0: the store's clock is not known. */
int64_t cell_store_time_ms (const MuxCell *cell, int64_t in_ms);
uint32_t cell_part_of (const char *id);
MuxCellChange *cell_call_add_change (MuxCellCall *call,
                                     MuxChangeKind kind,
                                     MuxCellTable table,
                                     const char *key);
/** cell_scan_call() - reads a part of a table from its first row
 * Return: NULL if out of memory, as cell_commit_call() and cell_call() do. */
MuxCellCall *cell_scan_call (MuxCellTable table, const char *part);
/** cell_commit_call() - an empty commit with space for @changes changes */
MuxCellCall *cell_commit_call (const char *part, uint32_t changes);
/** cell_call_expect() - the commit fails unless the row has @version; 0:
 * unless it does not exist */
void cell_call_expect (MuxCellCall *call,
                       MuxCellTable table,
                       const char *key,
                       uint64_t version);
/** cell_key_after() - the smallest key greater than @key, to continue a scan
 * from */
void cell_key_after (char next[MUX_ROW_NAME_LEN], const char *key);
/** cell_blob_from_json() - serializes @json and drops the reference
 * Return: NULL if out of memory. */
MuxBlob *cell_blob_from_json (json_t *json);
json_t *cell_json_from_blob (const MuxBlob *blob);
/** cell_commit_bytes() - upper bound of the size of a commit as it is sent */
size_t cell_commit_bytes (const MuxCellCall *call);
void cell_log (MuxCell *cell, const char *event, const char *format, ...);

/* proxy.c: calls to workers made by other daemons for the planner */
/** cell_worker_call() - calls the worker, through a proxy or directly */
bool cell_worker_call (MuxCell *cell,
                       CellWorker *worker,
                       MuxCellCall *call,
                       const CellPending *pending);
/** cell_worker_reroute() - after an unanswered call: calls the worker directly
 * or through another proxy for a while */
void cell_worker_reroute (MuxCell *cell, CellWorker *worker);
void cell_proxy_peer (MuxCell *cell, const MuxPeerMsg *msg);
void cell_proxy_tick (MuxCell *cell);
/** cell_uses_proxies() - whether the cell has enough workers to proxy calls */
bool cell_uses_proxies (const MuxCell *cell);

/* orders.c: orders to workers, and the connections that they cost */
/* First back-off of a worker that refused a start as unhealthy or did not
 * answer it.  The next run of a gang comes after a second or later, once all
 * members of this one have stopped. */
#define CELL_BACKOFF_MIN_MS 1000
/* The first one after a start that found no connection to the worker. */
#define CELL_NO_CONNECTION_BACKOFF_MS 300
/** cell_worker_back_off() - no task is placed at the worker for a time, which
 * is doubled until it accepts a start
 * @min_ms: the first such time */
void
cell_worker_back_off (const MuxCell *cell, CellWorker *worker, int64_t min_ms);
/** cell_connections_max() - connections of this daemon that a worker may have
 * open
 * @worker: NULL: the call is made for the planner, whose worker is not known
 *   here */
uint32_t cell_connections_max (const MuxCell *cell, const CellWorker *worker);
/** cell_connections_limit() - sets the limits of connections of a call
 * @worker: see cell_connections_max() */
void cell_connections_limit (const MuxCell *cell,
                             const CellWorker *worker,
                             MuxCellCall *call);
/** cell_order_sent() - a call of @verb was sent to the worker */
void cell_order_sent (MuxCell *cell, CellWorker *worker, MuxCellVerb verb);
/** cell_order_replied() - a call to a worker was answered, or given up */
void cell_order_replied (MuxCell *cell,
                         const CellPending *entry,
                         const MuxCellReply *reply);
/** cell_order_is_allowed() - whether an order about a run that was started may
 * be sent to the worker now */
bool cell_order_is_allowed (const MuxCell *cell, const CellWorker *worker);

/* pending.c: calls whose replies are awaited */
/** cell_pending_add() - records @call, which is about to be sent
 * Return: NULL if out of memory. */
CellPending *cell_pending_add (MuxCell *cell,
                               const CellPending *pending,
                               const MuxCellCall *call);
/** cell_pending_find() - Return: NULL: it has ended */
CellPending *cell_pending_find (MuxCell *cell, uint64_t call_id);
/** cell_pending_take() - removes an entry, which the caller frees */
void cell_pending_take (MuxCell *cell, CellPending *entry);
void cell_pending_remove (MuxCell *cell, CellPending *entry);
void cell_pending_free (MuxCell *cell);
/** cell_pending_tick() - ends calls that are past their time
 * @paused_ms: time since the last event was processed */
void cell_pending_tick (MuxCell *cell, int64_t paused_ms);

/* proxy_wire_heads.c */
/** cell_msgpack_heads_valid() - whether no array or text of the bytes names
 * more than is there, and all are of types that proxy_wire.c writes */
bool cell_msgpack_heads_valid (const MuxBlob *blob);
/* proxy_wire.c: proxied calls and replies as bytes; all return NULL if out of
 * memory or the bytes are malformed */
MuxBlob *cell_proxied_call_encode (const MuxCellCall *call);
MuxCellCall *cell_proxied_call_decode (const MuxBlob *blob);
/** cell_proxied_reply_encode()
 * @whole: the planner takes texts that are not short, see
 *   cell_proxied_call_takes_whole(); false: they are left out */
MuxBlob *cell_proxied_reply_encode (const MuxCellReply *reply, bool whole);
/** cell_proxied_reply_decode()
 * @whole: set to whether its texts are whole, and so the proxy takes calls with
 *   texts that are not short */
MuxCellReply *
cell_proxied_reply_decode (const MuxBlob *blob, uint64_t call_id, bool *whole);
/** cell_proxied_call_is_short() - daemons of the previous protocol carry it
 * whole */
bool cell_proxied_call_is_short (const MuxCellCall *call);
/** cell_proxied_call_takes_whole() - the planner that made the call takes texts
 * that are not short in its reply */
bool cell_proxied_call_takes_whole (const MuxCellCall *call);

/* bad_row.c: rows of the store that can't be read */
/**
 * enum CellRowFault - why a row can't be read
 */
typedef enum
{
  CELL_ROW_BAD_KEY,   /* key or part is invalid for the table */
  CELL_ROW_BAD_VALUE, /* value is missing or not in the table's format */
  CELL_ROW_BAD_FIELD, /* a field is missing, of another type or out of range */
} CellRowFault;

/** cell_table_name() - for the log */
const char *cell_table_name (MuxCellTable table);
/** cell_report_bad_row() - logs and counts a row that is ignored, once per
 * version of it
 * @what: name of the field or part of the row that is wrong */
void cell_report_bad_row (MuxCell *cell,
                          const MuxCellRow *row,
                          CellRowFault fault,
                          const char *what);
/** cell_row_json() - parses the row's value
 * Return: NULL if the row was removed, or is malformed and has been reported.
 */
json_t *cell_row_json (MuxCell *cell, const MuxCellRow *row);
/** cell_reply_find_row() - the row with that key; NULL: none */
const MuxCellRow *cell_reply_find_row (const MuxCellReply *reply,
                                       const char *key);
/** cell_next_page() - sets @from to the first key of the page after @reply
 * Return: false, with @from empty, if this was the last page. */
bool cell_next_page (char from[MUX_ROW_NAME_LEN], const MuxCellReply *reply);
void cell_bad_rows_free (MuxCell *cell);

/* service.c: pools of workers that queues name */
/** cell_service_add() - records a pool; "" is ignored */
void cell_service_add (MuxCell *cell, const char *name);
/** cell_service_is_known() - whether a pool of that hash was recorded */
bool cell_service_is_known (const MuxCell *cell, uint64_t hash);
void cell_services_free (MuxCell *cell);

/* feed.c */
void cell_feed_tick (MuxCell *cell, CellFeed *feed);
void cell_feed_start (CellFeed *feed, uint64_t term, uint64_t version);
/** cell_feed_is_fresh() - the table's copy is no older than allowed */
bool cell_feed_is_fresh (const MuxCell *cell, const CellFeed *feed);

/* start_gate.c: starts wait while cancels may be unknown */
/** cell_start_gate_begin() - as this daemon begins to plan */
void cell_start_gate_begin (MuxCell *cell);
/** cell_start_gate_feed() - a feed was answered; for others than that of jobs
 * this does nothing */
void cell_start_gate_feed (MuxCell *cell,
                           const CellFeed *feed,
                           const MuxCellReply *reply);
/** cell_start_gate_feed_lost() - likewise, for a call without a reply */
void cell_start_gate_feed_lost (MuxCell *cell, const CellFeed *feed);
/** cell_start_gate_order() - a worker answered, or a call to it was lost */
void cell_start_gate_order (MuxCell *cell,
                            const CellPending *pending,
                            const MuxCellReply *reply);
/** cell_starts_are_allowed() - a task that is started now can be stopped within
 * the bound if an unknown cancel of its job was acknowledged */
bool cell_starts_are_allowed (const MuxCell *cell);
/** cell_cancel_stop_ms() - estimated time from such a cancel to the stop */
int64_t cell_cancel_stop_ms (const MuxCell *cell);
/** cell_jobs_feed_wait_ms() - how long the next call of the feed of jobs waits
 * for changes, @usual_ms unless its knowledge is old */
uint32_t cell_jobs_feed_wait_ms (const MuxCell *cell, uint32_t usual_ms);
/** cell_starts_held_ms() - how long starts have been held back
 * Return: 0: they are not, or the store fails, and jobs are refused for that.
 */
int64_t cell_starts_held_ms (const MuxCell *cell);
/** cell_start_gate_tick() - logs when starts are held back or resumed */
void cell_start_gate_tick (MuxCell *cell);

/* traffic.c: what a planner with a full link or processor leaves out */
/** cell_planner_capacity_milli() - smallest ratio of what this instance has to
 * what planning needs, at most 1000 */
uint32_t cell_planner_capacity_milli (const MuxCell *cell);
/** cell_traffic_begin() - as this daemon begins to plan */
void cell_traffic_begin (MuxCell *cell);
/** cell_traffic_tick() - adapts the limit */
void cell_traffic_tick (MuxCell *cell);
/** cell_traffic_names() - how many of @wanted workers a query or row names for
 * @tasks waiting tasks */
uint32_t
cell_traffic_names (const MuxCell *cell, uint32_t wanted, uint32_t tasks);
/** cell_traffic_allows_ahead() - queries may be sent ahead of time */
bool cell_traffic_allows_ahead (const MuxCell *cell);
/** cell_traffic_busy_pause_ms() - pause before a worker with runs is polled
 * again */
int64_t cell_traffic_busy_pause_ms (const MuxCell *cell);
/** cell_traffic_idle_pause_ms() - likewise for one without, beside the usual
 * one */
int64_t cell_traffic_idle_pause_ms (const MuxCell *cell);

/* late.c: overload of the planner */
/** cell_reply_latency_record() - adds the call that a worker has just answered
 * to the mean */
void cell_reply_latency_record (MuxCell *cell, const CellPending *pending);
/** cell_reply_latency_ms() - mean latency of the last proxied calls
 * Return: 0: there were too few lately. */
int64_t cell_reply_latency_ms (const MuxCell *cell);
/** cell_late_ms() - how long events wait here until they are processed */
int64_t cell_late_ms (const MuxCell *cell);
/** cell_reported_late_ms() - the larger of this and of how long starts have
 * been held back, as other daemons are told */
int64_t cell_reported_late_ms (const MuxCell *cell);
/** cell_planner_late_ms() - the same at the planner
 * Return: 0: it has not been heard from lately. */
int64_t cell_planner_late_ms (const MuxCell *cell);
/** cell_accepts_jobs() - the planner is not too late for new jobs */
bool cell_accepts_jobs (const MuxCell *cell);
/** cell_late_tick() - logs and measures how late the planner is */
void cell_late_tick (MuxCell *cell);

/* admit.c: admission of new jobs */
/** cell_admission_placed() - record that a task of the stage was started */
void cell_admission_placed (MuxCell *cell, const CellStage *stage);
/** cell_admission_accepted() - count a job that the planner is about to
 * store */
void cell_admission_accepted (MuxCell *cell, const MuxJobSpec *spec);
/** cell_admission_tick() - count the planner's backlog if it is time */
void cell_admission_tick (MuxCell *cell);
/** cell_admission_blob() - the message about expected waits for other daemons
 * Return: a reference; NULL when out of memory. */
MuxBlob *cell_admission_blob (MuxCell *cell);
/** cell_admission_blob_reset() - drop the message kept for reuse, as a term
 * begins */
void cell_admission_blob_reset (MuxCell *cell);
/** cell_throttle_retry_ms() - retry delay of a job for which the planner has no
 * capacity; 0: the job is accepted */
uint32_t cell_throttle_retry_ms (const MuxCell *cell, const MuxJobSpec *spec);
/** cell_admission_receive() - apply expected waits sent by the planner, in a
 * message or beside its heartbeat; @body is NULL: it accepts all jobs */
void cell_admission_receive (MuxCell *cell, const MuxBlob *body);
/** cell_admission_retry_ms() - retry delay of a job that would start too late;
 * 0: the job is accepted */
uint32_t cell_admission_retry_ms (const MuxCell *cell, const MuxJobSpec *spec);
/** cell_planner_is_overloaded() - whether the planner is alive and does not
 * answer because of its load */
bool cell_planner_is_overloaded (const MuxCell *cell);

/* workspace_shares.c: fair shares of workspaces */
/** cell_shares_count() - count what workspaces use and wait for, and class the
 * waiting stages by it */
void cell_shares_count (MuxCell *cell);
/** cell_shares_accepted() - count a job of @work core-milliseconds that the
 * planner is about to store */
void cell_shares_accepted (MuxCell *cell, const MuxJobSpec *spec, int64_t work);
/** cell_share_class_of_new() - class of a stage that has become ready */
uint32_t cell_share_class_of_new (const MuxCell *cell, const CellStage *stage);
/** cell_shares_wait_ms() - expected wait of a new job by its workspace's share;
 * -1: shares do not limit its pool */
int64_t cell_shares_wait_ms (const MuxCell *cell, const MuxJobSpec *spec);
/** cell_share_refusal() - why a job was refused whose wait is too long, for the
 * log; counts those beyond their workspace's share */
const char *cell_share_refusal (MuxCell *cell, const MuxJobSpec *spec);
/** cell_shares_json() - the expected waits for other daemons */
json_t *cell_shares_json (const MuxCell *cell);
/** cell_shares_receive() - apply the expected waits that the planner sent;
 * NULL: it sent none, and shares limit nothing */
void cell_shares_receive (MuxCell *cell, const json_t *list);

/* authorize.c: callers and their keys */
/** cell_config_age_ms() - time since the configuration was last confirmed as
 * the newest; INT64_MAX: never */
int64_t cell_config_age_ms (const MuxCell *cell);
/** cell_config_confirmed() - the store held no newer configuration at @at_ms */
void cell_config_confirmed (MuxCell *cell, int64_t at_ms);
/** cell_keys_are_fresh() - API keys can be checked, and for some time to come
 */
bool cell_keys_are_fresh (const MuxCell *cell);
/** cell_keys_tick() - logs when checking of API keys starts or stops */
void cell_keys_tick (MuxCell *cell);
/** cell_authorize() - identifies the caller by the request's API key
 * Return: ACCEPTED with @caller filled in, else the outcome to answer with. */
MuxResponseOutcome cell_authorize (MuxCell *cell,
                                   const MuxRequest *request,
                                   const MuxQueueSpec *queue,
                                   CellCaller *caller);
/** cell_caller_may_see() - whether the caller may see jobs of @workspace; "":
 * jobs of no workspace */
bool cell_caller_may_see (const CellCaller *caller, const char *workspace);
/** cell_row_is_visible_to() - whether the row of a job, or of its end, belongs
 * to no other workspace */
bool cell_row_is_visible_to (const MuxCellRow *row, const CellCaller *caller);

/* quota.c: quotas of workspaces */
/** cell_workspace_get() - the workspace of that name, created if it is new
 * Return: NULL for "" or when out of memory. */
CellWorkspace *cell_workspace_get (MuxCell *cell, const char *name);
/** cell_workspaces_configure() - apply the quotas of the current
 * configuration */
void cell_workspaces_configure (MuxCell *cell);
void cell_workspaces_free (MuxCell *cell);
/** cell_quota_charge() - count a run of the stage that may hold room from now
 * on */
void cell_quota_charge (const CellStage *stage);
void cell_quota_release (const CellStage *stage);
/** cell_quota_tasks_allowed() - number of tasks of the stage that may start now
 * beside what its workspace has running, or may have */
uint32_t cell_quota_tasks_allowed (const MuxCell *cell, const CellStage *stage);
/** cell_quota_reserve() - a gang has too little quota: other stages of its
 * workspace leave it what becomes free */
void cell_quota_reserve (const MuxCell *cell, const CellStage *stage);
/** cell_quota_unreserve() - the stage no longer waits for quota */
void cell_quota_unreserve (const CellStage *stage);
/** cell_quota_tick() - count the runs that predecessors may have started */
void cell_quota_tick (MuxCell *cell);
/** cell_quota_never_fits() - whether a task of the job, or a gang, exceeds the
 * configured quota by itself */
bool cell_quota_never_fits (const MuxCell *cell, const MuxJobSpec *spec);

/* submit.c, job_query.c: requests of callers */
/** cell_submit() - takes the job of @request, which is answered later */
void cell_submit (MuxCell *cell, MuxRequest *question);
/** cell_submission_enqueue() - relays, commits or refuses; takes @submission
 * over */
void cell_submission_enqueue (MuxCell *cell, CellSubmission *submission);
/** cell_submissions_end_overdue() - ends submissions that are out of time */
void cell_submissions_end_overdue (MuxCell *cell, CellPart *part);
/** cell_submissions_commit() - sends the next commit of the part's submissions,
 * unless one is outstanding */
void cell_submissions_commit (MuxCell *cell, CellPart *part);
/** cell_submission_end() - answers whoever waits for it and frees it
 * @why: for the log */
void cell_submission_end (MuxCell *cell,
                          CellPart *part,
                          CellSubmission *submission,
                          MuxResponseOutcome outcome,
                          const char *why);
void cell_submit_tick (MuxCell *cell);
void cell_submit_free (MuxCell *cell);
/** cell_job_query_begin() - answers a query or cancel, at once or after calls
 * @id: "": asks for the number of waiting jobs of @queue */
void cell_job_query_begin (MuxCell *cell,
                           const MuxRequest *request,
                           const CellCaller *caller,
                           const MuxQueueSpec *queue,
                           const char *id);
void cell_job_queries_tick (MuxCell *cell);
void cell_job_queries_free (MuxCell *cell);
/** cell_job_query_peer() - handles a query of a peer or the reply to one */
void cell_job_query_peer (MuxCell *cell, const MuxPeerMsg *msg);
/** cell_respond() - responds to the request of a caller */
void
cell_respond (MuxCell *cell, uint64_t request_id, MuxResponseOutcome outcome);
/** cell_respond_state() - responds with the state of a job */
void cell_respond_state (MuxCell *cell, uint64_t request_id, MuxJobState state);
/** cell_job_state() - state of a job in the planner's memory
 * Return: false: not known here, or not visible to @caller. */
bool cell_job_state (MuxCell *cell,
                     const CellCaller *caller,
                     const char *id,
                     MuxJobState *state);

/* queue_count.c: waiting jobs by queue */
/** cell_queue_count_update() - after a change of a job in MuxCell.jobs */
void cell_queue_count_update (MuxCell *cell, CellJob *job);
/** cell_queue_count_remove() - the job is removed */
void cell_queue_count_remove (MuxCell *cell, CellJob *job);
/** cell_queue_waiting() - number of jobs of the queue that wait */
uint32_t cell_queue_waiting (const MuxCell *cell, const char *queue);

/* relay.c: jobs relayed to the planner */
/** cell_planner_is_reachable() - another daemon is the planner and has replied
 * lately */
bool cell_planner_is_reachable (const MuxCell *cell);
bool cell_relay (MuxCell *cell, CellSubmission *submission);
void cell_relay_reply (MuxCell *cell,
                       const CellPart *part,
                       const CellSubmission *submission,
                       MuxResponseOutcome outcome,
                       const char *why);
void cell_relay_tick (MuxCell *cell, CellPart *part);
void cell_relay_peer (MuxCell *cell, const MuxPeerMsg *msg);

/* claim_rows.c */
/** cell_claim_read() - parses the claim's row */
void cell_claim_read (MuxCell *cell, CellClaim *claim, const MuxCellRow *row);
/** cell_next_claim() - the row of the next claim, with this daemon as holder */
json_t *cell_next_claim (const MuxCell *cell);

/* claim_delay.c: how long a daemon lets others claim first */
/** cell_is_successor() - the claim was released, and names this daemon */
bool cell_is_successor (const MuxCell *cell);
/** cell_ability_delay_ms() - delay for what this instance lacks of the need */
int64_t cell_ability_delay_ms (const MuxCell *cell);
/** cell_claim_delay_ms() - that and a jitter */
int64_t cell_claim_delay_ms (const MuxCell *cell);

/* handover_rows.c: the last handovers in the claim's row */
/** cell_handovers_read() - adds those in @claim; NULL: none */
void cell_handovers_read (const MuxCell *cell,
                          MuxHandovers *handovers,
                          const json_t *claim);
/** cell_handovers_to_json() - Return: NULL if out of memory. */
json_t *cell_handovers_to_json (const MuxCell *cell,
                                const MuxHandovers *handovers);

/* claim.c: leader election */
void cell_claim_tick (MuxCell *cell);
void cell_claim_row (MuxCell *cell, const MuxCellRow *row);
void cell_claim_full_read (MuxCell *cell, bool ended);
void cell_claim_peer (MuxCell *cell, const MuxPeerMsg *msg);
void cell_step_down (MuxCell *cell, const char *why);
/** cell_write_claim() - writes the claim's row if it is still the version
 * known; takes over @value; the pending call's context is the term */
bool cell_write_claim (MuxCell *cell, json_t *value, CellReplyHandler on_reply);
/** cell_claim_check() - reads the claim, and takes it if its holder is gone or
 * is this daemon */
void cell_claim_check (MuxCell *cell);

/* heartbeat.c: heartbeats and checks of the planner's claim */
/** cell_heartbeat_begin() - a term begins */
void cell_heartbeat_begin (MuxCell *cell);
/** cell_heartbeat_tick() - renews and checks the claim
 * @paused_ms: time since the last event was processed */
void cell_heartbeat_tick (MuxCell *cell, int64_t paused_ms);
void cell_claim_doubt (MuxCell *cell, const char *why);
bool cell_is_active_planner (const MuxCell *cell);
/** cell_jobs_full_read() - all jobs are read again from now on (not @ended),
 * or have been */
void cell_jobs_full_read (MuxCell *cell, bool ended);
/** cell_claim_verified() - the claim was certainly ours at @at_ms */
void cell_claim_verified (MuxCell *cell, int64_t at_ms);
/** cell_claim_renewed() - the same by a commit that a successor has seen, or
 * that keeps it from claiming */
void cell_claim_renewed (MuxCell *cell, int64_t at_ms);

/* planner_need.c: the need of planning, and who meets it */
/** cell_need_job_accepted() - this planner is about to store a job */
void cell_need_job_accepted (MuxCell *cell);
/** cell_need_tick() - computes the need if it is time; for the planner */
void cell_need_tick (MuxCell *cell);
/** cell_need_json() - for the admission blob
 * Return: NULL if out of memory. */
json_t *cell_need_json (const MuxCell *cell);
/** cell_need_receive() - takes the need from the planner's admission blob */
void cell_need_receive (MuxCell *cell, const json_t *blob);
/** cell_own_ability_milli() - how much of the need this instance meets, in
 * thousandths */
uint32_t cell_own_ability_milli (const MuxCell *cell);
uint32_t cell_member_ability_milli (const MuxCell *cell,
                                    const CellMember *member);

/* handover.c: handing the claim to another daemon */
void cell_yield_begin (MuxCell *cell);
/** cell_yield_tick() - hands over to a member that plans better */
void cell_yield_tick (MuxCell *cell);
void cell_release_claim (MuxCell *cell);
/** cell_release_timeout_ms() - how long the reply to a release is awaited */
uint32_t cell_release_timeout_ms (const MuxCell *cell);

/* member.c: the daemons that send hellos to the planner */
CellMember *cell_member_find (MuxCell *cell, const char *name);
/** cell_member_new() - for a daemon's first hello, or this daemon
 * Return: NULL if out of memory. */
CellMember *cell_member_new (MuxCell *cell, const char *name);
/** cell_member_set_query() - the member runs approval query @number; 0: none */
void cell_member_set_query (MuxCell *cell, CellMember *member, uint64_t number);
/** cell_member_hello_received() - records what a hello says
 * Return: false if it is older than the last one taken, or out of memory. */
bool cell_member_hello_received (MuxCell *cell, const MuxPeerMsg *hello);
void cell_members_free (MuxCell *cell);

/* time_of_day.c: the cell's common wall clock */
/** cell_set_time() - sets the time of the event being processed */
void cell_set_time (MuxCell *cell, MuxCellTime time);
/** cell_member_set_wall_time() - the member's wall clock; 0: not sent */
void cell_member_set_wall_time (const MuxCell *cell,
                                CellMember *member,
                                int64_t wall_ms);
/** cell_planner_wall_time_received() - the cell's wall clock, as the planner
 * sent it */
void cell_planner_wall_time_received (MuxCell *cell, int64_t wall_ms);

/* load.c: what a new planner reads from the store */
void cell_load_begin (MuxCell *cell);
void cell_load_tick (MuxCell *cell);
void cell_fence_read (MuxCell *cell, CellPart *part);
/** cell_fence_add() - adds two changes by which the commit fails once another
 * planner has fenced the part */
void
cell_fence_add (const MuxCell *cell, const CellPart *part, MuxCellCall *call);

/* jobs.c */
/** cell_job_add() - creates a job in MuxCell.jobs; takes @spec over
 * Return: NULL when out of memory. */
CellJob *cell_job_add (MuxCell *cell, MuxJobSpec *spec, uint64_t version);
/** cell_job_new() - creates a job outside MuxCell.jobs; takes @spec over
 * Return: NULL when out of memory. */
CellJob *cell_job_new (MuxCell *cell, MuxJobSpec *spec);
/** cell_job_delete() - frees a job outside MuxCell.jobs; NULL is ignored */
void cell_job_delete (MuxCell *cell, CellJob *job);
/** cell_job_find() - in MuxCell.jobs; NULL: not there */
CellJob *cell_job_find (MuxCell *cell, const char *id);
/** cell_promised_query_ms() - time of an approval query in a promised duration;
 * 0: none is needed */
uint32_t cell_promised_query_ms (const MuxApprovalSpec *approval);
/** cell_promised_duration_ms() - within which the job is promised to end */
int64_t cell_promised_duration_ms (const MuxCell *cell, const MuxJobSpec *spec);
/** cell_job_slack_ms() - how long the job may wait in all and still end by its
 * deadline */
int64_t cell_job_slack_ms (const MuxCell *cell, const MuxJobSpec *spec);
/** cell_job_chain_length() - steps in the longest chain of dependent steps */
uint32_t cell_job_chain_length (const MuxJobSpec *spec);
/** cell_job_remove() - frees a job of MuxCell.jobs */
void cell_job_remove (MuxCell *cell, CellJob *job);
/** cell_job_ended_recently() - it is in MuxCell.ended_jobs */
bool cell_job_ended_recently (MuxCell *cell, const char *id);
/** cell_job_cancel() - stops all its runs */
void cell_job_cancel (MuxCell *cell, CellJob *job);
/** cell_job_fail() - stops all its runs; @why: for the log */
void cell_job_fail (MuxCell *cell, CellJob *job, const char *why);
/** cell_job_advance() - begins, ends and plans what the job's state allows */
void cell_job_advance (MuxCell *cell, CellJob *job);
/** cell_job_resume() - advances a job whose progress was read from the store */
void cell_job_resume (MuxCell *cell, CellJob *job);
/** cell_job_mark_dirty() - its progress or end is to be stored */
void cell_job_mark_dirty (MuxCell *cell, CellJob *job);
/** cell_job_watch() - checks the job periodically from now on */
void cell_job_watch (MuxCell *cell, CellJob *job);
void cell_jobs_tick (MuxCell *cell);
/** cell_job_stage() - a stage of the job; NULL: its occurrence has not begun,
 * or is done and forgotten */
CellStage *
cell_job_stage (const CellJob *job, uint32_t occurrence, uint32_t step);
/** cell_stage_find() - stage of the task; NULL: its job, or that occurrence of
 * it, is not known */
CellStage *cell_stage_find (MuxCell *cell, const MuxTaskRef *ref);
/** cell_task_find() - the same for its object, see cell_task_get() */
CellTask *cell_task_find (MuxCell *cell, const MuxTaskRef *ref);
/** cell_stage_ref() - names the first task of the stage */
MuxTaskRef cell_stage_ref (const CellStage *stage);
MuxTaskRef cell_task_ref (const CellTask *task);

/* occurrence.c */
/** cell_occurrence_add() - creates the stages of the occurrence
 * @began_ms: when it was due
 * Return: false if out of memory. */
bool cell_occurrence_add (MuxCell *cell,
                          CellJob *job,
                          uint32_t occurrence,
                          int64_t began_ms);
/** cell_occurrences_left() - some occurrences have not begun */
bool cell_occurrences_left (const CellJob *job);
/** cell_occurrences_begin() - begins the occurrences that are due */
void cell_occurrences_begin (MuxCell *cell, CellJob *job);
/** cell_occurrence_is_early() - the last occurrence begun is not yet due */
bool cell_occurrence_is_early (const MuxCell *cell, const CellJob *job);
/** cell_occurrence_is_due() - the occurrence's start time has come */
bool cell_occurrence_is_due (const MuxCell *cell,
                             const CellJob *job,
                             uint32_t occurrence);
/** cell_occurrences_due() - upper bound of the occurrences that any planner
 * may have begun, whose wall clock may be ahead of ours */
uint32_t cell_occurrences_due (const MuxCell *cell, const CellJob *job);
/** cell_occurrences_skip() - the first @count are done, as a predecessor
 * recorded; before any has begun */
void cell_occurrences_skip (CellJob *job, uint32_t count);
/** cell_occurrences_restore() - begins those that a predecessor had begun */
void cell_occurrences_restore (MuxCell *cell, CellJob *job, uint32_t count);

/* job_row_format.c */
/** cell_job_row_add() - adds the job's own row to a commit, in a form that an
 * earlier version takes as unreadable
 * Return: false if out of memory. */
bool cell_job_row_add (MuxCellCall *call, const CellJob *job);
/** cell_job_row_mark() - the same, if the previous version can't read what is
 * stored of failed runs, unless that row is stored
 * Return: false if out of memory. */
bool cell_job_row_mark (MuxCellCall *call, CellJob *job);
/** cell_job_row_restore() - makes a row of cell_job_row_add() one that
 * mux_job_from_json() reads; others are not changed */
void cell_job_row_restore (json_t *json);

/* job_rows.c: rows of the table of jobs */
/** cell_job_add_committed() - adds a job that this planner has just stored */
void
cell_job_add_committed (MuxCell *cell, const MuxBlob *row, uint64_t version);
/** cell_jobs_row() - takes a row that was read or came by the feed */
void cell_jobs_row (MuxCell *cell, const MuxCellRow *row);
/** cell_cancels_apply() - takes the cancels of a feed's reply before its other
 * rows */
void cell_cancels_apply (MuxCell *cell, const MuxCellReply *reply);
/** cell_row_is_cancel() - the row is the cancel of a job */
bool cell_row_is_cancel (const MuxCellRow *row);

/* unreadable.c: jobs whose row can't be read, and the ends of their runs */
/** cell_unreadable_add() - records an unreadable job
 * @has_row: its row exists; else only its ends are known */
void cell_unreadable_add (MuxCell *cell, const char *id, bool has_row);
/** cell_unreadable_recover() - the row of the job could be read
 * Return: true, and @spec is taken over, if it could not before. */
bool
cell_unreadable_recover (MuxCell *cell, MuxJobSpec *spec, uint64_t version);
/** cell_unreadable_cancel() - the store has a cancel of the job */
void cell_unreadable_cancel (MuxCell *cell, const char *id);
/** cell_unreadable_is_recovering() - the job's progress is being read */
bool cell_unreadable_is_recovering (MuxCell *cell, const char *id);
/** cell_unreadable_keep_end() - keeps an end of a run of a job not known here
 * Return: false: it can't be kept, and must not be acknowledged. */
bool cell_unreadable_keep_end (MuxCell *cell, const MuxRunReport *report);
/** cell_unreadable_load_row() - takes a row that the takeover reads
 * Return: false: it is not a row of ends. */
bool cell_unreadable_load_row (MuxCell *cell, const MuxCellRow *row);
/** cell_unreadable_add_rows() - adds rows of ends to a commit of the part, and
 * their number to @items
 * Return: false: some did not fit. */
bool cell_unreadable_add_rows (MuxCell *cell,
                               const CellPart *part,
                               MuxCellCall *call,
                               uint32_t *items);
/** cell_unreadable_committed() - that commit is done; @stored: it succeeded */
void cell_unreadable_committed (MuxCell *cell, CellPart *part, bool stored);
void cell_unreadable_tick (MuxCell *cell);

/* unreadable_rows.c: their rows */
/** cell_unreadable_free_ends() - free the list of ends */
void cell_unreadable_free_ends (CellUnreadable *unreadable);
/** cell_unreadable_add_end() - adds an end, or notes that there are too many
 * Return: false: it is known already. */
bool cell_unreadable_add_end (CellUnreadable *unreadable,
                              const CellUnreadableEnd *end);
/** cell_unreadable_row_job() - the job whose ends a row of that key holds
 * Return: false: it is no such row. */
bool cell_unreadable_row_job (const char *key, char id[MUX_ROW_NAME_LEN]);
/** cell_unreadable_put_row() - adds the row, or its removal, to a commit */
void cell_unreadable_put_row (const MuxCell *cell,
                              MuxCellCall *call,
                              CellUnreadable *unreadable);
/** cell_unreadable_read_row() - adds the ends of the row to those of
 * @unreadable */
void cell_unreadable_read_row (MuxCell *cell,
                               const MuxCellRow *row,
                               CellUnreadable *unreadable);
/** cell_unreadable_remove_row() - adds the row's removal to a commit of the
 * job's own progress, which holds those ends */
void cell_unreadable_remove_row (MuxCellCall *call, const CellJob *job);
void cell_unreadable_free (MuxCell *cell);

/* stage.c */
/** cell_stage_set_start_times() - updates what depends on the speed of the
 * pool's fast workers: the latest start; only while the stage is not in the
 * planning order */
void cell_stage_set_start_times (const MuxCell *cell, CellStage *stage);
/** cell_stage_new() - creates a stage
 * @began_ms: when its occurrence was due to begin
 * Return: NULL when out of memory. */
CellStage *cell_stage_new (const MuxCell *cell,
                           CellJob *job,
                           uint32_t occurrence,
                           uint32_t step,
                           int64_t began_ms);
void cell_stage_free (MuxCell *cell, CellStage *stage);
/** cell_stage_leave_plan() - takes it out of the plan and drops its
 * reservations */
void cell_stage_leave_plan (MuxCell *cell, CellStage *stage);
/** cell_stage_update() - puts it into the plan or takes it out, by its state */
void cell_stage_update (MuxCell *cell, CellStage *stage);
/** cell_stage_waiting_tasks() - number of tasks that wait for a start */
uint32_t cell_stage_waiting_tasks (const CellStage *stage);
/** cell_stage_gang_has_ended() - no run of the gang holds room */
bool cell_stage_gang_has_ended (const CellStage *stage);
/** cell_stage_gang_checkpoint() - what the gang resumes from; NULL: nothing */
MuxBlob *cell_stage_gang_checkpoint (const CellStage *stage);
/** cell_stage_log_placed() - logs that starts of its last @tasks waiting tasks
 * were sent */
void
cell_stage_log_placed (MuxCell *cell, const CellStage *stage, uint32_t tasks);

/* step_wait.c: what a step is blocked on, and its approval queries */
/** cell_step_wait_begin() - the step has become ready */
void cell_step_wait_begin (const MuxCell *cell, CellStage *stage);
/** cell_step_set_blocked_on() - sets what it is blocked on from now on */
void cell_step_set_blocked_on (const MuxCell *cell,
                               CellStage *stage,
                               CellBlockedOn reason);
/** cell_step_query_sent() - an approval query about it was sent */
void cell_step_query_sent (const MuxCell *cell,
                           CellStage *stage,
                           const CellApprovalQuery *query);
/** cell_step_query_done() - a query was answered with so many @approved, or is
 * lost */
void cell_step_query_done (const MuxCell *cell,
                           CellStage *stage,
                           const CellApprovalQuery *query,
                           uint32_t approved);
/** cell_step_proof_used() - a start with a proof was sent to @worker */
void cell_step_proof_used (const MuxCell *cell,
                           CellStage *stage,
                           const CellWorker *worker);
/** cell_step_wait_json() - time blocked on each, in ms
 * Return: owned by the caller. */
json_t *cell_step_wait_json (const MuxCell *cell, const CellStage *stage);

/* load_log.c */
/** cell_load_log_tick() - logs how queriers and room are used */
void cell_load_log_tick (MuxCell *cell);

/* wait.c */
/** cell_wait_log_tick() - logs why the step that waits longest does */
void cell_wait_log_tick (MuxCell *cell);

/* progress_rows.c: rows of the jobs' progress */
/** cell_progress_json() - encodes the progress of a job for the store
 * Return: owned by the caller. */
json_t *cell_progress_json (MuxCell *cell, const CellJob *job);
/** cell_progress_apply() - applies the progress stored of the job
 * Return: name of the first bad field, and nothing is applied; NULL: done. */
const char *
cell_progress_apply (MuxCell *cell, CellJob *job, const json_t *json);
/** cell_progress_row() - takes a row that was read; ignored if its job is not
 * known */
void cell_progress_row (MuxCell *cell, const MuxCellRow *row);

/* progress_split.c: progress of a job in several rows, as it is written */
/** cell_progress_split_begin() - the job's progress does not fit into one row
 */
void cell_progress_split_begin (MuxCell *cell, CellJob *job);
/** cell_progress_split_add() - adds as many changed rows to a commit as fit
 * Return: whether the commit stores all changes up to CellJob.pass_seq. */
bool cell_progress_split_add (MuxCell *cell, MuxCellCall *call, CellJob *job);
/** cell_progress_split_add_removals() - the job has ended: adds removals of its
 * rows, but not of the one under its id
 * Return: whether none is left besides those. */
bool cell_progress_split_add_removals (MuxCellCall *call, CellJob *job);
/** cell_progress_split_committed() - the commit with these rows is done;
 * @stored: it succeeded */
void cell_progress_split_committed (CellJob *job, bool stored);
void cell_progress_split_free (CellJob *job);

/* progress_split_rows.c: these rows as they are stored */
/** cell_split_head_json() - the row under the job's id */
json_t *cell_split_head_json (const CellJob *job);
/** cell_progress_is_split() - @json is of cell_split_head_json() */
bool cell_progress_is_split (const json_t *json);
/** cell_split_head_apply() - as cell_progress_apply() */
const char *
cell_split_head_apply (MuxCell *cell, CellJob *job, const json_t *json);
/** cell_progress_split_row() - takes a row other than that under the job's id;
 * ignored if its job is not known
 * Return: false: it is no such row. */
bool cell_progress_split_row (MuxCell *cell, const MuxCellRow *row);
/** cell_split_head_read() - the store has this row under the job's id */
void cell_split_head_read (CellJob *job, const MuxBlob *value);

/* rejection.c: commits of progress that the store rejects */
/** cell_commit_items_max() - how many jobs and rows of unreadable jobs the next
 * commit of a part may hold; 0: the fence alone */
uint32_t cell_commit_items_max (const CellPart *part);
/** cell_commit_rejected() - the store rejected the part's commit; to be called
 * before CellJob.in_commit is reset */
void
cell_commit_rejected (MuxCell *cell, CellPart *part, const MuxCellReply *reply);
/** cell_commit_accepted() - the store made the changes of the part's commit */
void cell_commit_accepted (MuxCell *cell, CellPart *part);

/* progress.c: commits of progress */
void cell_progress_tick (MuxCell *cell);
/** cell_stored_seq() - all changes up to this number are stored */
uint64_t cell_stored_seq (const MuxCell *cell);

/* worker.c */
void cell_worker_row (MuxCell *cell, const MuxCellRow *row);
void cell_workers_full_read (MuxCell *cell, bool ended);
CellWorker *cell_worker_find (MuxCell *cell, const char *id);
CellWorker *cell_worker_add (MuxCell *cell, const char *id);
/** cell_worker_replaced() - another incarnation answers at its address */
void cell_worker_replaced (MuxCell *cell, CellWorker *worker);
void cell_worker_mark_dead (MuxCell *cell, CellWorker *worker, const char *why);
/** cell_worker_reset_dead() - the same incarnation may be used again, once it
 * answers */
void cell_worker_reset_dead (MuxCell *cell, CellWorker *worker);
void cell_workers_tick (MuxCell *cell);
void cell_workers_free (MuxCell *cell);
bool cell_worker_usable (const MuxCell *cell, const CellWorker *worker);
/** cell_worker_runs_unknown() - a predecessor may have started runs there that
 * it has not listed to this planner yet */
bool cell_worker_runs_unknown (const CellWorker *worker);
/** cell_all_runs_known() - this is so of no worker */
bool cell_all_runs_known (MuxCell *cell);

/** cell_worker_unlist() - it is missing from the platform's list */
void cell_worker_unlist (MuxCell *cell, CellWorker *worker);
/** cell_worker_set_info() - takes over its entry in the list, except for its
 * name */
void cell_worker_set_info (CellWorker *worker, const MuxWorkerInfo *entry);

/* room.c: room booked by runs */
/** cell_room_book() - count room for a task of @stage */
void cell_room_book (CellWorker *worker, const CellStage *stage);
void cell_room_release (CellWorker *worker, const CellStage *stage);
/** cell_room_eventual() - room once all but long-running tasks have ended */
MuxSize cell_room_eventual (const CellWorker *worker);

/* renew.c */
/* Between renewals while ends wait to be stored, or after a failure. */
#define CELL_RENEW_PAUSE_MS 200
void cell_renew_if_due (MuxCell *cell, CellWorker *worker);

/* incarnation.c: workers that restart under the same id */
/** cell_incarnation_add() - adds @worker to the incarnations of its id
 * Return: false if out of memory. */
bool cell_incarnation_add (MuxCell *cell, CellWorker *worker);
void cell_incarnation_remove (MuxCell *cell, CellWorker *worker);
/** cell_incarnations_get() - those of @id, known or not; NULL when out of
 * memory */
CellIncarnations *cell_incarnations_get (MuxCell *cell, const char *id);
/** cell_incarnations_free() - forgets an id without incarnations */
void cell_incarnations_free (MuxCell *cell, CellIncarnations *incarnations);
/** cell_incarnations_free_all() - the same for all ids */
void cell_incarnations_free_all (MuxCell *cell);
/** cell_incarnation_is_outdated() - a later incarnation of that id has
 * answered */
bool cell_incarnation_is_outdated (MuxCell *cell,
                                   const char *id,
                                   uint64_t started_ms);
/** cell_incarnations_unlist() - all incarnations of that id except @but; NULL:
 * all */
void
cell_incarnations_unlist (MuxCell *cell, const char *id, const CellWorker *but);
/** cell_incarnation_next() - the incarnation that answered in place of @earlier
 * Return: NULL if out of memory. */
CellWorker *cell_incarnation_next (MuxCell *cell,
                                   const CellWorker *earlier,
                                   uint64_t started_ms);
/** cell_incarnations_end_earlier() - ends the incarnations before @worker,
 * which has answered */
void cell_incarnations_end_earlier (MuxCell *cell, CellWorker *worker);
/** cell_incarnation_is_unresolved() - some run sent to this incarnation may
 * have started at the next one */
bool cell_incarnation_is_unresolved (const CellWorker *worker);
/** cell_incarnation_resolved() - one such run's fate is known and has to be
 * stored */
void cell_incarnation_resolved (MuxCell *cell, const char *incarnation);
/** cell_incarnation_runs_listed() - stops the booked runs that the worker's
 * first list does not name */
void cell_incarnation_runs_listed (MuxCell *cell, CellWorker *worker);

/* claim_lease.c: how long a claim is valid without renewal */
/** cell_claim_is_valid() - this planner may still send orders to workers */
bool cell_claim_is_valid (const MuxCell *cell);
/** cell_hello_next() - records a hello that is about to be sent
 * Return: its number. */
uint64_t cell_hello_next (MuxCell *cell, bool store_available);
/** cell_hello_acked() - the planner has acknowledged hello @number */
void cell_hello_acked (MuxCell *cell, uint64_t number);
/** cell_hello_round_trip_ms() - from a hello to its reply, lately, less the
 * wait in the event loop here
 * Return: 0: not known. */
uint32_t cell_hello_round_trip_ms (const MuxCell *cell);
/** cell_claim_lease_was_short() - the holder certainly did not extend its
 * claim for an outage of the store */
bool cell_claim_lease_was_short (const MuxCell *cell);
/** cell_claim_lease_until_ms() - upper bound of when the holder's claim
 * expires */
int64_t cell_claim_lease_until_ms (const MuxCell *cell);

/* predecessor.c: the planners before this one */
/** cell_claim_read_predecessors() - reads how long planners before the holder
 * may send orders
 * @json: the claim's row; NULL: it can't be parsed */
void cell_claim_read_predecessors (const MuxCell *cell,
                                   CellClaim *claim,
                                   const json_t *json);
/** cell_heartbeat_read() - reads the same from the holder's heartbeat */
void cell_heartbeat_read (MuxCell *cell, const MuxCellRow *row);
/** cell_orders_until_ms() - neither the claim's holder nor any planner before
 * it sends orders after this */
int64_t cell_orders_until_ms (const MuxCell *cell);
/** cell_predecessor_begin() - this daemon is about to replace the claim's
 * holder */
void cell_predecessor_begin (MuxCell *cell);
/** cell_predecessors_to_json() - adds to @json that planners before its writer
 * may send orders for @left_ms more
 * Return: @json. */
json_t *
cell_predecessors_to_json (const MuxCell *cell, json_t *json, int64_t left_ms);
/** cell_predecessors_left_ms() - for how long planners before this one may
 * send orders */
int64_t cell_predecessors_left_ms (const MuxCell *cell);
/** cell_predecessor_hello() - handles a hello that may be the predecessor's */
void cell_predecessor_hello (MuxCell *cell, const MuxPeerMsg *hello);

/* worker_lease.c: how long runs may go on at a worker */
/** cell_longest_lease_ms() - the longest lease that workers grant, on the
 * slowest clock */
int64_t cell_longest_lease_ms (void);
/** cell_worker_extend_lease() - records a request for a full lease from now
 * Return: its expiry on the worker's clock; 0: the clock is not known. */
int64_t cell_worker_extend_lease (const MuxCell *cell,
                                  CellWorker *worker,
                                  CellLeaseSource source);
/** cell_lease_json() - what the end of the worker's lease is taken from, for
 * the log; times in ms, on its clock where the name says so */
json_t *cell_lease_json (const MuxCell *cell, const CellWorker *worker);
/** cell_worker_lease_left() - until the latest lease has certainly expired */
int64_t cell_worker_lease_left (const MuxCell *cell, const CellWorker *worker);
/** cell_unconfirmed_lease_left() - until all leases that a predecessor may
 * have requested of an unconfirmed worker, whose expiry the roster may hold,
 * have expired */
int64_t cell_unconfirmed_lease_left (const MuxCell *cell,
                                     const CellWorker *worker);
/** cell_lease_is_over() - no run of ours can go on there */
bool cell_lease_is_over (MuxCell *cell, CellWorker *worker);
/** cell_lease_of_stale() - accounts for leases requested by late calls to an
 * earlier incarnation, as the worker answers
 * @first: its first answer to this planner */
void cell_lease_of_stale (const MuxCell *cell, CellWorker *worker, bool first);
/** cell_lease_of_predecessor() - accounts for leases that a predecessor may
 * have requested */
void cell_lease_of_predecessor (const MuxCell *cell, CellWorker *worker);

/* late_start.c: starts that a later incarnation of a worker may carry out */
/** cell_start_may_arrive_late() - the booking's start may still be carried out,
 * or its run may be there */
bool cell_start_may_arrive_late (const MuxCell *cell,
                                 const CellBooking *booking);
/** cell_late_starts_of_predecessor() - takes into account those that
 * predecessors sent to the worker, whose lease is over */
void cell_late_starts_of_predecessor (MuxCell *cell, const CellWorker *worker);
/** cell_late_starts_are_over() - none of those can be carried out any more */
bool cell_late_starts_are_over (const MuxCell *cell);

/* evacuate.c: runs at a worker that is about to leave */
/** cell_worker_set_leave_time() - takes the leave time from its entry in the
 * list */
void cell_worker_set_leave_time (const MuxCell *cell, CellWorker *worker);
/** cell_evacuate() - stops the runs that would be lost with the worker */
void cell_evacuate (MuxCell *cell, CellWorker *worker);

/* run_time_learn.c: observed run times */
/** cell_expected_ms() - expected time of a run of the step */
uint32_t cell_expected_ms (const MuxCell *cell,
                           const MuxJobSpec *spec,
                           const MuxStepSpec *step);
/** cell_run_time_record() - record the time of a run that has just ended
 * successfully */
void cell_run_time_record (MuxCell *cell, const CellBooking *booking);
/** cell_run_times_json() - statistics for other daemons; owned by the caller */
json_t *cell_run_times_json (const MuxCell *cell);
/** cell_run_times_receive() - apply statistics sent by the planner; @list may
 * be NULL */
void cell_run_times_receive (MuxCell *cell, const json_t *list);
void cell_run_times_tick (MuxCell *cell);

/* worker_speed_learn.c: speeds of workers */
/** cell_speeds_begin() - a term begins */
void cell_speeds_begin (MuxCell *cell);
/** cell_speeds_differ() - whether speeds in the worker's pool differ
 * significantly */
bool cell_speeds_differ (MuxCell *cell, const CellWorker *worker);
/** cell_speeds_tick() - publish the speeds learned since the last time */
void cell_speeds_tick (MuxCell *cell);
/** cell_speed_run_ended() - learn from a run that has just ended successfully,
 * before its room is released */
void cell_speed_run_ended (MuxCell *cell, CellBooking *booking);
/** cell_speed_run_progressed() - learn from the progress of a running run */
void cell_speed_run_progressed (MuxCell *cell, CellBooking *booking);
/** cell_speed_run_stalled() - learn from a run that stands still */
void cell_speed_run_stalled (MuxCell *cell, const CellBooking *booking);
/** cell_worker_speed_milli() - estimated speed, in thousandths of the pool's
 * mean; 1000 if it is unknown or the pool's workers are alike */
uint32_t cell_worker_speed_milli (const CellWorker *worker);
/** cell_worker_expected_ms() - expected time of a run of the stage on the
 * worker */
uint32_t cell_worker_expected_ms (const CellStage *stage,
                                  const CellWorker *worker);

/* worker_speed_rows.c: speeds as they are stored for the next planner */
/** cell_speed_rows_begin() - forget what was read in an earlier term */
void cell_speed_rows_begin (MuxCell *cell);
/** cell_speed_rows_tick() - read the rows in the background, later write those
 * that changed */
void cell_speed_rows_tick (MuxCell *cell);
/** cell_speed_restore() - take the worker's stored speed, once it was read */
void cell_speed_restore (MuxCell *cell, CellWorker *worker);
/* interference_learn.c: kinds of tasks that slow each other */
/** cell_interference_kind() - kind of the stage's tasks: their queue, and
 * whether they are long-running or best-effort */
uint64_t cell_interference_kind (const CellStage *stage);
/** cell_interference_record() - record a run that has just ended as @end, for
 * itself and for the runs beside it */
void cell_interference_record (MuxCell *cell,
                               const CellBooking *booking,
                               MuxRunEnd end);
/** cell_interference_cost() - cost of the worker for tasks of the stage, as in
 * place.c; 0 unless tasks there are found to slow them, or to be slowed */
int64_t cell_interference_cost (const MuxCell *cell,
                                const CellStage *stage,
                                const CellWorker *worker);
/** cell_interference_count() - count that a task of the stage is about to be
 * started at the worker */
void cell_interference_count (const MuxCell *cell,
                              const CellStage *stage,
                              const CellWorker *worker);
/** cell_interference_json() - pairs that are found, for other daemons; owned by
 * the caller */
json_t *cell_interference_json (const MuxCell *cell);
/** cell_interference_receive() - take over the pairs in the planner's admission
 * blob, if this daemon does not plan; @blob may be NULL */
void cell_interference_receive (MuxCell *cell, const json_t *blob);
/* pool_speed.c: speeds of the workers of each pool */
/** cell_pool_speeds_tick() - counts the speeds of all workers if it is time */
void cell_pool_speeds_tick (MuxCell *cell);
/** cell_pool_fastest_milli() - speed of the fast workers of a pool, at least
 * 1000; 1000 if they are alike */
uint32_t cell_pool_fastest_milli (const MuxCell *cell, uint64_t service);
/** cell_pool_speeds_json() - speeds of the uneven pools for other daemons;
 * owned by the caller */
json_t *cell_pool_speeds_json (const MuxCell *cell);
/** cell_pool_speeds_receive() - apply speeds sent by the planner; @list may be
 * NULL: an older one sends none, and all pools count as even */
void cell_pool_speeds_receive (MuxCell *cell, const json_t *list);
/** cell_stage_has_uneven_pool() - whether speeds matter for the stage; false:
 * it is placed as if they were not known */
bool cell_stage_has_uneven_pool (const MuxCell *cell, const CellStage *stage);
/** cell_placing_speed_milli() - speed of the stage's runs on the worker; 1000
 * if the pool's workers are alike */
uint32_t cell_placing_speed_milli (const MuxCell *cell,
                                   const CellStage *stage,
                                   const CellWorker *worker);
/** cell_speed_need() - what a run of the stage that starts in @in_ms needs, if
 * the steps after it run at the same speed */
MuxSpeedNeed
cell_speed_need (const MuxCell *cell, const CellStage *stage, int64_t in_ms);
/** cell_speed_cost() - cost of the worker's speed for a run of the stage that
 * starts in @in_ms, see mux_speed_cost(); 0: the pool's workers are alike */
uint32_t cell_speed_cost (const MuxCell *cell,
                          const CellStage *stage,
                          const CellWorker *worker,
                          int64_t in_ms);
/** cell_speed_suits() - whether such a run is in time with margin, or late on
 * any worker */
bool cell_speed_suits (const MuxCell *cell,
                       const CellStage *stage,
                       const CellWorker *worker,
                       int64_t in_ms);
/** cell_speed_is_too_slow() - whether such a run is late, and in time on the
 * pool's fast workers */
bool cell_speed_is_too_slow (const MuxCell *cell,
                             const CellStage *stage,
                             const CellWorker *worker,
                             int64_t in_ms);
/** cell_room_cost() - cost of a worker's free room: its processors in
 * thousandths, or a part of the worker if speeds matter for the stage */
int64_t cell_room_cost (const MuxCell *cell,
                        const CellStage *stage,
                        const CellWorker *worker);
/** cell_stage_fastest_ms() - expected time of a run on the pool's fast workers
 */
uint32_t cell_stage_fastest_ms (const MuxCell *cell, const CellStage *stage);

/* speed_wait.c: tasks that wait for a faster worker */
/** cell_waits_for_speed() - whether the task waits instead of starting on
 * @free, which is too slow for it */
bool cell_waits_for_speed (MuxCell *cell,
                           const CellTask *task,
                           const CellWorker *free);

/* speed_defer.c: stages that would be late on the workers left for them */
/** cell_stage_defer() - places the stage again at the end of the next full pass
 * Return: false if it is being placed there. */
bool cell_stage_defer (MuxCell *cell, CellStage *stage);
void cell_stage_undefer (MuxCell *cell, CellStage *stage);
/** cell_stage_next_deferred() - takes the first deferred stage out of its list
 * Return: NULL: there is none. */
CellStage *cell_stage_next_deferred (MuxCell *cell);

/* sweep.c: removes rows of jobs that ended long ago */
void cell_sweep_begin (MuxCell *cell);
void cell_sweep_tick (MuxCell *cell);

/* roster.c */
void cell_roster_tick (MuxCell *cell);
void cell_roster_load (MuxCell *cell);
/** cell_in_roster() - the stored roster names the worker, or may do so */
bool cell_in_roster (const CellWorker *worker);

/* availability.c: orders that take away runs at work */
/** cell_run_may_be_stopped() - whether so few tasks of its step are away that
 * the run may be stopped.  To be asked before each stop but those of runs of a
 * job that has ended, of a gang that can't work, at a worker that leaves, and
 * of runs that are not at their worker. */
bool cell_run_may_be_stopped (const CellBooking *booking);

/* pace.c: paces of best-effort tasks beside serving tasks */
/** cell_pace_update() - the worker has listed its runs */
void cell_pace_update (MuxCell *cell, CellWorker *worker);
/** cell_pace_tick() - sends the orders that are due at the worker */
void cell_pace_tick (MuxCell *cell, CellWorker *worker);
/** cell_pace_run_began() - the worker confirmed the start of the run */
void cell_pace_run_began (CellBooking *booking);
/** cell_pace_adopt() - a predecessor may have ordered a pace for the run */
void cell_pace_adopt (CellBooking *booking);
/** cell_pace_needs_reports() - the worker's tails are to be followed closely */
bool cell_pace_needs_reports (const CellWorker *worker);
/** cell_worker_takes_best_effort() - a best-effort task of the stage would work
 * there */
bool cell_worker_takes_best_effort (const CellStage *stage,
                                    const CellWorker *worker);
/** cell_best_effort_cost() - cost of the worker for a best-effort task, in
 * thousandths of a processor; 0 for others */
int64_t cell_best_effort_cost (const CellStage *stage,
                               const CellWorker *worker);

/* run.c: starts, stops and ends of runs */
/** cell_book() - books room for a run; NULL: out of memory */
CellBooking *
cell_book (MuxCell *cell, CellTask *task, CellWorker *worker, uint32_t run);
/** cell_unbook() - frees the booking and its room */
void cell_unbook (MuxCell *cell, CellBooking *booking);
/** cell_pending_task() - the task that a START, STOP or PACE is about, while
 * its booking is of the same run and worker; NULL: it is not */
CellTask *cell_pending_task (MuxCell *cell, const CellPending *pending);
/** cell_start_run() - books the run and sends its start
 * @checkpoint: what to resume from; "": nothing
 * Return: false: it was not sent, and nothing is booked. */
bool cell_start_run (MuxCell *cell,
                     CellTask *task,
                     CellWorker *worker,
                     uint32_t run,
                     MuxBlob *checkpoint);
/** cell_stop_booking() - stops the run; repeated until it is confirmed */
void cell_stop_booking (MuxCell *cell, CellBooking *booking);
/** cell_stage_stop_runs() - stops all runs of the stage */
void cell_stage_stop_runs (MuxCell *cell, CellStage *stage);
/** cell_stops_tick() - sends the stops that are due at the worker */
void cell_stops_tick (MuxCell *cell, CellWorker *worker);
/** cell_stops_tick_all() - the same at all workers, before anything else is
 * sent */
void cell_stops_tick_all (MuxCell *cell);
/** cell_run_ended() - applies the end of a run and advances its job
 * @evidence: what shows that it has ended, for the log
 * @checkpoint: what the run saved; "": nothing */
void cell_run_ended (MuxCell *cell,
                     CellTask *task,
                     CellWorker *worker,
                     uint32_t run,
                     MuxRunEnd end,
                     MuxBlob *checkpoint,
                     const char *evidence);
/** cell_end_apply() - applies the end of a run to its task alone: no orders, no
 * check of attempts */
void cell_end_apply (MuxCell *cell,
                     CellTask *task,
                     uint32_t run,
                     MuxRunEnd end,
                     MuxBlob *checkpoint);
/** cell_stop_orphan() - sends a stop of a run without a booking */
void cell_stop_orphan (MuxCell *cell,
                       CellWorker *worker,
                       const MuxTaskRef *task,
                       uint32_t run);
/** cell_next_run() - the run number after @last, in the range of this term */
uint32_t cell_next_run (const MuxCell *cell, uint32_t last);
/** cell_task_raise_last_run() - no later run gets the number of this one, which
 * is ignored over CELL_RUN_MAX */
void cell_task_raise_last_run (CellTask *task, uint32_t run);
/* loss.c: whether a task that lost runs is started again */
/** cell_task_losses() - counts the task's lost runs by what became of their
 * workers */
CellLosses cell_task_losses (const MuxCell *cell, const CellTask *task);
/** cell_losses_allow_start() - the task may be started again now */
bool cell_losses_allow_start (const MuxCell *cell, const CellTask *task);
/** cell_losses_exceeded() - the task has crashed too many workers to be
 * started again */
bool cell_losses_exceeded (const MuxCell *cell, const CellTask *task);
/** cell_run_clears_task() - a run that lasted @ran_ms shows that the task
 * does not crash its workers */
bool cell_run_clears_task (const CellTask *task, int64_t ran_ms);

/* outage.c: correlated failures of workers */
/** cell_outage_record() - records that the worker is unreachable */
void cell_outage_record (MuxCell *cell, const CellWorker *worker);
/** cell_outage_span() - the time span of a run lost with the worker */
CellLossSpan cell_outage_span (const MuxCell *cell,
                               const CellWorker *worker,
                               int64_t from_ms);
/** cell_run_span() - the same of a booked run */
CellLossSpan cell_run_span (const MuxCell *cell, const CellBooking *booking);
/** cell_lost_in_outage() - so many other workers went down during the run that
 * its loss says little of its task */
bool cell_lost_in_outage (const MuxCell *cell,
                          const CellTask *task,
                          const CellLoss *loss);
/** cell_workers_are_stable() - no worker became unreachable lately */
bool cell_workers_are_stable (const MuxCell *cell);
/** cell_run_min_duration_ms() - lower bound of how long the run has run, from
 * the worker's reports */
int64_t cell_run_min_duration_ms (const CellBooking *booking);
bool cell_run_was_short (int64_t ran_ms);

/* crash.c: runs that were lost with their workers */
/** cell_loss_record() - counts a lost run against the task */
void cell_loss_record (MuxCell *cell,
                       CellTask *task,
                       const char *worker,
                       const char *addr,
                       CellLoss value);
/** cell_predecessor_span() - the span of a run that a predecessor started */
CellLossSpan cell_predecessor_span (const MuxCell *cell,
                                    const CellWorker *worker);
/** cell_losses_of_predecessor() - counts the runs that a predecessor may have
 * had at @worker, which has ended and was never heard */
void cell_losses_of_predecessor (MuxCell *cell, const CellWorker *worker);
/** cell_loss_add() - appends a zeroed loss
 * Return: NULL if out of memory. */
CellLoss *cell_loss_add (CellTask *task);
/** cell_lose_runs() - records the loss of the dead worker's runs, except those
 * whose start may still reach its next incarnation */
void cell_lose_runs (MuxCell *cell, CellWorker *worker);
/** cell_lose_resolved() - records the loss of a run sent to an earlier
 * incarnation that is not at this one */
void cell_lose_resolved (MuxCell *cell, CellBooking *booking);
/** cell_losses_worker_confirmed() - that incarnation of a worker answers at
 * its address */
void cell_losses_worker_confirmed (MuxCell *cell, const CellWorker *worker);
/** cell_losses_worker_dead() - that incarnation has ended, or has been
 * unreachable for longer than its lease */
void cell_losses_worker_dead (MuxCell *cell, const CellWorker *worker);
/** cell_start_is_recorded() - a start of the suspect there is in the store
 * Return: false if not; it is added to the next commit. */
bool cell_start_is_recorded (MuxCell *cell,
                             CellTask *task,
                             const CellWorker *worker);
/** cell_loss_run_began() - the worker reported that the recorded run has begun
 */
void cell_loss_run_began (MuxCell *cell, CellTask *task);
/** cell_loss_run_listed() - a worker's list names the run */
void cell_loss_run_listed (MuxCell *cell, const CellBooking *booking);
/** cell_loss_run_ended() - the end of the recorded run was reported */
void cell_loss_run_ended (MuxCell *cell, CellTask *task);
void cell_losses_tick (MuxCell *cell);
void cell_losses_free (CellTask *task);

/* crash_log.c: log lines of lost runs and crashed workers */
void cell_log_loss (MuxCell *cell, const CellTask *task, const CellLoss *loss);
/** cell_log_crash() - a worker crashed with its runs */
void cell_log_crash (MuxCell *cell, const CellWorker *worker);
/** cell_log_crashed_under() - one line for each worker lost under the task */
void cell_log_crashed_under (MuxCell *cell, const CellTask *task);

/* crash_list.c: jobs with lost runs */
/** cell_loss_list_add() - lists the job, called after cell_loss_add() */
void cell_loss_list_add (MuxCell *cell, CellJob *job);
/** cell_loss_list_remove() - the job has no losses left, or is removed */
void cell_loss_list_remove (MuxCell *cell, CellJob *job);

/* crash_rows.c: losses as they are stored */
/** cell_losses_json() - those of @count tasks from @first on */
json_t *
cell_losses_json (const CellStage *stage, uint32_t first, uint32_t count);
/** cell_losses_valid() - checks the stored losses of these tasks; NULL is valid
 */
bool cell_losses_valid (const json_t *list, uint32_t first, uint32_t count);
void cell_losses_apply (MuxCell *cell, CellStage *stage, const json_t *list);

/* suspect.c: where tasks suspected of crashing workers may start */
/** cell_start_needs_record() - the start has to be stored first, for a
 * successor */
bool cell_start_needs_record (const MuxCell *cell, const CellTask *task);
/** cell_start_has_record() - a start with unknown outcome is recorded */
bool cell_start_has_record (const CellTask *task);
/** cell_suspected_crashes() - number of workers that the task may have crashed
 */
uint32_t cell_suspected_crashes (const MuxCell *cell, const CellTask *task);
bool cell_task_may_start (const MuxCell *cell, const CellTask *task);
/** cell_gang_may_start() - each of the gang's tasks may start */
bool cell_gang_may_start (const MuxCell *cell, const CellStage *stage);
/** cell_worker_accepts_suspect() - the task may start there beside the
 * suspects that run there */
bool cell_worker_accepts_suspect (const MuxCell *cell,
                                  const CellTask *task,
                                  const CellWorker *worker);
/** cell_suspect_cost() - rates the worker for a suspect task; smaller is
 * better */
int64_t cell_suspect_cost (const MuxCell *cell,
                           const CellTask *task,
                           const CellWorker *worker);

/* reports.c: runs that a worker lists */
/** cell_reports_apply() - takes the reply to a RENEW call */
void cell_reports_apply (MuxCell *cell,
                         CellWorker *worker,
                         const MuxCellReply *reply);

/* approval_list.c: approvals of workers for a stage */
/** cell_approval_find() - the entry of the worker
 * Return: NULL if it was not queried. */
CellApproval *cell_approval_find (const CellStage *stage,
                                  const CellWorker *worker);
CellApproval *cell_approval_find_slot (const CellStage *stage, uint32_t slot);
/** cell_approval_add() - the entry of the worker, created if it is new
 * Return: NULL when out of memory. */
CellApproval *cell_approval_add (CellStage *stage, const CellWorker *worker);
void cell_approvals_free (MuxCell *cell, CellStage *stage);

/* approval_query.c: approval queries */
/** cell_queriers_alive() - number of daemons with recent contact, busy or
 * not */
uint32_t cell_queriers_alive (MuxCell *cell);
/** cell_approval_query_ms() - time that a query about @count workers takes */
uint32_t cell_approval_query_ms (const CellStage *stage, uint32_t count);
/** cell_can_query() - whether some daemon is free for a query about @count
 * workers */
bool cell_can_query (MuxCell *cell, const CellStage *stage, uint32_t count);
/** cell_approval_query_send() - query about the candidates by a free daemon
 * Return: false if nothing was sent. */
bool cell_approval_query_send (MuxCell *cell,
                               CellStage *stage,
                               CellWorker *const *candidates,
                               uint32_t count);
/* approval_proof.c */
/** cell_proof_usable_until_ms() - no start is sent with the proof later */
int64_t cell_proof_usable_until_ms (const CellApproval *approval);
/** cell_approval_proof() - cell_usable_proof() of the worker's approval */
MuxBlob *cell_approval_proof (const MuxCell *cell,
                              const CellStage *stage,
                              const CellWorker *worker);
/** cell_usable_proof() - the proof to send with a start now
 * Return: NULL if there is none, or @approval is NULL. */
MuxBlob *cell_usable_proof (const MuxCell *cell, const CellApproval *approval);
/** cell_approval_is_being_recorded() - whether the proof becomes usable once a
 * commit that is on its way stores the approval; false for NULL */
bool cell_approval_is_being_recorded (const MuxCell *cell,
                                      const CellApproval *approval);
/** cell_proof_outlasts_query() - whether the proof is still usable when a query
 * about @count workers that is sent now has been answered */
bool cell_proof_outlasts_query (const MuxCell *cell,
                                const CellStage *stage,
                                const CellWorker *worker,
                                uint32_t count);
/** cell_approvals_stored() - called when the commit that they became part of
 * was stored */
void cell_approvals_stored (CellStage *stage);
/** cell_approvals_in_commit() - called when the approvals become part of a
 * commit */
void cell_approvals_in_commit (CellStage *stage);
/** cell_approvals_json() - ids of the workers that the stage may run on
 * @row: set to lists of them, owned by the caller; a hash of the id decides in
 *   which of the @rows lists it is */
void cell_approvals_json (MuxCell *cell,
                          const CellStage *stage,
                          json_t **row,
                          uint32_t rows);
/** cell_worker_is_recorded() - whether the stored record names the worker */
bool cell_worker_is_recorded (const CellStage *stage, const CellWorker *worker);
/** cell_approvals_apply() - adds the record of a predecessor, as made by
 * cell_approvals_json() */
void cell_approvals_apply (CellStage *stage, const json_t *json);
/** cell_approvals_add_recorded() - take over approvals recorded by a
 * predecessor; their proofs are not known */
void cell_approvals_add_recorded (MuxCell *cell, CellStage *stage);
/** cell_stage_is_settled() - whether no run of the stage that a predecessor
 * started can exist without being known */
bool cell_stage_is_settled (MuxCell *cell, const CellStage *stage);
/** cell_stage_settles_in_ms() - longest time until that is so, as far as the
 * workers of the stage are recorded */
int64_t cell_stage_settles_in_ms (MuxCell *cell, const CellStage *stage);
/** cell_approval_query_done() - called when the query of that number was
 * answered, or is lost */
void cell_approval_query_done (MuxCell *cell,
                               uint64_t number,
                               bool answered,
                               const MuxApproval *approvals,
                               uint32_t count,
                               uint32_t valid_ms);
/** cell_approval_queries_tick() - give up queries that were not answered in
 * time */
void cell_approval_queries_tick (MuxCell *cell);
void cell_approval_queries_free (MuxCell *cell);
/** cell_approval_query_is_short() - whether a query about @count workers is too
 * short to keep daemons from urgent stages */
bool cell_approval_query_is_short (const CellStage *stage, uint32_t count);

/* query_ahead.c: approval queries before a step is ready */
/** cell_query_ahead() - send queries about the steps that come after @placed */
void cell_query_ahead (MuxCell *cell, const CellStage *placed);

/* approval_query_peer.c: approval queries made by other daemons */
/** cell_approval_query_call() - the call to the policy service for a query
 * Return: NULL if @query is malformed or memory allocation fails. */
MuxCellCall *cell_approval_query_call (const json_t *query);
/** cell_approval_peer() - handle a query of the planner, or the reply to one */
void cell_approval_peer (MuxCell *cell, const MuxPeerMsg *msg);

/* rank.c: the order of waiting stages */
/** cell_stage_rank() - rank at @now_ms */
CellRank cell_stage_rank (const CellStage *stage, int64_t now_ms);
/** cell_stage_rank_expires_ms() - time at which that rank changes; INT64_MAX:
 * never */
int64_t cell_stage_rank_expires_ms (const CellStage *stage, int64_t now_ms);
/** cell_stage_is_late() - whether it goes behind all stages that can still
 * end in time */
bool cell_stage_is_late (const CellStage *stage);
/** cell_stage_compare() - planning order; negative: @a goes first
 * Both have to be ranked. */
int cell_stage_compare (const CellStage *a, const CellStage *b);

/* tree.c: ordered sets */
void cell_tree_add (CellTree *tree, CellNode *node);
void cell_tree_remove (CellTree *tree, CellNode *node);
/** cell_tree_first() - NULL: the set is empty */
CellNode *cell_tree_first (const CellTree *tree);
/** cell_tree_next() - NULL: @node is the last */
CellNode *cell_tree_next (const CellNode *node);

/* plan_order.c: stages with waiting tasks, in planning order */
void cell_plan_order_init (CellPlanOrder *order);
void cell_plan_order_add (MuxCell *cell, CellStage *stage);
void cell_plan_order_remove (MuxCell *cell, CellStage *stage);
/** cell_plan_order_set_class() - change a stage's share class */
void
cell_plan_order_set_class (MuxCell *cell, CellStage *stage, uint32_t class);
/** cell_plan_order_rerank() - move the stages whose rank has changed by now */
void cell_plan_order_rerank (MuxCell *cell);
typedef void (*CellStageVisit) (MuxCell *cell, const CellStage *stage);
/** cell_plan_order_visit() - call @visit for all stages of the plan, in no
 * order; it must not change the plan */
void cell_plan_order_visit (MuxCell *cell, CellStageVisit visit);
/** cell_plan_order_begin() - begin a pass at the first stage */
void cell_plan_order_begin (CellPlanOrder *order);
/** cell_plan_order_next_front() - next stage of the pass; NULL: that was the
 * last */
CellStage *cell_plan_order_next_front (CellPlanOrder *order);
/** cell_plan_order_next_in_round() - next stage of the round; one whose rank
 * changed may be returned again
 * Return: NULL when all stages had their turn. */
CellStage *cell_plan_order_next_in_round (CellPlanOrder *order);
/** cell_plan_order_is_done() - whether all stages had their turn in the
 * round */
bool cell_plan_order_is_done (const CellPlanOrder *order);
/** cell_plan_order_new_round() - begin a round at the first stage */
void cell_plan_order_new_round (CellPlanOrder *order);
/** cell_plan_order_begin_urgent() - begin a pass over stages of urgent
 * queues */
void cell_plan_order_begin_urgent (CellPlanOrder *order);
/** cell_plan_order_next_urgent() - next stage of that pass; NULL: that was the
 * last */
CellStage *cell_plan_order_next_urgent (CellPlanOrder *order);

/* worker_scan.c: scans over workers for one stage */
/** cell_worker_scan_is_partial() - whether one scan does not cover all
 * workers */
bool cell_worker_scan_is_partial (const MuxCell *cell);
/** cell_worker_scan_max() - most workers of one scan */
uint32_t cell_worker_scan_max (const MuxCell *cell);
/** cell_worker_scan_begin() - begin a scan where the stage's last one ended */
CellWorkerScan cell_worker_scan_begin (const MuxCell *cell,
                                       const CellStage *stage);
/** cell_worker_scan_next() - the next worker; NULL: that was the last */
CellWorker *cell_worker_scan_next (MuxCell *cell, CellWorkerScan *scan);
/** cell_worker_scan_end() - let the stage's next scan continue from here */
void cell_worker_scan_end (CellStage *stage, const CellWorkerScan *scan);

/* forecast.c: expected ends of running tasks */
/** cell_booking_remaining_ms() - expected time until its run ends */
int64_t cell_booking_remaining_ms (const MuxCell *cell,
                                   const CellBooking *booking);
/** cell_worker_free_at() - expected free room for @stage at @at_ms if nothing
 * starts there until then */
MuxSize cell_worker_free_at (const MuxCell *cell,
                             const CellStage *stage,
                             const CellWorker *worker,
                             int64_t at_ms);
/** cell_worker_openings() - find openings for members of @stage, sorted by time
 * Return: their number, @opening_max at most. */
uint32_t cell_worker_openings (const MuxCell *cell,
                               const CellStage *stage,
                               CellWorker *worker,
                               CellOpening *opening,
                               uint32_t opening_max);

/* gang_places.c: workers that may hold members of a gang */
/** cell_places_max() - upper bound of what cell_places_collect() finds */
size_t cell_places_max (const MuxCell *cell, const CellStage *stage);
/** cell_places_collect() - collects workers that may hold members of the gang;
 * those that are not approved only if a query may be sent
 * Return: their number. */
uint32_t cell_places_collect (MuxCell *cell,
                              CellStage *stage,
                              bool may_query,
                              CellPlace *place);
/** cell_places_sort() - sorts by preference for the gang */
void cell_places_sort (CellPlace *place, uint32_t count);
/** cell_places_sort_approved() - moves the approved places to the front and
 * sorts these
 * Return: their number. */
uint32_t cell_places_sort_approved (CellPlace *place, uint32_t count);
/** cell_places_restrict_to_one_rack() - restricts members that run slower
 * across racks to one rack if one has room for all */
void cell_places_restrict_to_one_rack (const CellStage *stage,
                                       CellPlace *place,
                                       uint32_t count);

/* gang_speed.c: a set of workers of even speed for a gang */
/** cell_gang_choose_speed() - chooses the least speed of the gang's workers
 * among the approved places, and takes the room of slower ones out of @place;
 * does nothing if the pool's workers are alike or all approved ones together
 * don't hold the gang
 * Return: true if the gang is expected to end in time there, or nothing was
 * chosen because the workers are alike. */
bool cell_gang_choose_speed (MuxCell *cell,
                             CellStage *stage,
                             CellPlace *place,
                             uint32_t count);
/** cell_gang_prefer_names() - marks the places that are not approved by whether
 * their speed suits the gang, for cell_places_sort()
 * Return: true if the gang is expected to end in time on workers that a query
 * could add. */
bool cell_gang_prefer_names (MuxCell *cell,
                             const CellStage *stage,
                             CellPlace *place,
                             uint32_t count);
/** cell_booking_speed_milli() - speed of a run; for a member of a gang that of
 * its slowest worker */
uint32_t cell_booking_speed_milli (const MuxCell *cell,
                                   const CellBooking *booking);

/* gang_reserve.c: reservations of a gang */
/** cell_gang_reserve() - reserve room at @count approved workers for a gang
 * that has too little now, and, if @may_query, query for proofs when it is
 * time */
void cell_gang_reserve (MuxCell *cell,
                        CellStage *stage,
                        CellWorker *const *worker,
                        uint32_t count,
                        bool may_query);

/* reserve.c: room reserved for gangs */
/** cell_reserve() - reserve room for @tasks more members of @stage from @at_ms
 * on
 * Return: false if too many gangs have reservations there. */
bool cell_reserve (MuxCell *cell,
                   CellStage *stage,
                   CellWorker *worker,
                   uint32_t tasks,
                   int64_t at_ms);
/** cell_reservations_new_pass() - called before a full pass: of stages not yet
 * scanned in this round, stale reservations are dropped and the others become
 * stale, those of late gangs one pass later */
void cell_reservations_new_pass (MuxCell *cell);
/** cell_reservations_mark_stale() - mark the stage's reservations as stale */
void cell_reservations_mark_stale (MuxCell *cell, const CellStage *stage);
/** cell_reservations_keep() - keep stale reservations of the stage in this pass
 * Return: false if there were none. */
bool cell_reservations_keep (MuxCell *cell, const CellStage *stage);
/** cell_was_reserved() - whether room is reserved, in this pass or the one
 * before */
bool cell_was_reserved (const CellStage *stage, const CellWorker *worker);
/** cell_reserved_for_others() - room reserved at @at_ms for gangs that keep it
 * from @stage */
MuxSize cell_reserved_for_others (const CellStage *stage,
                                  const CellWorker *worker,
                                  int64_t at_ms);
/** cell_worker_spare_tasks() - tasks of @stage that may start there now without
 * taking reserved room */
uint32_t cell_worker_spare_tasks (const MuxCell *cell,
                                  const CellStage *stage,
                                  const CellWorker *worker);
/** cell_delays_gang() - whether a task of @stage that starts there takes room
 * reserved for another */
bool cell_delays_gang (const MuxCell *cell,
                       const CellStage *stage,
                       const CellWorker *worker);
/** cell_reservations_clear() - drop all reservations of the stage */
void cell_reservations_clear (MuxCell *cell, const CellStage *stage);
/** cell_reservations_clear_worker() - drop all reservations at the worker,
 * which is about to be removed */
void cell_reservations_clear_worker (MuxCell *cell, CellWorker *worker);

/* failure_domain.c: the data centre in which a stage runs */
/** cell_choose_data_centre() - choose one for the waiting tasks of the stage */
void cell_choose_data_centre (MuxCell *cell, CellStage *stage);
/** cell_is_outside_data_centre() - whether the worker is not in the data centre
 * chosen for the stage */
bool cell_is_outside_data_centre (const CellStage *stage,
                                  const CellWorker *worker);

/* candidate.c: workers to name in approval queries; those in the data centre
 * chosen for the stage come first */
/** cell_candidates() - workers with room for tasks of the stage now
 * Return: their number; 0 also if enough approvals are being stored. */
uint32_t cell_candidates (MuxCell *cell,
                          CellStage *stage,
                          CellWorker *worker[CELL_CANDIDATES_MAX]);
/** cell_worker_tie_break() - number that orders workers which are equal for a
 * job */
uint64_t cell_worker_tie_break (uint64_t job_hash, const CellWorker *worker);
/** cell_candidates_ahead() - workers that can hold tasks of the stage when it
 * becomes ready */
uint32_t cell_candidates_ahead (MuxCell *cell,
                                CellStage *stage,
                                CellWorker *worker[CELL_CANDIDATES_MAX]);

/* named_workers.c: candidate workers stored with a job before the approval
 * query */
/** cell_row_with_candidates() - the job's row @value with the workers its
 * steps may run on
 * Return: NULL if there are none, or out of memory. */
MuxBlob *cell_row_with_candidates (MuxCell *cell, const MuxBlob *value);

/* plan.c, place.c, gang.c: planning passes */
/** cell_plan() - make a planning pass if it is time */
void cell_plan (MuxCell *cell);
/** cell_room_is_current() - whether the list of workers is recent enough to
 * start tasks by it */
bool cell_room_is_current (const MuxCell *cell);
/** cell_plan_add() - the stage is ready and has waiting tasks */
void cell_plan_add (MuxCell *cell, CellStage *stage);
/** cell_plan_drop() - remove the stage from the plan, if it is in it */
void cell_plan_drop (MuxCell *cell, CellStage *stage);
/** cell_stage_is_scanned() - whether the stage was scanned in this round, while
 * others were not */
bool cell_stage_is_scanned (const MuxCell *cell, const CellStage *stage);
/** cell_stage_cap_per_worker() - @tasks, or the most tasks of the stage that
 * may run on one worker */
uint32_t cell_stage_cap_per_worker (const CellStage *stage, uint32_t tasks);
/** cell_worker_matches() - whether the worker is in the stage's pool and has
 * its label */
bool cell_worker_matches (const CellStage *stage, const CellWorker *worker);
/** cell_worker_is_eligible() - whether the worker may run tasks of the stage,
 * whatever room it has now */
bool cell_worker_is_eligible (const MuxCell *cell,
                              const CellStage *stage,
                              const CellWorker *worker);
/** cell_worker_free() - room without what is booked or held */
MuxSize cell_worker_free (const CellWorker *worker);
/** cell_worker_free_for() - free room, with what @stage itself holds there */
MuxSize cell_worker_free_for (const CellStage *stage, const CellWorker *worker);
/** cell_tasks_size() - room that @tasks of the stage's tasks need */
MuxSize cell_tasks_size (const CellStage *stage, uint32_t tasks);
/** cell_tasks_that_fit() - number of tasks of the stage that fit into @free */
uint32_t cell_tasks_that_fit (const CellStage *stage, MuxSize free);
/** cell_worker_startable_tasks() - tasks of the stage that may start there
 * now */
uint32_t cell_worker_startable_tasks (const MuxCell *cell,
                                      const CellStage *stage,
                                      const CellWorker *worker);
/** cell_place_tasks() - start waiting tasks of a stage that is no gang, or
 * query about workers for them */
void cell_place_tasks (MuxCell *cell, CellStage *stage);
/** cell_place_unsettled() - query about a stage of which a predecessor may have
 * started tasks, shortly before that is known */
void cell_place_unsettled (MuxCell *cell, CellStage *stage);
/** cell_hold_add() - holds room at @worker for @tasks of the stage
 * Return: false when out of memory. */
bool cell_hold_add (CellStage *stage, CellWorker *worker, uint32_t tasks);
void cell_holds_release (CellStage *stage);
/** cell_hold_tasks() - number of tasks whose room the stage holds at @worker */
uint32_t cell_hold_tasks (const CellStage *stage, const CellWorker *worker);
/** cell_place_gang() - start a gang, query about workers for it or reserve room
 * @reservations_left: gangs in time that may still get reservations */
void
cell_place_gang (MuxCell *cell, CellStage *stage, uint32_t *reservations_left);

#endif
