#include "standin/platform_routes.h"

#include "standin/listen.h"
#include "standin/platform_codec.h"
#include "standin/platform_ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTENT_ROWS "application/msgpack"
#define CONTENT_BYTES "application/octet-stream"
#define HEADER_EFFECT "Cuminmux-Effect"
#define HEADER_REVISION "Cuminmux-Revision"

typedef struct _u_request Request;
typedef struct _u_response Response;

/* Number of the connection that this thread serves. */
static _Thread_local uint64_t connection_number;

/* Closes the connection without a response. */
static int
close_connection (Response *response)
{
  standin_cut_connection ();
  ulfius_set_empty_body_response (response, 500);
  return U_CALLBACK_COMPLETE;
}

static int
answer_empty (Response *response, uint32_t status)
{
  ulfius_set_empty_body_response (response, status);
  return U_CALLBACK_COMPLETE;
}

static int
answer_refused (Response *response)
{
  ulfius_add_header_to_response (response, HEADER_EFFECT, "none");
  return answer_empty (response, 503);
}

static int
answer_json (Response *response, uint32_t status, json_t *json)
{
  ulfius_set_json_body_response (response, status, json);
  json_decref (json);
  return U_CALLBACK_COMPLETE;
}

static int
answer_packed (Response *response, uint32_t status, msgpack_sbuffer *buffer)
{
  ulfius_add_header_to_response (response, "Content-Type", CONTENT_ROWS);
  ulfius_set_binary_body_response (response, status, buffer->data,
                                   buffer->size);
  msgpack_sbuffer_destroy (buffer);
  return U_CALLBACK_COMPLETE;
}

static const char *
header (const Request *request, const char *name)
{
  const char *value = u_map_get_case (request->map_header, name);

  return value != NULL ? value : "";
}

static StandinVerdict
admit (const StandinPlatformServerOptions *server,
       const Request *request,
       bool list,
       uint32_t latency_ms)
{
  const char *const from[2] = { header (request, "Cuminmux-Data-Centre"),
                                header (request, "Cuminmux-Instance") };

  if (connection_number == 0)
    connection_number = standin_platform_faults_connection (server->faults);
  return standin_platform_faults_admit (server->faults, from, connection_number,
                                        list, latency_ms);
}

static int
answer_not_admitted (Response *response, StandinVerdict verdict)
{
  return verdict == STANDIN_REFUSE ? answer_refused (response)
                                   : close_connection (response);
}

static int
answer_txn (Response *response,
            MuxTableStatus status,
            uint64_t rev,
            const StandinRowSet *failed)
{
  msgpack_sbuffer buffer;
  msgpack_packer out;

  if (status == MUX_TABLE_BAD_REQUEST)
    return answer_empty (response, 400);
  if (status == MUX_TABLE_DOWN)
    return answer_refused (response);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  if (status == MUX_TABLE_OK)
    msgpack_pack_uint64 (&out, rev);
  else
    standin_platform_write_rows (&out, failed);
  return answer_packed (response, status == MUX_TABLE_OK ? 200 : 409, &buffer);
}

static int
on_txn (const Request *request, Response *response, void *data)
{
  const StandinPlatformServerOptions *server = data;
  StandinVerdict verdict = admit (server, request, false, server->write_ms);
  StandinRowSet rows, failed = { 0 };
  MuxTableStatus status = MUX_TABLE_BAD_REQUEST;
  uint64_t rev = 0;
  int end;

  if (verdict != STANDIN_ADMIT)
    return answer_not_admitted (response, verdict);
  if (standin_platform_read_txn (request->binary_body,
                                 request->binary_body_length, &rows))
    status = standin_platform_txn (server->platform, rows.row, rows.count, &rev,
                                   &failed);
  if (status != MUX_TABLE_BAD_REQUEST
      && standin_platform_faults_lose_reply (server->faults))
    end = close_connection (response);
  else
    end = answer_txn (response, status, rev, &failed);
  standin_platform_rows_release (&rows);
  standin_platform_rows_release (&failed);
  return end;
}

static int
on_get (const Request *request, Response *response, void *data)
{
  const StandinPlatformServerOptions *server = data;
  StandinVerdict verdict = admit (server, request, false, server->read_ms);
  msgpack_sbuffer buffer;
  msgpack_packer out;
  StandinRowSet rows;

  if (verdict != STANDIN_ADMIT)
    return answer_not_admitted (response, verdict);
  if (!standin_platform_read_keys (request->binary_body,
                                   request->binary_body_length, &rows))
    return answer_empty (response, 400);
  standin_platform_get (server->platform, &rows);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  standin_platform_write_rows (&out, &rows);
  standin_platform_rows_release (&rows);
  return answer_packed (response, 200, &buffer);
}

static int
on_scan (const Request *request, Response *response, void *data)
{
  const StandinPlatformServerOptions *server = data;
  StandinVerdict verdict = admit (server, request, false, server->read_ms);
  msgpack_sbuffer buffer;
  msgpack_packer out;
  StandinRowSet rows;
  StandinScan scan;

  if (verdict != STANDIN_ADMIT)
    return answer_not_admitted (response, verdict);
  if (!standin_platform_read_scan (request->binary_body,
                                   request->binary_body_length, &scan))
    return answer_empty (response, 400);
  standin_platform_scan (server->platform, scan.prefix, scan.after, scan.limit,
                         &rows);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, 2);
  if (rows.more)
    msgpack_pack_true (&out);
  else
    msgpack_pack_false (&out);
  standin_platform_write_rows (&out, &rows);
  standin_platform_rows_release (&rows);
  return answer_packed (response, 200, &buffer);
}

