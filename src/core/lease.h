#ifndef CORE_LEASE_H
#define CORE_LEASE_H

#include "worker.h"

/* How long the leases of workers are, and how often they are renewed: a
 * daemon that holds many workers asks for longer leases, so that its renewals
 * stay within its share of control traffic. */

/** lease_ask_ms() - lease to ask of a worker now */
uint32_t lease_request_ms (const MuxCore *core);
/** lease_renew_ms() - from an answer of @worker to its next renewal */
int64_t lease_renew_after_ms (MuxCore *core, const Worker *worker);

#endif
