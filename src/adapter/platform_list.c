#include "platform_private.h"

#include <inttypes.h>
#include <jansson.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define LIST_TIMEOUT_MS 2000
#define INSTANCES_MAX 100000
/* Most reads of changes between two reads of the complete list. */
#define DELTAS_MAX 1800

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
             const char *const *contains_name,
             size_t count,
             uint32_t *choice)
{
  const char *text = json_string_value (json_object_get (json, name));

  for (uint32_t i = 0; text != NULL && i < count; i++)
    if (strcmp (text, contains_name[i]) == 0)
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

/*
 * An instance with an invalid name is skipped: a name that contains a line end
 * would inject a header into every call to that worker.  Skipping it loses
 * nothing, since such an instance can't be addressed and was never known here.
 * Refusing the list would lose the changes of all other instances.
 */
static MuxInstanceList *
read_instances (const json_t *items)
{
  size_t count = json_array_size (items);
  MuxInstanceList *list;

  if (!json_is_array (items) || count > INSTANCES_MAX)
    return NULL;
  list = calloc (1, sizeof *list + count * sizeof list->item[0]);
  if (list == NULL)
    return NULL;
  for (size_t i = 0; i < count; i++)
    {
      MuxInstance *instance = &list->item[list->count];

      if (!read_instance (json_array_get (items, i), instance))
        {
          free (list);
          return NULL;
        }
      list->count += mux_name_valid (instance->name);
    }
  return list;
}

MuxInstanceList *
mux_platform_decode_list (const char *bytes, size_t len, uint64_t *rev)
{
  json_t *json = json_loadb (bytes, len, 0, NULL);
  MuxInstanceList *list = read_instances (json_object_get (json, "instances"));

  *rev = (uint64_t) json_integer_value (json_object_get (json, "rev"));
  if (list != NULL)
    list->changes_only = json_is_true (json_object_get (json, "changes_only"));
  json_decref (json);
  return list;
}

static MuxInstanceList *
new_list (uint32_t count)
{
  MuxInstanceList *list;

  return calloc (1, sizeof *list + count * sizeof list->item[0]);
}

static bool
contains_name (const MuxInstanceList *list, const char *name)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (strcmp (list->item[i].name, name) == 0)
      return true;
  return false;
}

static MuxInstanceList *
entry_instances_of (const MuxInstanceList *list)
{
  MuxInstanceList *entries = new_list (list->count);

  for (uint32_t i = 0; entries != NULL && i < list->count; i++)
    if (list->item[i].role == MUX_ROLE_ENTRY)
      entries->item[entries->count++] = list->item[i];
  return entries;
}

/*
 * Adds the entry instances that @changes does not name.  When a data centre is
 * partitioned for so long that its daemons are removed from the members, their
 * list entries do not change, so a list of changes alone would not lead to
 * contact with them after the partition heals.  Entry instances are few, so
 * every list passed on holds all of them.
 */
static MuxInstanceList *
add_entry_instances (const MuxInstanceList *changes,
                     const MuxInstanceList *entries)
{
  MuxInstanceList *list = new_list (changes->count + entries->count);

  if (list == NULL)
    return NULL;
  list->changes_only = true;
  list->count = changes->count;
  memcpy (list->item, changes->item, changes->count * sizeof list->item[0]);
  for (uint32_t i = 0; i < entries->count; i++)
    if (!contains_name (changes, entries->item[i].name))
      list->item[list->count++] = entries->item[i];
  return list;
}

/* Takes ownership of @list.
 * Return: false when the next read must get the complete list. */
static bool
pass_on (PlatformLister *lister, MuxInstanceList *list)
{
  if (list->changes_only)
    {
      MuxInstanceList *changes = list;

      list = add_entry_instances (changes, lister->entry_instances);
      free (changes);
    }
  if (list == NULL)
    return false;
  free (lister->entry_instances);
  lister->entry_instances = entry_instances_of (list);
  return lister->inbox->instances (lister->inbox, list)
         && lister->entry_instances != NULL;
}

/*
 * A change may be missed, when out of memory or by a fault of the platform; a
 * worker that left would then be listed for ever.  So the complete list is read
 * from time to time.  It is not read each time, to save the bytes of thousands
 * of instances every second.
 */
static bool
reads_changes (const PlatformLister *lister)
{
  return lister->rev != 0 && lister->deltas_since_full < DELTAS_MAX;
}

static void
read_list (PlatformLister *lister)
{
  PlatformRequest request = { .method = "GET",
                              .path = "/v1/instances",
                              .timeout_ms = LIST_TIMEOUT_MS };
  PlatformResponse response;
  MuxInstanceList *list;
  uint64_t rev;

  if (reads_changes (lister))
    snprintf (request.path, sizeof request.path, "/v1/instances?after=%" PRIu64,
              lister->rev);
  if (mux_platform_exchange (&lister->client, &request, &response)
          != PLATFORM_ANSWERED
      || response.status != 200 || response.body->len == 0)
    return;
  list = mux_platform_decode_list (response.body->bytes, response.body->len,
                                   &rev);
  if (list == NULL)
    return;
  /* Changes that were not requested have no known base. */
  if (list->changes_only && !reads_changes (lister))
    {
      free (list);
      return;
    }
  lister->deltas_since_full
      = list->changes_only ? lister->deltas_since_full + 1 : 0;
  lister->rev = pass_on (lister, list) ? rev : 0;
}

static void *
lister_run (void *data)
{
  PlatformLister *lister = data;
  struct pollfd stop = { lister->stop_fd, POLLIN, 0 };

  do
    read_list (lister);
  while (poll (&stop, 1, (int) lister->interval_ms) <= 0);
  return NULL;
}

bool
mux_platform_lister_start (PlatformLister *lister,
                           const MuxPlatformHttpOptions *options,
                           PlatformTimeouts *timeouts)
{
  lister->inbox = options->inbox;
  lister->interval_ms = options->list_interval_ms;
  lister->stop_fd = eventfd (0, EFD_CLOEXEC);
  if (lister->stop_fd < 0)
    return false;
  if (!mux_platform_client_init (&lister->client, options, timeouts))
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
  free (lister->entry_instances);
  mux_platform_client_deinit (&lister->client);
}
