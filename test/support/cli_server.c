#include "support/cli_server.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BROKEN_LEN 1000

static int
bind_loopback (uint16_t *port)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *) &addr, sizeof addr) != 0
      || getsockname (fd, (struct sockaddr *) &addr, &len) != 0)
    return -1;
  *port = ntohs (addr.sin_port);
  return fd;
}

uint16_t
cli_port_refusing (int *fd)
{
  uint16_t port = 0;

  *fd = bind_loopback (&port);
  return port;
}

static void
note (CliServer *door, const char *name, const char *value)
{
  size_t cap = sizeof door->seen - door->seen_len;

  if (value != NULL)
    door->seen_len += (size_t) snprintf (door->seen + door->seen_len, cap,
                                         "%s%s", name, value);
}

static void
note_call (CliServer *door, const struct _u_request *request)
{
  char body[512];
  size_t len = request->binary_body_length;

  if (len >= sizeof body)
    len = sizeof body - 1;
  if (len > 0)
    memcpy (body, request->binary_body, len);
  body[len] = 0;
  note (door, "> ", request->http_verb);
  note (door, " ", request->http_url);
  note (door,
        " change=", u_map_get_case (request->map_header, "Cuminmux-Change"));
  note (door, " who=", u_map_get_case (request->map_header, "Cuminmux-Who"));
  note (door, " key=", u_map_get_case (request->map_header, "Idempotency-Key"));
  note (door,
        " ticket=", u_map_get_case (request->map_header, "Cuminmux-Ticket"));
  note (door, " give_up=",
        u_map_get_case (request->map_header, "Cuminmux-Give-Up-Ms"));
  note (door, " body=", len > 0 ? body : NULL);
  note (door, "\n", "");
}

static ssize_t
break_off (void *data, uint64_t offset, char *out, size_t max)
{
  (void) data;
  if (offset > 0 || max == 0)
    return U_STREAM_ERROR;
  *out = '{';
  return 1;
}

static void
put_header (struct _u_response *response, const char *name, const char *value)
{
  if (value != NULL)
    u_map_put (response->map_header, name, value);
}

static int
answer_call (const struct _u_request *request,
             struct _u_response *response,
             void *data)
{
  CliServer *door = data;
  CliServerResponse answer
      = { .status = 500, .body = "{\"text\":\"the script is over\"}" };

  pthread_mutex_lock (&door->lock);
  note_call (door, request);
  if (door->next < door->count)
    answer = door->answers[door->next++];
  pthread_mutex_unlock (&door->lock);
  if (answer.status == 0)
    {
      ulfius_set_stream_response (response, 200, break_off, NULL, BROKEN_LEN,
                                  16, NULL);
      return U_CALLBACK_COMPLETE;
    }
  put_header (response, "Cuminmux-Outcome", answer.outcome);
  put_header (response, "Cuminmux-Reason", answer.reason);
  put_header (response, "Cuminmux-Retry-Ms", answer.retry_ms);
  put_header (response, "Cuminmux-Task", "00000000000000000000000000000abc");
  ulfius_set_binary_body_response (response, answer.status, answer.body,
                                   answer.body_len > 0 ? answer.body_len
                                                       : strlen (answer.body));
  return U_CALLBACK_COMPLETE;
}

bool
cli_server_open (CliServer *door)
{
  struct MHD_OptionItem options[]
      = { { MHD_OPTION_LISTEN_SOCKET, -1, NULL },
          { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t) mhd_request_completed,
            NULL },
          { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t) ulfius_uri_logger, NULL },
          { MHD_OPTION_END, 0, NULL } };
  int fd;

  memset (door, 0, sizeof *door);
  pthread_mutex_init (&door->lock, NULL);
  fd = bind_loopback (&door->port);
  if (fd < 0 || listen (fd, 16) != 0
      || ulfius_init_instance (&door->instance, door->port, NULL, NULL) != U_OK)
    return false;
  options[0].value = fd;
  ulfius_set_default_endpoint (&door->instance, answer_call, door);
  return ulfius_start_framework_with_mhd_options (
             &door->instance,
             MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
             options)
         == U_OK;
}

void
cli_server_close (CliServer *door)
{
  ulfius_stop_framework (&door->instance);
  ulfius_clean_instance (&door->instance);
  pthread_mutex_destroy (&door->lock);
}

void
cli_server_will_respond (CliServer *door, CliServerResponse answer)
{
  pthread_mutex_lock (&door->lock);
  if (door->count < CLI_DOOR_ANSWERS_MAX)
    door->answers[door->count++] = answer;
  pthread_mutex_unlock (&door->lock);
}
