#ifndef CLI_BODY_H
#define CLI_BODY_H

#include "base/bytes.h"
#include "verb.h"

/**
 * mux_body_read() - read the body from --body, --file or standard input
 * @body: receives the body; the caller frees it with mux_bytes_deinit()
 * Return: false on failure; the cause is printed.
 */
bool mux_body_read (MuxCliCall *call, MuxBytes *body);

#endif
