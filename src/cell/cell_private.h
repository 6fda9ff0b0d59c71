#ifndef CELL_CELL_PRIVATE_H
#define CELL_CELL_PRIVATE_H

#include "cell_types.h"

/* call.c: calls and their replies. */
/** cell_message() - to the daemon @to, with what every message has */
MuxPeerMsg cell_message (const MuxCell *cell, MuxPeerVerb verb, const char *to);
/** cell_ask_number() - of what a peer is asked for a caller, not given by any
 * other process */
uint64_t cell_peer_request_id (const MuxCell *cell, uint64_t call);
/** cell_call_asked() - the caller that a peer's word is for */
uint64_t cell_peer_request_caller (const MuxCell *cell, uint64_t number);
bool cell_call (MuxCell *cell, MuxCellCall *call, const CellPending *pending);
/** cell_call_forget() - its reply will be ignored, whatever it says */
void cell_call_abandon (MuxCell *cell, uint64_t call_id);
void cell_store_result (MuxCell *cell, const MuxCellReply *reply);
/** cell_store_silent() - no answer of it came since @since_ms */
void cell_store_timed_out (MuxCell *cell, int64_t since_ms);
bool cell_store_available (const MuxCell *cell);
/** cell_store_moment_ms() - @in_ms from now on the store's clock, at the
 * latest; 0: that is not known */
int64_t cell_store_time_ms (const MuxCell *cell, int64_t in_ms);
uint32_t cell_part_of (const char *id);
MuxCellChange *cell_call_add_change (MuxCellCall *call,
                                     MuxChangeKind kind,
                                     MuxCellTable table,
                                     const char *key);
/** cell_scan_call() - reads a table's part, from its first row on
 * Return: NULL when memory is out; so do cell_commit_call() and cell_call(). */
MuxCellCall *cell_scan_call (MuxCellTable table, const char *part);
/** cell_commit_call() - with room for so many changes, none made yet */
MuxCellCall *cell_commit_call (const char *part, uint32_t changes);
/** cell_expect() - only if the row has that version; 0: if there is none */
void cell_call_expect (MuxCellCall *call,
                       MuxCellTable table,
                       const char *key,
                       uint64_t version);
/** cell_key_behind() - the least key behind @key, to read on from */
void cell_key_after (char next[MUX_ROW_NAME_LEN], const char *key);
/** cell_json_blob() - takes @json over; NULL: memory is out */
MuxBlob *cell_blob_from_json (json_t *json);
json_t *cell_json_from_blob (const MuxBlob *blob);
void cell_log (MuxCell *cell, const char *event, const char *format, ...);

/* proxy.c: calls to workers made by other daemons */
/** cell_worker_call() - by a carrier, or by this daemon */
bool cell_worker_call (MuxCell *cell,
                       CellWorker *worker,
                       MuxCellCall *call,
                       const CellPending *pending);
/** cell_call_otherwise() - the worker's last call went unanswered: the next
 * ones take another way for a while */
void cell_worker_reroute (MuxCell *cell, CellWorker *worker);
void cell_proxy_peer (MuxCell *cell, const MuxPeerMsg *msg);
void cell_proxy_tick (MuxCell *cell);
/** cell_calls_are_carried() - the cell has so many workers */
bool cell_uses_proxies (const MuxCell *cell);
/** cell_pending_add() - NULL: memory is out */
CellPending *cell_pending_add (MuxCell *cell, const CellPending *pending);

/* proxy_wire.c: the bytes of a call and of its end; NULL: memory is out, or
 * they can't be read */
MuxBlob *cell_proxied_call_encode (const MuxCellCall *call);
MuxCellCall *cell_proxied_call_decode (const MuxBlob *blob);
MuxBlob *cell_proxied_reply_encode (const MuxCellReply *reply);
MuxCellReply *cell_proxied_reply_decode (const MuxBlob *blob, uint64_t call_id);

/* bad_row.c: rows of the store that can't be read */
/**
 * enum CellRowFault - why a row can't be read
 */
typedef enum
{
  CELL_ROW_KEY,   /* its key or part is none of its table */
  CELL_ROW_VALUE, /* no bytes, or none of the table's form */
  CELL_ROW_FIELD, /* a field is missing, of another type or out of range */
} CellRowFault;

/** cell_row_bad() - the row is dropped; told once for each version of it
 * @what: names the field or part of it that is wrong */
void cell_report_bad_row (MuxCell *cell,
                          const MuxCellRow *row,
                          CellRowFault fault,
                          const char *what);
/** cell_row_json() - its value; NULL: removed, or told as unreadable */
json_t *cell_row_json (MuxCell *cell, const MuxCellRow *row);
/** cell_reply_row() - the row of that key; NULL: there is none */
const MuxCellRow *cell_reply_find_row (const MuxCellReply *reply,
                                       const char *key);
/** cell_next_page() - the first key of the page behind @reply
 * Return: false, and @from empty, when there is none. */
bool cell_next_page (char from[MUX_ROW_NAME_LEN], const MuxCellReply *reply);
void cell_bad_rows_free (MuxCell *cell);

/* service.c: pools of workers that queues name */
/** cell_service_add() - records a pool; "" is ignored */
void cell_service_add (MuxCell *cell, const char *name);
/** cell_service_is_known() - whether a pool of that hash was recorded */
bool cell_service_is_known (const MuxCell *cell, uint64_t hash);
void cell_services_free (MuxCell *cell);

/* follow.c */
void cell_follow_tick (MuxCell *cell, CellFollow *follow);
void cell_follow_start (CellFollow *follow, uint64_t term, uint64_t version);
/** cell_follow_is_known() - what the feed says is as young as it should be */
bool cell_follow_is_fresh (const MuxCell *cell, const CellFollow *follow);

/* late.c: overload of the planner */
/** cell_reply_latency_record() - adds the call that a worker has just answered
 * to the mean */
