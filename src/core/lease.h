#ifndef CORE_LEASE_H
#define CORE_LEASE_H

#include "worker.h"

/* Duration and renewal interval of worker leases. A daemon that holds many
 * workers requests longer leases, so that its rate of renewals stays within
 * its share of the control traffic. */

/** lease_request_ms() - return the lease to request from a worker now */
uint32_t lease_request_ms (const MuxCore *core);
/** lease_renew_after_ms() - return the delay from a reply of @worker to its
 * next renewal */
int64_t lease_renew_after_ms (MuxCore *core, const Worker *worker);

#endif
