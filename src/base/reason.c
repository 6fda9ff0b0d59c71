#include "base/reason.h"

#define STATUS_TOO_MANY 429
#define STATUS_INTERNAL 500

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

bool
mux_reason_is_transient (MuxReason reason)
{
  uint32_t status = mux_reason_status (reason);

  switch (reason)
    {
    case MUX_REASON_KEY_IN_USE:
    case MUX_REASON_FENCED_ROW:
      return true;
    case MUX_REASON_TASK_FAILED:
    case MUX_REASON_CALLER_GONE:
      return false;
    default:
      return status == STATUS_TOO_MANY || status >= STATUS_INTERNAL;
    }
}
