#ifndef CLI_BODY_H
#define CLI_BODY_H

#include "verb.h"

/**
 * struct MuxBody - bytes to send with a call
 * @bytes: owned; free() them
 * @len: length of @bytes
 */
typedef struct
{
  char *bytes;
  size_t len;
} MuxBody;

/**
 * mux_body_read() - from --body, --file or standard input
 * Return: false when there was none to be had; the cause is printed.
 */
bool mux_body_read (MuxCliCall *call, MuxBody *body);

#endif
