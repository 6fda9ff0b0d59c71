#include "demo/support/http.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define JSON_TIMEOUT_MS 10000
#define URL_LEN 512

struct MuxHttp
{
  CURL *curl;
};

MuxHttp *
mux_http_new (void)
{
  MuxHttp *http = calloc (1, sizeof *http);

  if (http == NULL)
    return NULL;
  http->curl = curl_easy_init ();
  if (http->curl != NULL)
    return http;
  free (http);
  return NULL;
}

void
mux_http_free (MuxHttp *http)
{
  if (http == NULL)
    return;
  curl_easy_cleanup (http->curl);
  free (http);
}

static size_t
on_body (char *bytes, size_t size, size_t count, void *arg)
{
  MuxHttpReply *reply = arg;
  size_t n = size * count;
  char *grown = realloc (reply->body, reply->body_len + n + 1);

  if (grown == NULL)
    return 0;
  reply->body = grown;
  memcpy (reply->body + reply->body_len, bytes, n);
  reply->body_len += n;
  reply->body[reply->body_len] = 0;
  return n;
}

/* Copies the value of header @name if @line is one; true when it was. */
static bool
header_value (const char *line,
              size_t len,
              const char *name,
              char *out,
              size_t cap)
{
  size_t name_len = strlen (name);

  if (len <= name_len || strncasecmp (line, name, name_len) != 0
      || line[name_len] != ':')
    return false;
  line += name_len + 1;
  len -= name_len + 1;
  while (len > 0 && *line == ' ')
    line++, len--;
  while (len > 0 && (line[len - 1] == '\r' || line[len - 1] == '\n'))
    len--;
  if (len >= cap)
    len = cap - 1;
  memcpy (out, line, len);
  out[len] = 0;
  return true;
}

static size_t
on_header (char *line, size_t size, size_t count, void *arg)
{
  MuxHttpReply *reply = arg;
  size_t n = size * count;
  char number[16];

  if (header_value (line, n, "Cuminmux-Outcome", reply->outcome,
                    sizeof reply->outcome)
      || header_value (line, n, "Cuminmux-Reason", reply->reason,
                       sizeof reply->reason)
      || header_value (line, n, "Cuminmux-Task", reply->task,
                       sizeof reply->task))
    return n;
  if (header_value (line, n, "Cuminmux-Retry-Ms", number, sizeof number))
    reply->retry_ms = (uint32_t) strtoul (number, NULL, 10);
  return n;
}

static struct curl_slist *
header_list (const char *const *headers)
{
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");

  for (; headers != NULL && *headers != NULL; headers++)
    list = curl_slist_append (list, *headers);
  return list;
}

static void
set_options (CURL *curl,
             const MuxHttpAsk *ask,
             const char *url,
             struct curl_slist *headers,
             MuxHttpReply *reply)
{
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, ask->method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long) ask->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, (long) ask->once);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, (long) ask->once);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, reply);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, reply);
  if (ask->body == NULL && strcmp (ask->method, "POST") != 0)
    return;
  curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t) ask->body_len);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS,
                    ask->body == NULL ? "" : ask->body);
}

bool
mux_http_call (MuxHttp *http,
               const MuxHttpAsk *ask,
               MuxHttpReply *reply,
               MuxError *err)
{
  struct curl_slist *headers = header_list (ask->headers);
  char url[URL_LEN];
  long status = 0;
  CURLcode code;

  memset (reply, 0, sizeof *reply);
  snprintf (url, sizeof url, "http://%s%s", ask->addr, ask->path);
  set_options (http->curl, ask, url, headers, reply);
  code = curl_easy_perform (http->curl);
  curl_easy_getinfo (http->curl, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (headers);
  reply->status = (uint32_t) status;
  if (code == CURLE_OK && reply->body == NULL)
    reply->body = calloc (1, 1);
  if (code == CURLE_OK && reply->body != NULL)
    return true;
  mux_http_reply_clear (reply);
  return mux_error_set (err, MUX_ERROR_UNAVAILABLE, "%s %s: %s", ask->method,
                        url, curl_easy_strerror (code));
}

void
mux_http_reply_clear (MuxHttpReply *reply)
{
  free (reply->body);
  reply->body = NULL;
  reply->body_len = 0;
}

json_t *
mux_http_json (MuxHttp *http,
               const char *method,
               const char *addr,
               const char *path,
               const json_t *json,
               MuxError *err)
{
  static const char *const headers[]
      = { "Content-Type: application/json", NULL };
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);
  MuxHttpAsk ask = { .method = method,
                     .addr = addr,
                     .path = path,
                     .headers = headers,
                     .body = text,
                     .body_len = text == NULL ? 0 : strlen (text),
                     .timeout_ms = JSON_TIMEOUT_MS };
  MuxHttpReply reply;
  json_t *answer = NULL;

  if (mux_http_call (http, &ask, &reply, err))
    {
      if (reply.status / 100 == 2)
        answer = json_loadb (reply.body, reply.body_len, 0, NULL);
      if (answer == NULL)
        mux_error_set (err, MUX_ERROR_PROTOCOL, "%s %s: status %u: %.80s",
                       method, path, reply.status, reply.body);
      mux_http_reply_clear (&reply);
    }
  free (text);
  return answer;
}
