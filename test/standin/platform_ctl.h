#ifndef STANDIN_PLATFORM_CTL_H
#define STANDIN_PLATFORM_CTL_H

#include "base/error.h"
#include "standin/platform_faults.h"
#include "standin/platform_state.h"

#include <jansson.h>

/* JSON of the control calls and of the instance list. */

/** standin_platform_ctl_plan() - changes the fields of @plan that @json names
 * @silence: set if the open connections are to become silent
 * Return: false, with @findings filled, if a field is unknown or invalid. */
bool standin_platform_ctl_plan (const json_t *json,
                                StandinFaultPlan *plan,
                                bool *silence,
                                MuxFindings *findings);
/** standin_platform_ctl_instance() - parses an instance
 * Return: false, with @findings filled, if a field is unknown or invalid. */
bool standin_platform_ctl_instance (const json_t *json,
                                    MuxInstance *instance,
                                    MuxFindings *findings);
json_t *standin_platform_ctl_stats (const StandinPlatformStats *stats,
                                    StandinFaults *faults);
json_t *standin_platform_ctl_list (const MuxInstanceList *list, uint64_t rev);
json_t *standin_platform_ctl_findings (const MuxFindings *findings);

#endif
