#ifndef CORE_RETRY_BUDGET_H
#define CORE_RETRY_BUDGET_H

#include "core_private.h"

/* Retry budgets by class. Retries are limited to a share of the incoming
 * tasks, so that they don't overload a failing cell. */

/** retry_budget_credit() - add the share of one new task of the class */
void retry_budget_credit (MuxCore *core, const char *class_name);
/** retry_budget_spend() - take one retry; false: the budget is exhausted */
bool retry_budget_spend (MuxCore *core, const char *class_name);
void retry_budgets_free (MuxCore *core);

#endif
