#include "cell_private.h"

/* Dependent steps of a job. */

uint32_t
cell_job_chain_length (const MuxJobSpec *spec)
{
  uint32_t length[MUX_STEPS_MAX] = { 0 };
  uint32_t longest = 1;

  for (uint32_t i = 0; i < spec->step_count; i++)
    {
      for (uint32_t j = 0; j < i; j++)
        if ((spec->step[i].after >> j & 1) != 0 && length[j] > length[i])
          length[i] = length[j];
      length[i]++;
      if (length[i] > longest)
        longest = length[i];
    }
  return longest;
}
