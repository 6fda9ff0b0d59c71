#include "platform_internal.h"

#include <jansson.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define LIST_TIMEOUT_MS 2000
#define LIST_MAX 100000

static const char *const state_names[] = { "live", "leaving", "gone" };
static const char *const role_names[] = { "entry", "worker" };

#define COUNT_OF(array) (sizeof (array) / sizeof (array)[0])

static bool
read_text (const json_t *json, const char *name, char *out, size_t cap)
{
  const char *text = json_string_value (json_object_get (json, name));

  if (text == NULL || strlen (text) >= cap)
    return false;
  strcpy (out, text);
  return true;
}

static bool
read_choice (const json_t *json,
             const char *name,
             const char *const *names,
             size_t count,
             uint32_t *choice)
{
  const char *text = json_string_value (json_object_get (json, name));

  for (uint32_t i = 0; text != NULL && i < count; i++)
    if (strcmp (text, names[i]) == 0)
      {
        *choice = i;
        return true;
      }
  return false;
}

static bool
read_instance (const json_t *json, MuxInstance *instance)
{
  uint32_t state;
  uint32_t role;

  if (!read_text (json, "name", instance->name, MUX_NAME_LEN)
      || !read_text (json, "data_centre", instance->data_centre, MUX_NAME_LEN)
      || !read_text (json, "rack", instance->rack, MUX_NAME_LEN)
      || !read_text (json, "addr", instance->addr, MUX_ADDR_LEN)
      || !read_choice (json, "state", state_names, COUNT_OF (state_names),
                       &state)
      || !read_choice (json, "role", role_names, COUNT_OF (role_names), &role))
    return false;
  instance->state = (MuxInstanceState) state;
  instance->role = (MuxInstanceRole) role;
  return true;
}

static MuxInstanceList *
read_instances (const json_t *items)
{
  size_t count = json_array_size (items);
  MuxInstanceList *list;

  if (!json_is_array (items) || count > LIST_MAX)
    return NULL;
  list = calloc (1, sizeof *list + count * sizeof list->item[0]);
  if (list == NULL)
    return NULL;
  for (size_t i = 0; i < count; i++)
    {
      if (!read_instance (json_array_get (items, i), &list->item[i]))
        {
          free (list);
          return NULL;
        }
      list->count++;
    }
  return list;
}

MuxInstanceList *
mux_platform_decode_list (const char *bytes, size_t len)
{
  json_t *json = json_loadb (bytes, len, 0, NULL);
  MuxInstanceList *list = read_instances (json_object_get (json, "instances"));

  json_decref (json);
  return list;
}

static void
read_list (PlatformLister *lister)
{
  PlatformRequest request = { .method = "GET",
                              .path = "/v1/instances",
                              .timeout_ms = LIST_TIMEOUT_MS };
  PlatformAnswer answer;
  MuxInstanceList *list;

  if (mux_platform_exchange (&lister->client, &request, &answer)
          != PLATFORM_ANSWERED
      || answer.status != 200 || answer.body->len == 0)
    return;
  list = mux_platform_decode_list (answer.body->bytes, answer.body->len);
  if (list != NULL)
    (void) lister->inbox->instances (lister->inbox, list);
}

static void *
lister_run (void *data)
{
  PlatformLister *lister = data;
  struct pollfd stop = { lister->stop_fd, POLLIN, 0 };

  do
    read_list (lister);
  while (poll (&stop, 1, (int) lister->every_ms) <= 0);
  return NULL;
}

bool
mux_platform_lister_start (PlatformLister *lister,
                           const MuxPlatformHttpOptions *options,
                           PlatformSilence *silence)
{
  lister->inbox = options->inbox;
  lister->every_ms = options->list_every_ms;
  lister->stop_fd = eventfd (0, EFD_CLOEXEC);
  if (lister->stop_fd < 0)
    return false;
  if (!mux_platform_client_init (&lister->client, options, silence))
    return false;
  lister->running
      = pthread_create (&lister->thread, NULL, lister_run, lister) == 0;
  return lister->running;
}

void
mux_platform_lister_stop (PlatformLister *lister)
{
  if (lister->running)
    {
      (void) eventfd_write (lister->stop_fd, 1);
      pthread_join (lister->thread, NULL);
    }
  if (lister->stop_fd >= 0)
    close (lister->stop_fd);
  mux_platform_client_deinit (&lister->client);
}