void cell_reply_latency_record (MuxCell *cell, const CellPending *pending);
/** cell_reply_latency_ms() - mean latency of the last proxied calls
 * Return: 0: there were too few lately. */
int64_t cell_reply_latency_ms (const MuxCell *cell);
/** cell_late_ms() - how long events wait here until they are processed */
int64_t cell_late_ms (const MuxCell *cell);
/** cell_planner_late_ms() - the same at the planner
 * Return: 0: it has not been heard from lately. */
int64_t cell_planner_late_ms (const MuxCell *cell);
/** cell_accepts_jobs() - the planner is not too late for new jobs */
bool cell_accepts_jobs (const MuxCell *cell);
/** cell_late_tick() - logs and measures how late the planner is */
void cell_late_tick (MuxCell *cell);

/* admit.c: which new jobs are taken */
/** cell_admission_placed() - a task of the stage was started */
void cell_admission_placed (MuxCell *cell, const CellStage *stage);
/** cell_admission_taken() - the planner goes to store the job */
void cell_admission_accepted (MuxCell *cell, const MuxJobSpec *spec);
/** cell_admission_tick() - the planner counts its backlog */
void cell_admission_tick (MuxCell *cell);
/** cell_admission_blob() - what is told to other daemons; NULL: memory is out
 */
MuxBlob *cell_admission_blob (MuxCell *cell);
/** cell_admission_forget() - a term begins: what was told last is another one's
 */
void cell_admission_blob_reset (MuxCell *cell);
/** cell_throttle_retry_ms() - the planner can't take the job, when to come
 * again; 0: it is taken */
uint32_t cell_throttle_retry_ms (const MuxCell *cell, const MuxJobSpec *spec);
/** cell_admission_told() - by the planner, in a message or beside its sign of
 * life; NULL: it takes all */
void cell_admission_receive (MuxCell *cell, const MuxBlob *body);
/** cell_admission_retry_ms() - the job would begin too late, when to come
 * again; 0: it is taken */
uint32_t cell_admission_retry_ms (const MuxCell *cell, const MuxJobSpec *spec);
/** cell_planner_is_busy() - it lives, and does not answer for its load */
bool cell_planner_is_overloaded (const MuxCell *cell);

/* authorize.c: callers and their keys */
/** cell_config_age_ms() - since the configuration was surely the newest one;
 * INT64_MAX: it never was */
int64_t cell_config_age_ms (const MuxCell *cell);
/** cell_config_proved() - no newer one stood in the store then */
void cell_config_confirmed (MuxCell *cell, int64_t at_ms);
/** cell_keys_are_served() - and will be for some time */
bool cell_keys_are_fresh (const MuxCell *cell);
/** cell_keys_tick() - tell when keys begin, or end, to be proved */
void cell_keys_tick (MuxCell *cell);
/** cell_authorize() - who asks, by the key
 * Return: ACCEPTED: @caller is filled in; else the answer. */
MuxResponseOutcome cell_authorize (MuxCell *cell,
                                   const MuxRequest *question,
                                   const MuxQueueSpec *queue,
                                   CellCaller *caller);
/** cell_caller_may_know() - of jobs of @workspace; "": of none */
bool cell_caller_may_see (const CellCaller *caller, const char *workspace);
/** cell_row_is_of() - the row of a job, or of its end, is not another
 * workspace's */
bool cell_row_is_visible_to (const MuxCellRow *row, const CellCaller *caller);

/* quota.c: what workspaces have running */
/** cell_workspace() - of that name, made where it is new
 * Return: NULL for "", or when memory is out. */
CellWorkspace *cell_workspace_get (MuxCell *cell, const char *name);
/** cell_workspaces_configure() - as the configuration in force says */
void cell_workspaces_configure (MuxCell *cell);
void cell_workspaces_free (MuxCell *cell);
/** cell_quota_take() - a run of the stage may hold room from now on */
void cell_quota_charge (const CellStage *stage);
void cell_quota_release (const CellStage *stage);
/** cell_quota_spares() - tasks of the stage that may start now beside what its
 * workspace has running, or may have */
uint32_t cell_quota_tasks_allowed (const MuxCell *cell, const CellStage *stage);
/** cell_quota_wait() - a gang has less than it needs: others of its workspace
 * leave it what becomes free */
void cell_quota_reserve (const MuxCell *cell, const CellStage *stage);
/** cell_quota_leave() - the stage waits no longer */
void cell_quota_unreserve (const CellStage *stage);
/** cell_quota_tick() - count what a former planner may have started */
void cell_quota_tick (MuxCell *cell);
/** cell_quota_never_holds() - a task of the job, or a gang, by the quota of the
 * configuration in force */
bool cell_quota_never_fits (const MuxCell *cell, const MuxJobSpec *spec);

/* submit.c, job_query.c: requests of callers */
/** cell_submit() - takes the job of @request, which is answered later */
void cell_submit (MuxCell *cell, MuxRequest *question);
/** cell_submission_enqueue() - relays, commits or refuses; takes @submission
 * over */
void cell_submission_enqueue (MuxCell *cell, CellSubmission *submission);
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

/* relay.c: jobs handed to the planner */
/** cell_planner_is_near() - another daemon plans and answers */
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
/** cell_claim_read() - what a row of the claim says */
void cell_claim_read (MuxCell *cell, CellClaim *claim, const MuxCellRow *row);
/** cell_own_claim() - the next claim, with this daemon as the planner */
json_t *cell_next_claim (const MuxCell *cell);

/* claim.c: who plans */
void cell_claim_tick (MuxCell *cell);
void cell_claim_row (MuxCell *cell, const MuxCellRow *row);
void cell_claim_full_read (MuxCell *cell, bool ended);
void cell_claim_peer (MuxCell *cell, const MuxPeerMsg *msg);
void cell_step_down (MuxCell *cell, const char *why);
/** cell_write_claim() - the row that says who plans, on condition that it is
 * the one known; takes @value over; @done finds the term in its number */
bool cell_write_claim (MuxCell *cell, json_t *value, CellReplyHandler done);

