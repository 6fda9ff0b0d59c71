#ifndef SUPPORT_CONFIG_CELL_H
#define SUPPORT_CONFIG_CELL_H

#include "support/fake_net.h"

#include <jansson.h>

#define CONFIG_NO_QUOTA \
  "{\"quota\":{\"cpu_milli\":0,\"mem_mib\":0,\"accels\":0,\"slots\":0}}"

/**
 * struct ConfigCell - daemons whose configuration is read and changed
 * @net: the daemons
 * @call: number of the last request
 * @answers: number of responses to it
 * @answer: the last of them, without its body
 * @json: its body, or NULL
 */
typedef struct
{
  FakeNet *net;
  uint64_t call;
  uint32_t answers;
  MuxCoreResponse answer;
  json_t *json;
} ConfigCell;

void config_cell_init (ConfigCell *cell, uint64_t seed, uint32_t nodes);
void config_cell_free (ConfigCell *cell);
/** config_cell_take() - records @answer if it is for the last request */
void config_cell_take (ConfigCell *cell, const MuxCoreResponse *answer);
/** config_cell_send() - sends a request without waiting for its response */
void config_cell_send (ConfigCell *cell, uint32_t node, MuxCoreRequest *ask);
/** config_cell_request() - sends a request and runs the daemons until its
 * response arrives */
void config_cell_request (ConfigCell *cell, uint32_t node, MuxCoreRequest *ask);
/** config_cell_put() - writes an object; Return: its revision, 0: refused */
uint64_t config_cell_put (ConfigCell *cell,
                          uint32_t node,
                          MuxConfigSort sort,
                          const char *name,
                          const char *value);
/** config_cell_begin() - initializes @cell and adds a product "kiosk" with a
 * class "desk"
 * Return: the class's revision */
uint64_t config_cell_begin (ConfigCell *cell,
                            uint64_t seed,
                            uint32_t nodes,
                            uint32_t start_ms);
/** config_cell_class() - writes the value of a class that starts its tasks
 * within @start_ms */
void config_cell_class (char out[256], uint32_t start_ms);
/** config_cell_number() - returns a field of the last response's body */
uint64_t config_cell_number (const ConfigCell *cell, const char *key);

#endif
