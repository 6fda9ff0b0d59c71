#ifndef CLI_BODY_H
#define CLI_BODY_H

#include "base/bytes.h"
#include "verb.h"

/**
 * mux_body_read() - from --body, --file or standard input
 * @body: receives them, to be given back with mux_bytes_deinit()
 * Return: false when there was none to be had; the cause is printed.
 */
bool mux_body_read (MuxCliCall *call, MuxBytes *body);

#endif