/* heartbeat.c: what proves a planner's term */
/** cell_proof_begin() - a term begins */
void cell_heartbeat_begin (MuxCell *cell);
/** cell_proof_tick() - keep it proved; @paused_ms: since the last event */
void cell_heartbeat_tick (MuxCell *cell, int64_t paused_ms);
void cell_claim_doubt (MuxCell *cell, const char *why);
bool cell_is_active_planner (const MuxCell *cell);
/** cell_jobs_whole() - all jobs are read anew from now on (not @ended), or have
 * been */
void cell_jobs_full_read (MuxCell *cell, bool ended);
/** cell_verified() - the claim was surely ours then */
void cell_claim_verified (MuxCell *cell, int64_t at_ms);
/** cell_trusted() - the same, by a commit that a successor has seen or that
 * keeps it from claiming */
void cell_claim_renewed (MuxCell *cell, int64_t at_ms);

/* handover.c: who plans next when a planner leaves by itself */
void cell_yield_begin (MuxCell *cell);
/** cell_yield_tick() - to a much stronger member */
void cell_yield_tick (MuxCell *cell);
void cell_release_claim (MuxCell *cell);

/* member.c: the daemons that greet the planner */
CellMember *cell_member_find (MuxCell *cell, const char *name);
/** cell_member_new() - that has greeted for the first time, or this daemon;
 * NULL: memory is out */
CellMember *cell_member_new (MuxCell *cell, const char *name);
/** cell_member_asks() - it works on an approval question from now on, or no
 * longer: @number is 0 */
void cell_member_set_query (MuxCell *cell, CellMember *member, uint64_t number);
/** cell_member_heard() - Return: false: it is not noted, as it is older than
 * one that was taken, or memory is out */
bool cell_member_hello_received (MuxCell *cell, const MuxPeerMsg *hello);
void cell_members_free (MuxCell *cell);

/* time_of_day.c: that the cell goes by */
/** cell_set_time() - of the event that is taken now */
void cell_set_time (MuxCell *cell, MuxCellTime time);
/** cell_day_heard() - a member says what time of day it has; 0: it does not */
void cell_member_set_wall_time (const MuxCell *cell,
                                CellMember *member,
                                int64_t wall_ms);
/** cell_day_told() - the planner says which one the cell goes by */
void cell_planner_wall_time_received (MuxCell *cell, int64_t wall_ms);

/* load.c: what a new planner reads */
void cell_load_begin (MuxCell *cell);
void cell_load_tick (MuxCell *cell);
void cell_fence_read (MuxCell *cell, CellPart *part);
/** cell_fence_add() - two changes that make the commit this planner's alone */
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
/** cell_job_slack_ms() - how long the job may wait in all and still end by its
 * deadline */
int64_t cell_job_slack_ms (const MuxCell *cell, const MuxJobSpec *spec);
/** cell_job_remove() - frees a job of MuxCell.jobs */
void cell_job_remove (MuxCell *cell, CellJob *job);
/** cell_job_ended_recently() - it is in MuxCell.ended_jobs */
bool cell_job_ended_recently (MuxCell *cell, const char *id);
/** cell_job_cancel() - stops all its runs */
void cell_job_cancel (MuxCell *cell, CellJob *job);
/** cell_attempts_max() - failed runs of a task after which its job fails */
uint32_t cell_attempts_max (const CellJob *job);
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
/** cell_task_find() - NULL: its job, or that occurrence of it, is not known */
CellTask *cell_task_find (MuxCell *cell, const MuxTaskRef *ref);
MuxTaskRef cell_task_ref (const CellTask *task);

/* occurrence.c */
/** cell_occurrence_add() - @began_ms: when it was due; false: memory is out */
bool cell_occurrence_add (const MuxCell *cell,
                          CellJob *job,
                          uint32_t occurrence,
                          int64_t began_ms);
/** cell_occurrences_left() - some have not begun */
bool cell_occurrences_left (const CellJob *job);
/** cell_occurrences_begin() - those that are due */
void cell_occurrences_begin (MuxCell *cell, CellJob *job);
/** cell_occurrence_is_early() - the last that was begun is not due */
bool cell_occurrence_is_early (const MuxCell *cell, const CellJob *job);
/** cell_is_due() - the occurrence's time has come */
bool cell_occurrence_is_due (const MuxCell *cell,
                             const CellJob *job,
                             uint32_t occurrence);
/** cell_occurrences_due() - most that a planner may have begun, its time of day
 * ahead of ours */
uint32_t cell_occurrences_due (const MuxCell *cell, const CellJob *job);
/** cell_job_occurrences() - those that a former planner had begun */
void cell_occurrences_restore (MuxCell *cell, CellJob *job, uint32_t count);

/* job_rows.c: rows of the table of jobs */
/** cell_job_add_committed() - adds a job that this planner has just stored */
void
cell_job_add_committed (MuxCell *cell, const MuxBlob *row, uint64_t version);
/** cell_jobs_row() - takes a row that was read or came by the feed */
void cell_jobs_row (MuxCell *cell, const MuxCellRow *row);
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
/** cell_unreadable_keep_end() - keeps an end of a run of a job not known here
 * Return: false: it can't be kept, and must not be acknowledged. */
bool cell_unreadable_keep_end (MuxCell *cell, const MuxRunReport *report);
/** cell_unreadable_load_row() - takes a row that the takeover reads
 * Return: false: it is not a row of ends. */
bool cell_unreadable_load_row (MuxCell *cell, const MuxCellRow *row);
/** cell_unreadable_add_rows() - adds rows of ends to a commit of the part
 * Return: false: some did not fit. */
bool cell_unreadable_add_rows (MuxCell *cell,
                               const CellPart *part,
                               MuxCellCall *call);
/** cell_unreadable_committed() - that commit is done; @stored: it succeeded */
void cell_unreadable_committed (MuxCell *cell, CellPart *part, bool stored);
void cell_unreadable_tick (MuxCell *cell);
/** cell_unreadable_add_end() - adds an end, or notes that there are too many
 * Return: false: it is known already. */
