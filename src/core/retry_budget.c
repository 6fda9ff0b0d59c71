#include "retry_budget.h"

#include <stdlib.h>

/* A new task adds a tenth of the cost of a retry. */
#define RETRY_COST INT64_C (1000)
#define CREDIT_PER_TASK INT64_C (100)
/* Limit of a budget, which allows 50 retries in a row; also its initial
 * value. */
#define BUDGET_MAX (50 * RETRY_COST)

struct RetryBudget
{
  char class_name[MUX_NAME_LEN];
  int64_t balance;
  UT_hash_handle hh;
};

static RetryBudget *
get_budget (MuxCore *core, const char *class_name)
{
  RetryBudget *budget;

  HASH_FIND_STR (core->retry_budgets, class_name, budget);
  if (budget != NULL)
    return budget;
  budget = calloc (1, sizeof *budget);
  if (budget == NULL)
    return NULL;
  mux_name_copy (budget->class_name, class_name);
  budget->balance = BUDGET_MAX;
  HASH_ADD_STR (core->retry_budgets, class_name, budget);
  return budget;
}

void
retry_budget_credit (MuxCore *core, const char *class_name)
{
  RetryBudget *budget = get_budget (core, class_name);

  if (budget != NULL && budget->balance < BUDGET_MAX)
    budget->balance += CREDIT_PER_TASK;
}

bool
retry_budget_spend (MuxCore *core, const char *class_name)
{
  RetryBudget *budget = get_budget (core, class_name);

  if (budget == NULL || budget->balance < RETRY_COST)
    return false;
  budget->balance -= RETRY_COST;
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
