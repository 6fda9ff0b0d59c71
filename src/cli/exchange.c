#include "client.h"

#include <string.h>

#define ROUNDS_MAX 2
#define ROUND_PAUSE_MS 200

#define HTTP_CONFLICT 409
#define HTTP_BAD_REQUEST 400
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

static bool
status_is_ok (long status)
{
  return status >= 200 && status < 300;
}

static int
read_exit_code (const MuxCliResponse *response)
{
  if (status_is_ok (response->status))
    return MUX_EXIT_OK;
  if (response->status == HTTP_TOO_MANY || response->status == HTTP_UNAVAILABLE
      || response->status == HTTP_GATEWAY_TIMEOUT)
    return MUX_EXIT_LATER;
  return MUX_EXIT_REFUSED;
}

static int
write_exit_code (const MuxCliResponse *response)
{
  bool later = response->status == HTTP_TOO_MANY
               || response->status == HTTP_UNAVAILABLE;

  if (status_is_ok (response->status))
    return MUX_EXIT_OK;
  if (strcmp (response->outcome, "not_run") == 0)
    return later ? MUX_EXIT_LATER : MUX_EXIT_REFUSED;
  if (strcmp (response->outcome, "failed") == 0)
    return MUX_EXIT_REFUSED;
  if (strcmp (response->outcome, "unknown") == 0 || response->status >= 500)
    return MUX_EXIT_UNKNOWN;
  return later ? MUX_EXIT_LATER : MUX_EXIT_REFUSED;
}

/* After a lost response, "not run" is true of the retry only: the first attempt
 * may have taken effect, or still may.  This is ruled out only if the request
 * is malformed, so that no daemon accepts it, or if it expects a revision that
 * is no longer current. */
static bool
resolves_lost (const MuxCliRequest *request, const MuxCliResponse *response)
{
  if (status_is_ok (response->status) || response->status == HTTP_BAD_REQUEST)
    return true;
  if (response->status != HTTP_CONFLICT
      || strcmp (response->reason, "revision") != 0)
    return false;
  for (const MuxHttpPair *p = request->query; p->name != NULL; p++)
    if (strcmp (p->name, "expect") == 0)
      return true;
  return false;
}

/**
 * struct Progress - outcome of the attempts to send one request so far
 * @code: enum MuxExit, as far as known
 * @lost: the response of an attempt was lost; it may have taken effect
 * @done: no further attempt is needed or allowed
 */
typedef struct
{
  int code;
  bool lost;
  bool done;
} Progress;

static void
note_lost (Progress *progress, const MuxCliRequest *request)
{
  if (!request->write)
    return;
  progress->lost = true;
  progress->code = MUX_EXIT_UNKNOWN;
  progress->done = !request->repeatable;
}

static void
note_response (Progress *progress,
               const MuxCliRequest *request,
               const MuxCliResponse *response)
{
  int code
      = request->write ? write_exit_code (response) : read_exit_code (response);

  if (code == MUX_EXIT_UNKNOWN)
    {
      note_lost (progress, request);
      return;
    }
  if (progress->lost && !resolves_lost (request, response))
    return;
  progress->code = code;
  progress->done
      = code != MUX_EXIT_LATER || response->status != HTTP_UNAVAILABLE;
}

static void
send_round (const MuxServers *servers,
            const MuxCliRequest *request,
            MuxCliResponse *response,
            Progress *progress)
{
  for (uint32_t i = 0; i < servers->count && !progress->done; i++)
    {
      MuxCliResponse fresh = { .status = 0 };
      MuxSendResult sent = mux_cli_send (&servers->server[i], servers->ca_file,
                                         request, &fresh);

      if (sent == MUX_SEND_RESPONSE_LOST)
        note_lost (progress, request);
      if (fresh.error[0] != 0)
        memcpy (response->error, fresh.error, sizeof response->error);
      if (sent != MUX_SEND_ANSWERED)
        continue;
      mux_cli_response_free (response);
      *response = fresh;
      note_response (progress, request, response);
    }
}

int
mux_cli_exchange (MuxCliHost *host,
                  const MuxServers *servers,
                  const MuxCliRequest *request,
                  MuxCliResponse *response)
{
  Progress progress = { .code = MUX_EXIT_UNREACHED };

  memset (response, 0, sizeof *response);
  for (int round = 0; round < ROUNDS_MAX; round++)
    {
      send_round (servers, request, response, &progress);
      if (progress.done || !progress.lost)
        break;
      if (round + 1 < ROUNDS_MAX)
        host->pause_ms (host, ROUND_PAUSE_MS);
    }
  return progress.code;
}
