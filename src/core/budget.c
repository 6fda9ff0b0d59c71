#include "budget.h"

#include <stdlib.h>

/* A retry costs 1000; what comes earns a tenth of one. */
#define RETRY_COST INT64_C (1000)
#define EARN INT64_C (100)
/* Retries that a quiet class has at hand. */
#define FULL (50 * RETRY_COST)

struct Budgets
{
  char class_name[MUX_NAME_LEN];
  int64_t left;
  UT_hash_handle hh;
};

static Budgets *
find (MuxCore *core, const char *class_name)
{
  Budgets *budget;

  HASH_FIND_STR (core->budgets, class_name, budget);
  if (budget != NULL)
    return budget;
  budget = calloc (1, sizeof *budget);
  if (budget == NULL)
    return NULL;
  mux_name_copy (budget->class_name, class_name);
  budget->left = FULL;
  HASH_ADD_STR (core->budgets, class_name, budget);
  return budget;
}

void
budget_earn (MuxCore *core, const char *class_name)
{
  Budgets *budget = find (core, class_name);

  if (budget != NULL && budget->left < FULL)
    budget->left += EARN;
}

bool
budget_take (MuxCore *core, const char *class_name)
{
  Budgets *budget = find (core, class_name);

  if (budget == NULL || budget->left < RETRY_COST)
    return false;
  budget->left -= RETRY_COST;
  return true;
}

void
budgets_free (MuxCore *core)
{
  Budgets *budget, *next;

  HASH_ITER (hh, core->budgets, budget, next)
  {
    HASH_DEL (core->budgets, budget);
    free (budget);
  }
}
