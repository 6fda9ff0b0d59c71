#ifndef DAEMON_PEM_H
#define DAEMON_PEM_H

#include "base/error.h"

/** mux_pem_read() - read a PEM file
 * Return: its text, to be freed with free(); NULL with @err set when the file
 * can't be read, is empty, or is larger than 64 KiB. */
char *mux_pem_read (const char *path, MuxError *err);

#endif
