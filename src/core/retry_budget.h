#ifndef CORE_RETRY_BUDGET_H
#define CORE_RETRY_BUDGET_H

#include "core_private.h"

/* Retry budgets by class: retries may be a bounded share of what came, so
 * that a failing cell is not buried under its own retries. */

/** budget_earn() - a request or task of the class came */
void retry_budget_credit (MuxCore *core, const char *class_name);
/** budget_take() - false: the class's budget is spent */
bool retry_budget_spend (MuxCore *core, const char *class_name);
void retry_budgets_free (MuxCore *core);

#endif
