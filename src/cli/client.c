#include "client.h"

#include <errno.h>
#include <netdb.h>
#include <orcania.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#define SCHEME "http://"
#define CONNECT_MS_MAX 2000

/* Splits "ip:port" or "[ip6]:port" and lets the system check the numbers. */
static struct addrinfo *
address_of (const char *addr)
{
  struct addrinfo hints = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
                            .ai_socktype = SOCK_STREAM };
  struct addrinfo *found = NULL;
  char host[MUX_ADDR_LEN];
  const char *colon = strrchr (addr, ':');
  size_t len;

  if (colon == NULL || colon == addr || colon[1] == 0)
    return NULL;
  len = (size_t) (colon - addr);
  if (addr[0] == '[' && colon[-1] == ']')
    {
      addr++;
      len -= 2;
    }
  memcpy (host, addr, len);
  host[len] = 0;
  return getaddrinfo (host, colon + 1, &hints, &found) == 0 ? found : NULL;
}

static bool
server_parse (const char *text, size_t len, char addr[MUX_ADDR_LEN])
{
  size_t scheme = strlen (SCHEME);
  struct addrinfo *found;

  if (len > scheme && text[len - 1] == '/')
    len--;
  if (len <= scheme || strncmp (text, SCHEME, scheme) != 0
      || len - scheme >= MUX_ADDR_LEN)
    return false;
  memcpy (addr, text + scheme, len - scheme);
  addr[len - scheme] = 0;
  found = address_of (addr);
  if (found == NULL)
    return false;
  freeaddrinfo (found);
  return true;
}

bool
mux_servers_parse (const char *text, MuxServers *servers)
{
  servers->count = 0;
  for (;;)
    {
      size_t len = strcspn (text, ",");

      if (servers->count == MUX_SERVERS_MAX
          || !server_parse (text, len, servers->addr[servers->count]))
        return false;
      servers->count++;
      if (text[len] == 0)
        return true;
      text += len + 1;
    }
}

static bool
connect_within (int fd, const struct addrinfo *to, uint32_t timeout_ms)
{
  struct pollfd wait = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t len = sizeof error;

  if (connect (fd, to->ai_addr, to->ai_addrlen) == 0)
    return true;
  if (timeout_ms > CONNECT_MS_MAX)
    timeout_ms = CONNECT_MS_MAX;
  if (errno != EINPROGRESS || poll (&wait, 1, (int) timeout_ms) != 1)
    return false;
  return getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 && error == 0;
}

/* The HTTP client says only that a call failed, not whether anything was
 * sent.  A daemon that takes no connection here was certainly sent nothing;
 * a failure after this may have reached it. */
static bool
takes_connections (const char *addr, uint32_t timeout_ms)
{
  struct addrinfo *to = address_of (addr);
  bool connected = false;
  int fd;

  if (to == NULL)
    return false;
  fd = socket (to->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    {
      connected = connect_within (fd, to, timeout_ms);
      close (fd);
    }
  freeaddrinfo (to);
  return connected;
}

static bool
fill_request (struct _u_request *request,
              const char *addr,
              const MuxHttpCall *call)
{
  char url[sizeof SCHEME + MUX_ADDR_LEN + sizeof call->path];
  unsigned long seconds = (call->timeout_ms + 999) / 1000;

  snprintf (url, sizeof url, SCHEME "%s%s", addr, call->path);
  if (ulfius_set_request_properties (request, U_OPT_HTTP_VERB, call->method,
                                     U_OPT_HTTP_URL, url, U_OPT_TIMEOUT,
                                     seconds, U_OPT_NONE)
      != U_OK)
    return false;
  /* Without the empty proxy the HTTP client would follow http_proxy from the
   * environment, and a write could go through a party that repeats it.  The
   * property for it takes no empty text. */
  request->proxy = o_strdup ("");
  if (request->proxy == NULL)
    return false;
  for (const MuxHttpPair *p = call->query; p->name != NULL; p++)
    if (u_map_put (request->map_url, p->name, p->value) != U_OK)
      return false;
  for (const MuxHttpPair *p = call->header; p->name != NULL; p++)
    if (u_map_put (request->map_header, p->name, p->value) != U_OK)
      return false;
  return call->body == NULL
         || ulfius_set_binary_body_request (request, call->body, call->body_len)
                == U_OK;
}

static void
copy_header (const struct _u_response *response,
             const char *name,
             char *out,
             size_t cap)
{
  const char *value = u_map_get_case (response->map_header, name);

  snprintf (out, cap, "%s", value != NULL ? value : "");
}

static bool
take_answer (const struct _u_response *response, MuxHttpAnswer *answer)
{
  answer->body = malloc (response->binary_body_length + 1);
  if (answer->body == NULL)
    return false;
  if (response->binary_body_length > 0)
    memcpy (answer->body, response->binary_body, response->binary_body_length);
  answer->body[response->binary_body_length] = 0;
  answer->body_len = response->binary_body_length;
  answer->status = response->status;
  copy_header (response, "Cuminmux-Outcome", answer->outcome,
               sizeof answer->outcome);
  copy_header (response, "Cuminmux-Reason", answer->reason,
               sizeof answer->reason);
  copy_header (response, "Cuminmux-Retry-Ms", answer->retry_ms,
               sizeof answer->retry_ms);
  copy_header (response, "Cuminmux-Task", answer->task, sizeof answer->task);
  return true;
}

MuxSent
mux_http_send (const char *addr, const MuxHttpCall *call, MuxHttpAnswer *answer)
{
  struct _u_request request;
  struct _u_response response;
  MuxSent sent = MUX_SENT_NOT_REACHED;

  if (!takes_connections (addr, call->timeout_ms)
      || ulfius_init_request (&request) != U_OK)
    return MUX_SENT_NOT_REACHED;
  if (ulfius_init_response (&response) == U_OK)
    {
      if (fill_request (&request, addr, call))
        {
          sent = MUX_SENT_LOST;
          if (ulfius_send_http_request (&request, &response) == U_OK
              && take_answer (&response, answer))
            sent = MUX_SENT_ANSWERED;
        }
      ulfius_clean_response (&response);
    }
  ulfius_clean_request (&request);
  return sent;
}

void
mux_http_answer_free (MuxHttpAnswer *answer)
{
  free (answer->body);
  memset (answer, 0, sizeof *answer);
}
