#ifndef DAEMON_SETTINGS_TABLE_H
#define DAEMON_SETTINGS_TABLE_H

#include "base/log.h"
#include "base/settings.h"

/**
 * struct MuxDaemonOptions - settings of one daemon, checked
 * @settings: owns every text below
 * @name: this instance
 * @data_centre: where it stands
 * @listen: callers' HTTP address
 * @peer_listen: peers' ZeroMQ address
 * @peer_advertise: address told to peers, or "": the one listened on
 * @platform_url: platform's services; "": none
 * @seeds: peers to greet first
 * @seed_count: entries of @seeds
 * @lease_ms: lease asked of workers
 * @heartbeat_ms: between heartbeats to peers
 * @suspect_ms: silence after which a peer gets no new asks
 * @dead_ms: silence after which a peer's workers are claimed
 * @queue_max: most requests and tasks waiting here
 * @writes_per_s: of the table, from all daemons together
 * @callers_max: most callers waiting for an answer
 * @caller_idle_s: a caller's connection silent for this long is closed
 * @worker_threads: START and FETCH calls in flight at once
 * @worker_control_threads: other worker calls in flight at once
 * @platform_threads: platform calls in flight at once
 * @list_every_ms: between reads of the instance list
 * @body_max_kib: most KiB of a caller's body
 * @stop_after_ms: bound of the graceful stop
 * @curve_secret_key: Z85 text; "": peers' traffic is not encrypted
 * @curve_public_key: the matching public key
 * @tls_cert_file: PEM certificate of the callers' side; "": plain HTTP
 * @tls_key_file: PEM key of the callers' side
 * @store: transactional store of stepped jobs; "": they are not served
 * @approvals: policy service that approves workers; "": none
 * @revoke_timeout_ms: how long a key that was taken away may still be taken; 0:
 *   until this daemon hears of it
 * @quota_overrun_milli: thousandths of a quota that may be held beyond it
 * @strength_milli: share of a processor that this instance has
 * @ready_listen: where the platform asks for readiness
 * @metrics_listen: where the counters are served; "": nowhere
 * @log_level: highest severity number printed
 */
typedef struct
{
  MuxSettings *settings;
  const char *name;
  const char *data_centre;
  const char *listen;
  const char *peer_listen;
  const char *peer_advertise;
  const char *platform_url;
  const char *const *seeds;
  uint32_t seed_count;
  uint32_t lease_ms;
  uint32_t heartbeat_ms;
  uint32_t suspect_ms;
  uint32_t dead_ms;
  uint32_t queue_max;
  uint32_t writes_per_s;
  uint32_t key_retention_s;
  uint32_t callers_max;
  uint32_t caller_idle_timeout_s;
  uint32_t worker_threads;
  uint32_t worker_control_threads;
  uint32_t platform_threads;
  uint32_t list_interval_ms;
  uint32_t body_max_kib;
  uint32_t stop_timeout_ms;
  const char *curve_secret_key;
  const char *curve_public_key;
  const char *tls_cert_file;
  const char *tls_key_file;
  const char *store;
  const char *approvals;
  uint32_t revoke_timeout_ms;
  uint32_t quota_overrun_milli;
  uint32_t cpu_share_milli;
  const char *ready_listen;
  const char *metrics_listen;
  MuxLogLevel log_level;
} MuxDaemonOptions;

/** mux_daemon_options_read() - false with everything wrong in @findings */
bool mux_daemon_options_read (int argc,
                              char **argv,
                              MuxDaemonOptions *options,
                              MuxFindings *findings);
void mux_daemon_options_free (MuxDaemonOptions *options);
/** mux_daemon_options_help() - print the table */
void mux_daemon_options_help (bool markdown);

#endif
