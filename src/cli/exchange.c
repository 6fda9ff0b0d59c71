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
exit_of_read (const MuxHttpAnswer *answer)
{
  if (status_is_ok (answer->status))
    return MUX_EXIT_OK;
  if (answer->status == HTTP_TOO_MANY || answer->status == HTTP_UNAVAILABLE
      || answer->status == HTTP_GATEWAY_TIMEOUT)
    return MUX_EXIT_LATER;
  return MUX_EXIT_REFUSED;
}

static int
exit_of_write (const MuxHttpAnswer *answer)
{
  bool later
      = answer->status == HTTP_TOO_MANY || answer->status == HTTP_UNAVAILABLE;

  if (status_is_ok (answer->status))
    return MUX_EXIT_OK;
  if (strcmp (answer->outcome, "not_run") == 0)
    return later ? MUX_EXIT_LATER : MUX_EXIT_REFUSED;
  if (strcmp (answer->outcome, "failed") == 0)
    return MUX_EXIT_REFUSED;
  if (strcmp (answer->outcome, "unknown") == 0 || answer->status >= 500)
    return MUX_EXIT_UNKNOWN;
  return later ? MUX_EXIT_LATER : MUX_EXIT_REFUSED;
}

/* After a lost answer, "not run" speaks of the repeat alone: the first sending
 * may have taken effect, or still may.  Only a malformed call, which no daemon
 * takes, and a condition on a revision that is past rule that out. */
static bool
settles_lost (const MuxHttpCall *call, const MuxHttpAnswer *answer)
{
  if (status_is_ok (answer->status) || answer->status == HTTP_BAD_REQUEST)
    return true;
  if (answer->status != HTTP_CONFLICT
      || strcmp (answer->reason, "revision") != 0)
    return false;
  for (const MuxHttpPair *p = call->query; p->name != NULL; p++)
    if (strcmp (p->name, "expect") == 0)
      return true;
  return false;
}

/**
 * struct Progress - what the sendings of one call have come to
 * @code: the best known enum MuxExit
 * @lost: a sending may have taken effect without its answer
 * @done: no further sending helps
 */
typedef struct
{
  int code;
  bool lost;
  bool done;
} Progress;

static void
note_lost (Progress *progress, const MuxHttpCall *call)
{
  if (!call->write)
    return;
  progress->lost = true;
  progress->code = MUX_EXIT_UNKNOWN;
  progress->done = !call->repeatable;
}

static void
note_answer (Progress *progress,
             const MuxHttpCall *call,
             const MuxHttpAnswer *answer)
{
  int code = call->write ? exit_of_write (answer) : exit_of_read (answer);

  if (code == MUX_EXIT_UNKNOWN)
    {
      note_lost (progress, call);
      return;
    }
  if (progress->lost && !settles_lost (call, answer))
    return;
  progress->code = code;
  progress->done = code != MUX_EXIT_LATER || answer->status != HTTP_UNAVAILABLE;
}

static void
send_round (const MuxServers *servers,
            const MuxHttpCall *call,
            MuxHttpAnswer *answer,
            Progress *progress)
{
  for (uint32_t i = 0; i < servers->count && !progress->done; i++)
    {
      MuxHttpAnswer fresh = { .status = 0 };
      MuxSent sent
          = mux_http_send (&servers->server[i], servers->ca_file, call, &fresh);

      if (sent == MUX_SENT_LOST)
        note_lost (progress, call);
      if (fresh.error[0] != 0)
        memcpy (answer->error, fresh.error, sizeof answer->error);
      if (sent != MUX_SENT_ANSWERED)
        continue;
      mux_http_answer_free (answer);
      *answer = fresh;
      note_answer (progress, call, answer);
    }
}

int
mux_http_exchange (MuxCliHost *host,
                   const MuxServers *servers,
                   const MuxHttpCall *call,
                   MuxHttpAnswer *answer)
{
  Progress progress = { .code = MUX_EXIT_UNREACHED };

  memset (answer, 0, sizeof *answer);
  for (int round = 0; round < ROUNDS_MAX; round++)
    {
      send_round (servers, call, answer, &progress);
      if (progress.done || !progress.lost)
        break;
      if (round + 1 < ROUNDS_MAX)
        host->pause_ms (host, ROUND_PAUSE_MS);
    }
  return progress.code;
}
