#ifndef SUPPORT_CONFIG_CELL_H
#define SUPPORT_CONFIG_CELL_H

#include "support/fake_net.h"

#include <jansson.h>

#define CONFIG_NO_QUOTA \
  "{\"quota\":{\"cpu_milli\":0,\"mem_mib\":0,\"accels\":0,\"slots\":0}}"

/**
 * struct ConfigCell - a cell whose configuration is asked and changed
 * @net: the daemons
 * @call: number of the last ask
 * @answers: answers to it so far
 * @answer: that answer, without its body
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
/** config_cell_take() - keep @answer if it belongs to the last ask */
void config_cell_take (ConfigCell *cell, const MuxCoreResponse *answer);
/** config_cell_send() - ask without awaiting the answer */
void config_cell_send (ConfigCell *cell, uint32_t node, MuxCoreRequest *ask);
/** config_cell_ask() - ask and run the cell until the answer is there */
void config_cell_ask (ConfigCell *cell, uint32_t node, MuxCoreRequest *ask);
/** config_cell_put() - set an object; Return: its revision, 0: refused */
uint64_t config_cell_put (ConfigCell *cell,
                          uint32_t node,
                          MuxConfigSort sort,
                          const char *name,
                          const char *value);
/** config_cell_begin() - init, then a product "kiosk" and a class "desk" of it;
 *  Return: the class's revision */
uint64_t config_cell_begin (ConfigCell *cell,
                            uint64_t seed,
                            uint32_t nodes,
                            uint32_t start_ms);
/** config_cell_class() - value of a class that starts within @start_ms */
void config_cell_class (char out[256], uint32_t start_ms);
/** config_cell_number() - a field of the last answer's body */
uint64_t config_cell_number (const ConfigCell *cell, const char *key);

#endif
