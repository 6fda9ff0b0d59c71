#include "retry_budget.h"

#include <stdlib.h>

/* A retry costs 1000; what comes earns a tenth of one. */
#define RETRY_COST INT64_C (1000)
#define EARN INT64_C (100)
/* Retries that a quiet class has at hand. */
#define FULL (50 * RETRY_COST)

struct RetryBudget
{
  char class_name[MUX_NAME_LEN];
  int64_t left;
  UT_hash_handle hh;
};

static RetryBudget *
find (MuxCore *core, const char *class_name)
{
  RetryBudget *budget;

  HASH_FIND_STR (core->retry_budgets, class_name, budget);
  if (budget != NULL)
    return budget;
  budget = calloc (1, sizeof *budget);
  if (budget == NULL)
    return NULL;
  mux_name_copy (budget->class_name, class_name);
  budget->left = FULL;
  HASH_ADD_STR (core->retry_budgets, class_name, budget);
  return budget;
}

void
retry_budget_credit (MuxCore *core, const char *class_name)
{
  RetryBudget *budget = find (core, class_name);

  if (budget != NULL && budget->left < FULL)
    budget->left += EARN;
}

bool
retry_budget_spend (MuxCore *core, const char *class_name)
{
  RetryBudget *budget = find (core, class_name);

  if (budget == NULL || budget->left < RETRY_COST)
    return false;
  budget->left -= RETRY_COST;
  return true;
}

void
retry_budgets_free (MuxCore *core)
{
  RetryBudget *budget, *next;

  HASH_ITER (hh, core->retry_budgets, budget, next)
  {
    HASH_DEL (core->retry_budgets, budget);
    free (budget);
  }
}