static const char *
object_name (const Request *request)
{
  const char *name = u_map_get (request->map_url, "name");

  if (name == NULL || name[0] == 0 || strlen (name) >= MUX_ROW_KEY_LEN)
    return NULL;
  return name;
}

static void
add_revision (Response *response, uint64_t rev)
{
  char text[24];

  snprintf (text, sizeof text, "%llu", (unsigned long long) rev);
  ulfius_add_header_to_response (response, HEADER_REVISION, text);
}

static int
on_object_get (const Request *request, Response *response, void *data)
{
  const StandinPlatformServerOptions *server = data;
  StandinVerdict verdict = admit (server, request, false, server->read_ms);
  const char *name = object_name (request);
  uint64_t rev = 0;
  MuxBlob *value;

  if (verdict != STANDIN_ADMIT)
    return answer_not_admitted (response, verdict);
  if (name == NULL)
    return answer_empty (response, 400);
  value = standin_platform_object_get (server->platform, name, &rev);
  if (value == NULL)
    return answer_empty (response, 404);
  add_revision (response, rev);
  ulfius_add_header_to_response (response, "Content-Type", CONTENT_BYTES);
  ulfius_set_binary_body_response (response, 200, value->bytes, value->len);
  mux_blob_unref (value);
  return U_CALLBACK_COMPLETE;
}

/* PUT and DELETE. */
static int
on_object_write (const Request *request, Response *response, void *data)
{
  const StandinPlatformServerOptions *server = data;
  StandinVerdict verdict = admit (server, request, false, server->write_ms);
  const char *name = object_name (request);
  MuxBlob *value = NULL;
  uint64_t rev = 0;

  if (verdict != STANDIN_ADMIT)
    return answer_not_admitted (response, verdict);
  if (name == NULL)
    return answer_empty (response, 400);
  if (strcmp (request->http_verb, "PUT") == 0)
    {
      value = mux_blob_new (request->binary_body, request->binary_body_length);
      if (value == NULL)
        return answer_refused (response);
    }
  rev = standin_platform_object_put (server->platform, name, value);
  mux_blob_unref (value);
  if (rev == 0)
    return answer_refused (response);
  if (standin_platform_faults_lose_reply (server->faults))
    return close_connection (response);
  add_revision (response, rev);
  return answer_empty (response, 200);
}

static int
on_instances (const Request *request, Response *response, void *data)
{
  const StandinPlatformServerOptions *server = data;
  StandinVerdict verdict = admit (server, request, true, server->read_ms);
  const char *after = u_map_get (request->map_url, "after");
  uint64_t rev;
  MuxInstanceList *list;
  json_t *json;

  if (verdict != STANDIN_ADMIT)
    return answer_not_admitted (response, verdict);
  list = standin_platform_instances (
      server->platform, after != NULL ? strtoull (after, NULL, 10) : 0, &rev);
  if (list == NULL)
    return answer_refused (response);
  json = standin_platform_ctl_list (list, rev);
  free (list);
  return answer_json (response, 200, json);
}

/* Accepts any content type, for the sake of `curl -d`. */
static json_t *
read_json (const Request *request)
{
  if (request->binary_body == NULL)
    return NULL;
  return json_loadb (request->binary_body, request->binary_body_length, 0,
                     NULL);
}

static int
on_ctl (const Request *request, Response *response, void *data)
{
  const StandinPlatformServerOptions *server = data;
  json_t *json = read_json (request);
  MuxFindings findings = { 0 };
  StandinFaultPlan plan;
  bool silence;

  standin_platform_faults_get (server->faults, &plan);
  if (standin_platform_ctl_plan (json, &plan, &silence, &findings))
    {
      standin_platform_faults_set (server->faults, &plan);
      if (silence)
        standin_platform_faults_silence_connections (server->faults);
    }
  json_decref (json);
  return answer_json (response, findings.count == 0 ? 200 : 400,
                      standin_platform_ctl_findings (&findings));
}

static int
on_ctl_instance (const Request *request, Response *response, void *data)
{
  const StandinPlatformServerOptions *server = data;
  json_t *json = read_json (request);
  MuxFindings findings = { 0 };
  MuxInstance instance;
  uint32_t status = 400;

  if (standin_platform_ctl_instance (json, &instance, &findings))
    status = standin_platform_instance_set (server->platform, &instance) ? 200
                                                                         : 409;
  json_decref (json);
  return answer_json (response, status,
                      standin_platform_ctl_findings (&findings));
}

static int
on_ctl_stats (const Request *request, Response *response, void *data)
{
  const StandinPlatformServerOptions *server = data;
  StandinPlatformStats stats;

  (void) request;
  standin_platform_stats (server->platform, &stats);
  return answer_json (response, 200,
                      standin_platform_ctl_stats (&stats, server->faults));
}

bool
standin_platform_add_routes (struct _u_instance *http,
                             StandinPlatformServerOptions *server)
{
  static const struct
  {
    const char *method;
    const char *path;
    int (*callback) (const Request *, Response *, void *);
  } table[] = {
    { "POST", "/v1/table/txn", on_txn },
    { "POST", "/v1/table/get", on_get },
    { "POST", "/v1/table/scan", on_scan },
    { "GET", "/v1/object", on_object_get },
    { "PUT", "/v1/object", on_object_write },
    { "DELETE", "/v1/object", on_object_write },
    { "GET", "/v1/instances", on_instances },
    { "POST", "/ctl", on_ctl },
    { "POST", "/ctl/instance", on_ctl_instance },
    { "GET", "/ctl/stats", on_ctl_stats },
  };

  for (size_t i = 0; i < sizeof table / sizeof table[0]; i++)
    if (ulfius_add_endpoint_by_val (http, table[i].method, NULL, table[i].path,
                                    0, table[i].callback, server)
        != U_OK)
      return false;
  return true;
}
