#include "base/reason.h"

typedef struct
{
  const char *name;
  uint32_t status;
  const char *help;
} ReasonInfo;

static const ReasonInfo reason_info[MUX_REASON_COUNT] = {
#define REASON_INFO(symbol, name, status, help) \
  [MUX_REASON_##symbol] = { name, status, help },
  MUX_REASONS (REASON_INFO)
#undef REASON_INFO
};

const char *
mux_reason_name (MuxReason reason)
{
  return reason_info[reason].name;
}

const char *
mux_reason_help (MuxReason reason)
{
  return reason_info[reason].help;
}

uint32_t
mux_reason_status (MuxReason reason)
{
  return reason_info[reason].status;
}
