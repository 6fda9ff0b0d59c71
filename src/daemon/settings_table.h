#ifndef DAEMON_SETTINGS_TABLE_H
#define DAEMON_SETTINGS_TABLE_H

#include "base/log.h"
#include "base/settings.h"

/**
 * struct MuxDaemonOptions - validated settings of one daemon
 * @settings: owns every string below
 * @name: this instance
 * @data_centre: data centre of this instance
 * @listen: address of the callers' HTTP server
 * @peer_listen: ZeroMQ address for peers
 * @peer_advertise: address sent to peers; "": @peer_listen
 * @platform_url: URL of the platform's services; "": none
 * @seeds: peers to contact first
 * @seed_count: entries of @seeds
 * @lease_ms: lease requested from workers
 * @heartbeat_ms: interval of heartbeats to peers
 * @suspect_ms: silence after which a peer gets no new requests
 * @dead_ms: silence after which a peer's workers are claimed
 * @queue_max: bound on requests and tasks queued here
 * @writes_per_s: rate of table writes that all daemons share
 * @key_retention_s: how long idempotency keys and ended jobs are kept
 * @callers_max: bound on callers that wait for a response
 * @caller_idle_timeout_s: a caller's connection idle for this long is closed
 * @worker_threads: concurrent START and FETCH calls to workers
 * @worker_control_threads: concurrent other calls to workers
 * @platform_threads: concurrent calls to the platform
 * @list_interval_ms: interval between reads of the instance list
 * @body_max_kib: largest body of a caller's request
 * @stop_timeout_ms: bound on the graceful stop
 * @curve_secret_key: CURVE secret key, Z85; "": peer traffic is not encrypted
 * @curve_public_key: the matching public key, Z85
 * @tls_cert_file: PEM certificate for callers; "": plain HTTP
 * @tls_key_file: PEM private key for callers
 * @store: address of the transactional store of stepped jobs; "": stepped jobs
 *   are not served
 * @approvals: address of the policy service that approves workers; "": none
 * @revoke_timeout_ms: longest time that a revoked key is still accepted; 0:
 *   until this daemon reads of the revocation
 * @quota_overrun_milli: thousandths of a quota that may be held beyond it
 * @cpu_share_milli: processor share of this instance, in thousandths
 * @memory_mib: memory of this instance, in MiB; 0: unknown
 * @link_kbps: rate of its link, in kbit/s; 0: unknown
 * @request_memory_bytes: for the connections and the requests of callers
 * @receive_timeout_s: time for a caller to send a whole body
 * @ready_listen: address of the readiness endpoint for the platform
 * @metrics_listen: address where the counters are served; "": not served
 * @log_level: highest syslog severity number that is printed
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
  uint32_t memory_mib;
  uint32_t link_kbps;
  uint64_t request_memory_bytes;
  uint32_t receive_timeout_s;
  const char *ready_listen;
  const char *metrics_listen;
  MuxLogLevel log_level;
} MuxDaemonOptions;

/** mux_daemon_options_read() - read and validate the settings
 * Return: false with every invalid setting in @findings. */
bool mux_daemon_options_read (int argc,
                              char **argv,
                              MuxDaemonOptions *options,
                              MuxFindings *findings);
void mux_daemon_options_free (MuxDaemonOptions *options);
/** mux_daemon_options_help() - print the table of settings */
void mux_daemon_options_help (bool markdown);

#endif
