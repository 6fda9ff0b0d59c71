#include "config_change.h"

#include <stdlib.h>

Config *
config_new (void)
{
  return calloc (1, sizeof (Config));
}

void
config_free (Config *config)
{
  ConfigChange *change;

  if (config == NULL)
    return;
  while ((change = config->changes) != NULL)
    {
      config->changes = change->next;
      json_decref (change->value);
      json_decref (change->row);
      free (change);
    }
  json_decref (config->transfer.rows);
  config_objects_free (config);
  free (config);
}

void
config_request (MuxCore *core, const MuxCoreRequest *request)
{
  switch (request->verb)
    {
    case MUX_CORE_CONFIG_GET:
    case MUX_CORE_CONFIG_LIST:
    case MUX_CORE_CONFIG_HISTORY:
      config_show (core, request);
      return;
    default:
      config_change_request (core, request);
    }
}

void
config_tick (MuxCore *core)
{
  Config *config = core->config;

  if (config->unapplied_count > 0)
    config_objects_retry (core);
  if (core->now_ms >= config->next_poll_ms)
    config_follow (core);
  if (!config->loaded && core->now_ms >= config->next_peer_request_ms)
    config_request_rows (core, NULL);
  config_changes_run (core);
}

int64_t
config_wake_ms (const MuxCore *core)
{
  const Config *config = core->config;
  int64_t at_ms = config->next_poll_ms;
  int64_t change_ms = config_changes_wake_ms (core);

  if (!config->loaded && config->next_peer_request_ms < at_ms)
    at_ms = config->next_peer_request_ms;
  return change_ms < at_ms ? change_ms : at_ms;
}

uint64_t
config_revision (const MuxCore *core)
{
  return core->config->revision;
}

bool
config_loaded (const MuxCore *core)
{
  return core->config->loaded;
}

const MuxClassSpec *
config_class (const MuxCore *core, const char *name)
{
  const ConfigObject *object
      = config_object (core->config, MUX_CONFIG_CLASS, name);

  if (object == NULL || object->spec.name[0] == 0)
    return NULL;
  return &object->spec;
}

bool
config_drained (const MuxCore *core, const char *worker)
{
  return config_object_revision (
             config_object (core->config, MUX_CONFIG_DRAIN, worker))
         != 0;
}
