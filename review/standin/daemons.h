#ifndef REVIEW_DAEMONS_H
#define REVIEW_DAEMONS_H

#include "store.h"

/* The project's daemons as processes, with the command and the settings of
 * deploy/system.toml. */

#define DAEMONS_MAX 8

/** daemons_start() - @advisor: address of the policy service; "": none */
void daemons_start (const char *program,
                    int count,
                    const Store *store,
                    const char *advisor);
/** daemons_wait_ready() - Return: false: not all were ready in time */
bool daemons_wait_ready (int64_t timeout_ms);
const char *daemon_addr (int number);
const char *daemon_name (int number);
int daemons_count (void);
/** daemon_ended() - whether a process has ended by itself */
bool daemon_ended (int number);
void daemons_stop (void);

#endif
