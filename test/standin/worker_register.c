#include "standin/worker_register.h"

#include <jansson.h>
#include <time.h>
#include <ulfius.h>

#define TRIES 20
#define RETRY_NS 250000000
#define TIMEOUT_S 2

static bool
post (const StandinRegistration *registration, json_t *json)
{
  struct _u_request request;
  struct _u_response response;
  bool good;

  ulfius_init_request (&request);
  ulfius_init_response (&response);
  ulfius_set_request_properties (
      &request, U_OPT_HTTP_VERB, "POST", U_OPT_HTTP_URL, registration->platform,
      U_OPT_HTTP_URL_APPEND, "/ctl/instance", U_OPT_TIMEOUT,
      (unsigned long) TIMEOUT_S, U_OPT_JSON_BODY, json, U_OPT_NONE);
  good = ulfius_send_http_request (&request, &response) == U_OK
         && response.status == 200;
  ulfius_clean_response (&response);
  ulfius_clean_request (&request);
  return good;
}

bool
standin_worker_register (const StandinRegistration *registration,
                         const char *state)
{
  struct timespec pause = { 0, RETRY_NS };
  json_t *json = json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s}", "name", registration->name, "data_centre",
      registration->data_centre, "rack", registration->rack, "addr",
      registration->addr, "state", state, "role", "worker");
  bool good = false;

  for (int i = 0; json != NULL && !good && i < TRIES; i++)
    {
      if (i > 0)
        nanosleep (&pause, NULL);
      good = post (registration, json);
    }
  json_decref (json);
  return good;
}