bool cell_unreadable_add_end (CellUnreadable *unreadable,
                              const CellUnreadableEnd *end);

/* unreadable_rows.c: their rows */
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
/** cell_stage_gang_checkpoint() - what the gang resumes from; "": nothing */
const char *cell_stage_gang_checkpoint (const CellStage *stage);
/** cell_stage_log_placed() - logs that starts of its last @tasks waiting tasks
 * were sent */
void
cell_stage_log_placed (MuxCell *cell, const CellStage *stage, uint32_t tasks);

/* step_wait.c: what a step is blocked on, and its approval queries */
/** cell_step_wait_begin() - the step has become ready */
void cell_step_wait_begin (const MuxCell *cell, CellStage *stage);
/** cell_step_blocked_on() - sets what it is blocked on from now on */
void cell_step_blocked_on (const MuxCell *cell,
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
/** cell_load_line_tick() - tell what askers and room are used for */
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

/* progress.c: commits of progress */
void cell_progress_tick (MuxCell *cell);
/** cell_stored_seq() - all changes up to this number are stored */
uint64_t cell_stored_seq (const MuxCell *cell);

/* worker.c */
void cell_worker_row (MuxCell *cell, const MuxCellRow *row);
void cell_workers_full_read (MuxCell *cell, bool ended);
CellWorker *cell_worker_find (MuxCell *cell, const char *id);
CellWorker *cell_worker_add (MuxCell *cell, const char *id);
/** cell_worker_replaced() - another life answers at its address */
void cell_worker_replaced (MuxCell *cell, CellWorker *worker);
void cell_worker_dead (MuxCell *cell, CellWorker *worker, const char *why);
void cell_workers_tick (MuxCell *cell);
void cell_workers_free (MuxCell *cell);
bool cell_worker_usable (const MuxCell *cell, const CellWorker *worker);
/** cell_worker_is_unheard() - it may run what a former planner started, unknown
 * to this one */
bool cell_worker_is_unconfirmed (const CellWorker *worker);
bool cell_all_workers_confirmed (MuxCell *cell);

/** cell_worker_unlist() - it is missing from the platform's list */
void cell_worker_unlist (MuxCell *cell, CellWorker *worker);
/** cell_worker_take_entry() - what the list says of it, but for its name */
void cell_worker_set_info (CellWorker *worker, const MuxWorkerInfo *entry);

/* room.c */
/** cell_room_take() - for a task of @stage */
void cell_room_book (CellWorker *worker, const CellStage *stage);
void cell_room_release (CellWorker *worker, const CellStage *stage);
/** cell_room_ever() - once all that ends there has ended */
MuxSize cell_room_eventual (const CellWorker *worker);

/* renew.c */
/* Between renewals while ends wait to be stored, or after a failure. */
#define CELL_RENEW_PAUSE_MS 200
void cell_renew_if_due (MuxCell *cell, CellWorker *worker);

/* incarnation.c: workers that start again under their ids */
/** cell_life_join() - @worker to the lives of its id
 * Return: false when memory is out. */
bool cell_incarnation_add (MuxCell *cell, CellWorker *worker);
void cell_incarnation_remove (MuxCell *cell, CellWorker *worker);
/** cell_life_is_outdated() - a later life of that id has answered */
bool
cell_incarnation_is_outdated (MuxCell *cell, const char *id, uint64_t born_ms);
/** cell_lives_unlist() - all lives of that id but one; NULL: all */
void
cell_incarnations_unlist (MuxCell *cell, const char *id, const CellWorker *but);
/** cell_life_next() - the life that answered in place of @former
 * Return: NULL when memory is out. */
CellWorker *cell_incarnation_next (MuxCell *cell,
                                   const CellWorker *former,
                                   uint64_t born_ms);
/** cell_lives_end() - of those before @worker, which has answered */
void cell_incarnations_end_earlier (MuxCell *cell, CellWorker *worker);
/** cell_life_is_unsettled() - it is not known of all runs that were sent to the
 * life whether they are at the next one */
bool cell_incarnation_is_unresolved (const CellWorker *worker);
/** cell_life_settled() - it is known of one, and is to be stored */
void cell_incarnation_resolved (MuxCell *cell, const char *life);
/** cell_life_listed_runs() - its first list has been taken: what is booked and
 * was not named is not to begin any more */
void cell_incarnation_runs_listed (MuxCell *cell, CellWorker *worker);

/* claim_lease.c: how long a planner orders without a proof of its claim */
/** cell_claim_is_trusted() - this planner may still order */
bool cell_claim_is_valid (const MuxCell *cell);
/** cell_greeting_next() - the planner is greeted; Return: the greeting's number
 */
uint64_t cell_hello_next (MuxCell *cell, bool table_ok);
/** cell_greeting_taken() - it has taken that one */
void cell_hello_acked (MuxCell *cell, uint64_t number);
/** cell_trust_was_short() - the holder of the claim has surely not trusted it
 * for as long as through an outage of the store */
bool cell_claim_lease_was_short (const MuxCell *cell);
/** cell_trust_until_ms() - it trusts its claim no longer */
int64_t cell_claim_lease_until_ms (const MuxCell *cell);

/* predecessor.c: the planners before this one */
/** cell_claim_former() - what a row of the claim tells of those before its
 * holder; @json: the row; NULL: it can't be read */
void cell_claim_read_predecessors (const MuxCell *cell,
                                   CellClaim *claim,
                                   const json_t *json);
/** cell_sign_read() - the same of the holder's sign of life */
void cell_heartbeat_read (MuxCell *cell, const MuxCellRow *row);
/** cell_orders_until_ms() - neither the claim's holder nor any planner before
 * it orders after this */
int64_t cell_orders_until_ms (const MuxCell *cell);
/** cell_former_begin() - this daemon is about to hold the claim that is known
 */
void cell_predecessor_begin (MuxCell *cell);
/** cell_former_tell() - put into @json that planners before its writer may
 * order for @left_ms more; Return: @json */
json_t *
cell_predecessors_to_json (const MuxCell *cell, json_t *json, int64_t left_ms);
/** cell_former_left_ms() - for how long planners before this one may order */
int64_t cell_predecessors_left_ms (const MuxCell *cell);
/** cell_former_heard() - a daemon greets, maybe the former planner */
void cell_predecessor_hello (MuxCell *cell, const MuxPeerMsg *hello);

/* worker_lease.c: how long what runs at a worker may run on */
/** cell_longest_lease_ms() - that workers grant, on the slowest clock */
int64_t cell_longest_lease_ms (void);
/** cell_worker_lease() - on its clock, a whole one from now; 0: not known */
int64_t cell_worker_extend_lease (const MuxCell *cell, CellWorker *worker);
/** cell_worker_lease_left() - until the furthest lease is surely over */
int64_t cell_worker_lease_left (const MuxCell *cell, const CellWorker *worker);
/** cell_former_lease_left() - until all that a former planner may have ordered
 * at a worker that was not heard is over */
int64_t cell_predecessor_lease_left (const MuxCell *cell);
/** cell_unheard_lease_left() - the same at @worker, which may bear a mark */
int64_t cell_unconfirmed_lease_left (const MuxCell *cell,
                                     const CellWorker *worker);
/** cell_lease_is_over() - nothing of ours can run there any more */
bool cell_lease_is_over (MuxCell *cell, CellWorker *worker);
/** cell_lease_of_stale() - what calls meant for a former life may have asked */
void cell_lease_of_stale (const MuxCell *cell, CellWorker *worker);
/** cell_lease_of_former() - what a former planner may have asked of it */
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

/* evacuate.c: what runs at a worker that leaves */
/** cell_worker_leaves() - its entry in the list was read */
void cell_worker_set_leave_time (const MuxCell *cell, CellWorker *worker);
/** cell_evacuate() - stop what would be lost with it */
void cell_evacuate (MuxCell *cell, CellWorker *worker);

/* run_time_learn.c: how long runs take */
/** cell_expected_ms() - a run of the step */
uint32_t cell_expected_ms (const MuxCell *cell,
                           const MuxJobSpec *spec,
                           const MuxStepSpec *step);
/** cell_learn_run() - that ended well just now */
void cell_run_time_record (MuxCell *cell, const CellBooking *booking);
/** cell_run_times_json() - for other daemons; owned by the caller */
json_t *cell_run_times_json (const MuxCell *cell);
/** cell_run_times_told() - by the planner; NULL: nothing */
void cell_run_times_receive (MuxCell *cell, const json_t *list);
void cell_run_times_tick (MuxCell *cell);

/* sweep.c: rows of jobs that ended long ago */
void cell_sweep_begin (MuxCell *cell);
void cell_sweep_tick (MuxCell *cell);

/* roster.c */
void cell_roster_tick (MuxCell *cell);
void cell_roster_load (MuxCell *cell);
/** cell_in_roster() - the roster names it, or may do so */
bool cell_in_roster (const CellWorker *worker);

/* run.c: starts, stops and ends of runs */
/** cell_book() - books room for a run; NULL: memory is out */
CellBooking *
cell_book (MuxCell *cell, CellTask *task, CellWorker *worker, uint32_t run);
/** cell_unbook() - frees the booking and its room */
void cell_unbook (MuxCell *cell, CellBooking *booking);
/** cell_start_run() - books the run and sends its start
 * @checkpoint: what to resume from; "": nothing
 * Return: false: it was not sent, and nothing is booked. */
bool cell_start_run (MuxCell *cell,
                     CellTask *task,
                     CellWorker *worker,
                     uint32_t run,
                     const char *checkpoint);
/** cell_stop_booking() - stops the run; repeated until it is confirmed */
void cell_stop_booking (MuxCell *cell, CellBooking *booking);
/** cell_stops_tick() - sends the stops that are due at the worker */
void cell_stops_tick (MuxCell *cell, CellWorker *worker);
/** cell_run_ended() - applies the end of a run and advances its job
 * @checkpoint: what the run saved; "": nothing */
void cell_run_ended (MuxCell *cell,
                     CellTask *task,
                     CellWorker *worker,
                     uint32_t run,
                     MuxRunEnd end,
                     const char *checkpoint);
/** cell_end_apply() - applies the end of a run to its task alone: no orders, no
 * check of attempts */
void cell_end_apply (MuxCell *cell,
                     CellTask *task,
                     uint32_t run,
                     MuxRunEnd end,
                     const char *checkpoint);
/** cell_stop_orphan() - sends a stop of a run without a booking */
void cell_stop_orphan (MuxCell *cell,
                       CellWorker *worker,
                       const MuxTaskRef *task,
                       uint32_t run);
/** cell_next_run() - the run number after @last, in the range of this term */
uint32_t cell_next_run (const MuxCell *cell, uint32_t last);
/* loss.c: what lost runs say of their task */
/** cell_task_losses() - what became of the workers, as is known now */
CellLosses cell_task_losses (const MuxCell *cell, const CellTask *task);
/** cell_losses_allow() - the task may be started once more */
bool cell_losses_allow_start (const MuxCell *cell, const CellTask *task);
/** cell_losses_give_up() - it is not to be started any more */
bool cell_losses_exceeded (const MuxCell *cell, const CellTask *task);
/** cell_life_acquits() - a run that lived so long shows that the task does not
 * crash its workers */
bool cell_run_clears_task (const CellTask *task, int64_t lived_ms);

/* outage.c: workers that went down together */
/** cell_outage_note() - the worker is out of reach */
void cell_outage_record (MuxCell *cell, const CellWorker *worker);
/** cell_outage_span() - of a run that is lost with the worker */
CellLossSpan cell_outage_span (const MuxCell *cell,
                               const CellWorker *worker,
                               int64_t from_ms);
/** cell_run_span() - of a run that is lost with its worker */
CellLossSpan cell_run_span (const MuxCell *cell, const CellBooking *booking);
/** cell_lost_in_outage() - so many others went down while the run was there
 * that it may be chance */
bool cell_lost_in_outage (const MuxCell *cell,
                          const CellTask *task,
                          const CellLoss *loss);
/** cell_is_calm() - no worker went out of reach lately */
bool cell_workers_are_stable (const MuxCell *cell);
/** cell_run_lived_ms() - for how long at least, as its worker told */
int64_t cell_run_lived_ms (const CellBooking *booking);
bool cell_run_was_short (int64_t lived_ms);

/* crash.c: runs that were lost with their workers */
/** cell_loss_add() - zeroed, to be filled; NULL: memory is out */
CellLoss *cell_loss_add (CellTask *task);
/** cell_lose_runs() - all that the dead @worker had, but those whose start may
 * still come to its next life */
void cell_lose_runs (MuxCell *cell, CellWorker *worker);
/** cell_lose_settled() - a run that is not at the worker, and was sent to its
 * former life */
void cell_lose_resolved (MuxCell *cell, CellBooking *booking);
/** cell_losses_heard() - that life of a worker answers, and no other at its
 * address */
void cell_losses_worker_confirmed (MuxCell *cell, const CellWorker *worker);
/** cell_losses_of_dead() - that life of a worker is over, or out of reach for
 * longer than its lease */
void cell_losses_worker_dead (MuxCell *cell, const CellWorker *worker);
/** cell_start_is_recorded() - a start of the suspect there is stored, or it
 * goes into the next commit */
bool cell_start_is_recorded (MuxCell *cell,
                             CellTask *task,
                             const CellWorker *worker);
/** cell_loss_run_began() - the worker told that the run of that record has */
void cell_loss_run_began (MuxCell *cell, CellTask *task);
/** cell_loss_run_lives() - a list names the run */
void cell_loss_run_listed (MuxCell *cell, const CellBooking *booking);
/** cell_loss_run_ended() - the run of that record told its end */
void cell_loss_run_ended (MuxCell *cell, CellTask *task);
void cell_losses_tick (MuxCell *cell);
void cell_losses_free (CellTask *task);

/* crash_log.c: the same as the log tells it */
/** cell_log_loss() - a run was lost */
void cell_log_loss (MuxCell *cell, const CellTask *task, const CellLoss *loss);
/** cell_log_crash() - a worker crashed with what it ran */
void cell_log_crash (MuxCell *cell, const CellWorker *worker);
/** cell_log_crashed_under() - each worker that the task lost */
void cell_log_crashed_under (MuxCell *cell, const CellTask *task);

/* crash_list.c */
/** cell_losses_note() - of a job, after cell_loss_add() */
void cell_loss_list_add (MuxCell *cell, CellJob *job);
/** cell_losses_forget() - it has none left, or goes */
void cell_loss_list_remove (MuxCell *cell, CellJob *job);

/* crash_rows.c: losses as they are stored */
json_t *cell_losses_json (const CellStage *stage);
/** cell_losses_valid() - they can be read, of a step of @tasks; also NULL */
bool cell_losses_valid (const json_t *list, uint32_t tasks);
void cell_losses_apply (CellStage *stage, const json_t *list);

/* suspect.c: tasks under which workers crashed */
/** cell_start_needs_record() - a next planner must know of its start */
bool cell_start_needs_record (const MuxCell *cell, const CellTask *task);
/** cell_start_has_record() - of a run that has not ended */
bool cell_start_has_record (const CellTask *task);
/** cell_suspicion() - workers that may have crashed for the task */
uint32_t cell_suspected_crashes (const MuxCell *cell, const CellTask *task);
bool cell_task_may_start (const MuxCell *cell, const CellTask *task);
/** cell_gang_may_start() - each of its tasks may */
bool cell_gang_may_start (const MuxCell *cell, const CellStage *stage);
/** cell_worker_bears() - the task may start there beside what else does */
bool cell_worker_accepts_suspect (const MuxCell *cell,
                                  const CellTask *task,
                                  const CellWorker *worker);
/** cell_suspect_cost() - of a suspect at the worker; smaller is better */
int64_t cell_suspect_cost (const MuxCell *cell,
                           const CellTask *task,
                           const CellWorker *worker);

/* reports.c: runs that a worker lists */
/** cell_reports_apply() - takes the answer to a RENEW call */
void cell_reports_apply (MuxCell *cell,
                         CellWorker *worker,
                         const MuxCellReply *reply);

/* approval_list.c */
/** cell_approval() - what is known of the worker; NULL: it was not asked about
 */
CellApproval *cell_approval_find (const CellStage *stage,
                                  const CellWorker *worker);
CellApproval *cell_approval_find_slot (const CellStage *stage, uint32_t slot);
/** cell_approval_add() - the entry of the worker; NULL: memory is out */
CellApproval *cell_approval_add (CellStage *stage, const CellWorker *worker);
void cell_approvals_free (CellStage *stage);

/* approval_query.c */
/** cell_askers() - daemons that were heard lately, busy or not */
uint32_t cell_queriers_alive (MuxCell *cell);
/** cell_question_ms() - what a question about @count workers takes */
uint32_t cell_approval_query_ms (const CellStage *stage, uint32_t count);
/** cell_can_ask() - some daemon is free to ask about @count workers */
bool cell_can_query (MuxCell *cell, const CellStage *stage, uint32_t count);
bool cell_approval_query_send (MuxCell *cell,
                               CellStage *stage,
                               CellWorker *const *candidates,
                               uint32_t count);
const char *cell_approval_proof (const MuxCell *cell,
                                 const CellStage *stage,
                                 const CellWorker *worker);
/** cell_proof_taken() - the proof to show now; NULL: there is none, or
 * @approval is NULL */
const char *cell_usable_proof (const MuxCell *cell,
                               const CellApproval *approval);
/** cell_approval_is_near() - its proof is taken once the record of the approval
 * is stored, which is on its way; false for NULL */
bool cell_approval_is_being_recorded (const MuxCell *cell,
                                      const CellApproval *approval);
/** cell_approval_lasts() - its proof is still taken when a question about
 * @count workers that is sent now was answered */
bool cell_proof_outlasts_query (const MuxCell *cell,
                                const CellStage *stage,
                                const CellWorker *worker,
                                uint32_t count);
/** cell_approvals_stored() - what was known when the job's progress was
 * written stands in the store */
void cell_approvals_stored (CellStage *stage);
/** cell_approvals_written() - they go into a commit */
void cell_approvals_in_commit (CellStage *stage);
/** cell_approvals_json() - ids of workers that the stage may run on */
json_t *cell_approvals_json (MuxCell *cell, const CellStage *stage);
/** cell_is_recorded() - the stored record names the worker */
bool cell_worker_is_recorded (const CellStage *stage, const CellWorker *worker);
void cell_approvals_apply (CellStage *stage, const json_t *json);
/** cell_approvals_take_former() - what is recorded of a former planner is
 * known, but for proofs */
void cell_approvals_add_recorded (MuxCell *cell, CellStage *stage);
/** cell_stage_is_settled() - no run of it that a former planner started can
 * be anywhere without being known */
bool cell_stage_is_settled (MuxCell *cell, const CellStage *stage);
/** cell_stage_settles_in_ms() - until then some may be, as far as its workers
 * are recorded */
int64_t cell_stage_settles_in_ms (MuxCell *cell, const CellStage *stage);
/** cell_took_answer() - the question of that number was answered, or is lost */
void cell_approval_query_done (MuxCell *cell,
                               uint64_t number,
                               bool answered,
                               const MuxApproval *approvals,
                               uint32_t count,
                               uint32_t valid_ms);
void cell_approvals_tick (MuxCell *cell);
void cell_approval_queries_free (MuxCell *cell);

/** cell_question_is_short() - one about @count workers takes no daemon from
 * urgent steps */
bool cell_approval_query_is_short (const CellStage *stage, uint32_t count);

/* query_ahead.c */
/** cell_ask_ahead() - about the steps that come after @placed */
void cell_query_ahead (MuxCell *cell, const CellStage *placed);

/* approval_query_peer.c */
/** cell_question_call() - the call that asks what @question says
 * Return: NULL if it can't be understood, or memory is out. */
MuxCellCall *cell_approval_query_call (const json_t *question);
void cell_approval_peer (MuxCell *cell, const MuxPeerMsg *msg);

/* rank.c: the order of waiting steps */
CellRank cell_stage_rank (const CellStage *stage, int64_t now_ms);
/** cell_stage_ranked_until() - when that rank changes; INT64_MAX: never */
int64_t cell_stage_rank_expires_ms (const CellStage *stage, int64_t now_ms);
/** cell_stage_order() - negative: @a goes first; of steps that were ranked */
/** cell_stage_is_late() - it goes behind all that is in time */
bool cell_stage_is_late (const CellStage *stage);
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
/** cell_order_rank() - of those whose rank has changed by now */
void cell_plan_order_rerank (MuxCell *cell);
typedef void (*CellStageVisit) (MuxCell *cell, const CellStage *stage);
/** cell_order_visit() - all stages of the plan, in no order; it must not change
 * the plan */
void cell_plan_order_visit (MuxCell *cell, CellStageVisit visit);
/** cell_order_begin() - a pass, with the first in order */
void cell_plan_order_begin (CellPlanOrder *order);
/** cell_order_front() - the next in order; NULL: that was the last */
CellStage *cell_plan_order_next_front (CellPlanOrder *order);
/** cell_order_turn() - the next in the round, which may have been looked at
 * before if its rank changed; NULL: all had their turn */
CellStage *cell_plan_order_next_in_round (CellPlanOrder *order);
/** cell_order_is_done() - all had their turn in the round */
bool cell_plan_order_is_done (const CellPlanOrder *order);
void cell_plan_order_new_round (CellPlanOrder *order);
/** cell_order_begin_urgent() - a pass over those of urgent queues */
void cell_plan_order_begin_urgent (CellPlanOrder *order);
CellStage *cell_plan_order_next_urgent (CellPlanOrder *order);

/* worker_scan.c: which workers a look at a step passes over */
/** cell_is_sampled() - the cell has more workers than one look passes over */
bool cell_worker_scan_is_partial (const MuxCell *cell);
/** cell_sample_max() - most workers of one look */
uint32_t cell_worker_scan_max (const MuxCell *cell);
/** cell_sample_begin() - a look of the stage, behind its last one */
CellWorkerScan cell_worker_scan_begin (const MuxCell *cell,
                                       const CellStage *stage);
/** cell_sample_next() - NULL: that was the last */
CellWorker *cell_worker_scan_next (MuxCell *cell, CellWorkerScan *sample);
/** cell_sample_end() - the stage's next look begins where this one stands */
void cell_worker_scan_end (CellStage *stage, const CellWorkerScan *sample);

/* forecast.c: when running tasks will have ended */
/** cell_booking_left_ms() - its run is expected to take so much longer */
int64_t cell_booking_remaining_ms (const MuxCell *cell,
                                   const CellBooking *booking);
/** cell_worker_free_at() - for @stage, if nothing starts there until @at_ms */
MuxSize cell_worker_free_at (const MuxCell *cell,
                             const CellStage *stage,
                             const CellWorker *worker,
                             int64_t at_ms);
/** cell_worker_gaps() - for members of @stage there, in the order of time
 * Return: how many, @gap_max at most. */
uint32_t cell_worker_openings (const MuxCell *cell,
                               const CellStage *stage,
                               CellWorker *worker,
                               CellOpening *gap,
                               uint32_t gap_max);

/* gang_reserve.c */
/** cell_gather() - reserve room at @count approved workers for a gang that has
 * too little now, and ask for proofs if the time has come and it @may_ask */
void cell_gang_reserve (MuxCell *cell,
                        CellStage *stage,
                        CellWorker *const *worker,
                        uint32_t count,
                        bool may_ask);

/* reserve.c: room kept for gangs */
/** cell_reserve() - for @tasks more members of @stage, from @at_ms on
 * Return: false: too many gangs have room there. */
bool cell_reserve (MuxCell *cell,
                   CellStage *stage,
                   CellWorker *worker,
                   uint32_t tasks,
                   int64_t at_ms);
/** cell_reservations_begin() - a pass begins: only those of stages that rest
 * stay */
void cell_reservations_new_pass (MuxCell *cell);
/** cell_reservations_drop() - those of this pass */
void cell_reservations_mark_stale (MuxCell *cell, const CellStage *stage);
/** cell_reservations_stand() - those of the pass before stay in this one
 * Return: false: there were none. */
bool cell_reservations_keep (MuxCell *cell, const CellStage *stage);
/** cell_was_reserved() - in this pass or the one before */
bool cell_was_reserved (const CellStage *stage, const CellWorker *worker);
/** cell_reserved_for_others() - than @stage, up to @at_ms */
MuxSize cell_reserved_for_others (const CellStage *stage,
                                  const CellWorker *worker,
                                  int64_t at_ms);
/** cell_worker_spares() - tasks of @stage that may start there now, beside what
 * is kept for another */
uint32_t cell_worker_spare_tasks (const MuxCell *cell,
                                  const CellStage *stage,
                                  const CellWorker *worker);
/** cell_delays_gang() - a task of @stage that starts there takes room that is
 * kept for another */
bool cell_delays_gang (const MuxCell *cell,
                       const CellStage *stage,
                       const CellWorker *worker);
/** cell_reservations_clear() - nothing is kept for the stage any more */
void cell_reservations_clear (MuxCell *cell, const CellStage *stage);
/** cell_reservation_forget() - the worker goes */
void cell_reservations_clear_worker (MuxCell *cell, CellWorker *worker);

/* failure_domain.c: what a cut between data centres separates */
/** cell_choose_data_centre() - for the tasks of the stage that wait */
void cell_choose_data_centre (MuxCell *cell, CellStage *stage);
/** cell_is_outside() - of the data centre that the stage's tasks go to */
bool cell_is_outside_data_centre (const CellStage *stage,
                                  const CellWorker *worker);

/* candidate.c: workers to ask the policy service about, those of the data
 * centre that is chosen for the stage before others */
/** cell_candidates() - that have room for tasks of the stage now
 * Return: how many; 0 also when enough approvals are being recorded. */
uint32_t cell_candidates (MuxCell *cell,
                          CellStage *stage,
                          CellWorker *worker[CELL_CANDIDATES_MAX]);
/** cell_worker_turn() - decides among workers that are alike for a job */
uint64_t cell_worker_tie_break (uint64_t job_hash, const CellWorker *worker);
/** cell_candidates_later() - that can hold tasks of the stage once its turn has
 * come */
uint32_t cell_candidates_ahead (MuxCell *cell,
                                CellStage *stage,
                                CellWorker *worker[CELL_CANDIDATES_MAX]);

/* named_workers.c: workers named before they are asked about */
/** cell_named_row() - the job's row @value with workers that its steps may run
 * on
 * Return: NULL when there are none to name, or memory is out. */
MuxBlob *cell_row_with_candidates (MuxCell *cell, const MuxBlob *value);

/* plan.c, place.c, gang.c */
void cell_plan (MuxCell *cell);
/** cell_room_is_known() - what workers last said of their room is young enough
 * to start something there */
bool cell_room_is_current (const MuxCell *cell);
void cell_plan_add (MuxCell *cell, CellStage *stage);
void cell_plan_drop (MuxCell *cell, CellStage *stage);
/** cell_stage_rests() - it was looked at in this round, and others were not */
bool cell_stage_is_scanned (const MuxCell *cell, const CellStage *stage);
/** cell_stage_bounded() - so many of @tasks may run on one worker */
uint32_t cell_stage_cap_per_worker (const CellStage *stage, uint32_t tasks);
/** cell_worker_serves() - it is of the stage's service and has its label */
bool cell_worker_matches (const CellStage *stage, const CellWorker *worker);
bool cell_worker_is_eligible (const MuxCell *cell,
                              const CellStage *stage,
                              const CellWorker *worker);
MuxSize cell_worker_free (const CellWorker *worker);
/** cell_worker_free_for() - free room, with what @stage itself holds there */
MuxSize cell_worker_free_for (const CellStage *stage, const CellWorker *worker);
/** cell_tasks_size() - room that @tasks of the stage's tasks need */
MuxSize cell_tasks_size (const CellStage *stage, uint32_t tasks);
uint32_t cell_tasks_that_fit (const CellStage *stage, MuxSize free);
/** cell_worker_takes() - tasks of the stage that it has room for now */
uint32_t cell_worker_startable_tasks (const MuxCell *cell,
                                      const CellStage *stage,
                                      const CellWorker *worker);
void cell_place_tasks (MuxCell *cell, CellStage *stage);
/** cell_place_soon() - a former planner may have started tasks of it: ask for
 * what it needs once that is known */
void cell_place_unsettled (MuxCell *cell, CellStage *stage);
/** cell_hold_add() - holds room at @worker for @tasks of the stage
 * Return: false when out of memory. */
bool cell_hold_add (CellStage *stage, CellWorker *worker, uint32_t tasks);
void cell_holds_release (CellStage *stage);
/** cell_hold_tasks() - number of tasks whose room the stage holds at @worker */
uint32_t cell_hold_tasks (const CellStage *stage, const CellWorker *worker);
void cell_place_gang (MuxCell *cell, CellStage *stage, uint32_t *reservations);

#endif
