#ifndef DAEMON_PEM_H
#define DAEMON_PEM_H

#include "base/error.h"

/** mux_pem_read() - a small file's whole text; free() it
 * Return: NULL with @err set when it can't be read or is too large. */
char *mux_pem_read (const char *path, MuxError *err);

#endif
