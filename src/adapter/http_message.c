#include "http_message.h"

#include "adapter/http_listener.h"

#include <string.h>

bool
mux_http_map_join (struct _u_map *map, const char *name, const char *value)
{
  const char *before = u_map_get (map, name);
  char *joined;
  bool ok;

  if (before == NULL)
    return u_map_put (map, name, value) == U_OK;
  joined = msprintf ("%s,%s", before, value);
  ok = joined != NULL && u_map_put (map, name, joined) == U_OK;
  o_free (joined);
  return ok;
}

static enum MHD_Result
put_value (void *cls,
           enum MHD_ValueKind kind,
           const char *name,
           const char *value)
{
  (void) kind;
  return mux_http_map_join (cls, name, value != NULL ? value : "") ? MHD_YES
                                                                   : MHD_NO;
}

static bool
fill_map (struct MHD_Connection *connection,
          enum MHD_ValueKind kind,
          struct _u_map *map)
{
  int count = MHD_get_connection_values (connection, kind, NULL, NULL);

  return MHD_get_connection_values (connection, kind, put_value, map) == count;
}

/* Return: a copy for ulfius to free; NULL when out of memory. */
static char *
copy_text (const char *text, size_t len)
{
  char *copy = o_malloc (len + 1);

  if (copy == NULL)
    return NULL;
  memcpy (copy, text, len);
  copy[len] = 0;
  return copy;
}

bool
http_request_fill (struct _u_request *request,
                   struct MHD_Connection *connection,
                   const char *method,
                   const char *url)
{
  request->http_verb = copy_text (method, strlen (method));
  request->http_url = copy_text (url, strlen (url));
  request->url_path = copy_text (url, strcspn (url, "?"));
  return request->http_verb != NULL && request->http_url != NULL
         && request->url_path != NULL
         && fill_map (connection, MHD_HEADER_KIND, request->map_header)
         && fill_map (connection, MHD_GET_ARGUMENT_KIND, request->map_url);
}

static bool
add_headers (struct MHD_Response *reply, const struct _u_map *headers)
{
  const char **names = u_map_enum_keys (headers);

  for (uint32_t i = 0; names != NULL && names[i] != NULL; i++)
    if (MHD_add_response_header (reply, names[i], u_map_get (headers, names[i]))
        != MHD_YES)
      return false;
  return true;
}

enum MHD_Result
http_response_queue (struct _u_response *response,
                     struct MHD_Connection *connection)
{
  struct MHD_Response *reply
      = MHD_create_response_from_buffer_with_free_callback (
          response->binary_body_length, response->binary_body, o_free);
  enum MHD_Result result = MHD_NO;

  if (reply == NULL)
    return MHD_NO;
  response->binary_body = NULL;
  response->binary_body_length = 0;
  if (add_headers (reply, response->map_header))
    result = MHD_queue_response (connection, (unsigned int) response->status,
                                 reply);
  MHD_destroy_response (reply);
  return result;
}
