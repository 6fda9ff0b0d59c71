#ifndef ADAPTER_CONNECTION_TABLE_H
#define ADAPTER_CONNECTION_TABLE_H

#include "base/memory_account.h"

/**
 * DOC: the open connections of a listener, and which of them is closed first
 *
 * A connection waits for a request or for the rest of one, is served, or
 * receives its response.  One that is served is never closed: its request may
 * take effect, and its caller is owed the response.  Of those that wait, the
 * one that has waited the longest is closed first: a usual request is whole
 * within a round trip.  Nothing here does I/O, reads a clock or locks; the
 * owner of the table does.
 */

/** enum MuxConnectionState - what a connection does */
typedef enum
{
  MUX_CONNECTION_WAITING,
  MUX_CONNECTION_SERVED,
  MUX_CONNECTION_RESPONDING,
} MuxConnectionState;

/**
 * struct MuxConnection - an open connection
 * @prev: in the list of its state
 * @next: in the list of its state
 * @fd: its socket
 * @state: what it does
 * @closing: it will be closed, and is in no list any more
 * @since_ms: begin of the request, of the response, or of the wait for one
 * @reserved_bytes: what its request holds of the account
 */
typedef struct MuxConnection MuxConnection;
struct MuxConnection
{
  MuxConnection *prev;
  MuxConnection *next;
  int fd;
  MuxConnectionState state;
  bool closing;
  int64_t since_ms;
  uint64_t reserved_bytes;
};

/**
 * struct MuxConnectionTable - the connections of a listener
 * @connections_max: open at once
 * @served_max: served at once
 * @memory: account of large bodies
 * @count: open, without those that are closing
 * @closing: being closed
 * @served: being served
 * @closing_bytes: reserved by connections that are closing
 * @waiting: longest wait first
 * @responding: oldest response first
 */
typedef struct
{
  uint32_t connections_max;
  uint32_t served_max;
  MuxMemoryAccount memory;
  uint32_t count;
  uint32_t closing;
  uint32_t served;
  uint64_t closing_bytes;
  MuxConnection *waiting;
  MuxConnection *responding;
} MuxConnectionTable;

/** mux_connections_is_full() - whether as many are open as may be, with those
 * that are closing */
bool mux_connections_is_full (const MuxConnectionTable *table);
/** mux_connections_add() - a connection was accepted */
void mux_connections_add (MuxConnectionTable *table,
                          MuxConnection *connection,
                          int64_t now_ms);
/** mux_connections_victim() - choose a connection to close if there are more
 * than the limit
 * Return: NULL when there are not, or none may be closed. */
MuxConnection *mux_connections_victim (MuxConnectionTable *table,
                                       int64_t now_ms);
/** mux_connections_remove() - its socket is about to be closed */
void mux_connections_remove (MuxConnectionTable *table,
                             MuxConnection *connection);
/** mux_connections_begin() - the first line of a request has arrived */
void mux_connections_begin (MuxConnectionTable *table,
                            MuxConnection *connection,
                            int64_t now_ms);
/** mux_connections_serve() - the request is whole
 * Return: false when it must be refused: as many are served as may be, or the
 * connection is closing. */
bool mux_connections_serve (MuxConnectionTable *table,
                            MuxConnection *connection);
/** mux_connections_respond() - the response is being sent; the body has been
 * freed, and what it held is released */
void mux_connections_respond (MuxConnectionTable *table,
                              MuxConnection *connection,
                              int64_t now_ms);
/** mux_connections_end() - the request has ended, whichever way; what it holds
 * is released */
void mux_connections_end (MuxConnectionTable *table,
                          MuxConnection *connection,
                          int64_t now_ms);
/** mux_connections_reserve() - reserve memory for the request's body
 * Return: false when the account has no room. */
bool mux_connections_reserve (MuxConnectionTable *table,
                              MuxConnection *connection,
                              uint64_t bytes);
/** mux_connections_release() - the request's body has been freed */
void mux_connections_release (MuxConnectionTable *table,
                              MuxConnection *connection);
/** mux_connections_memory_victim() - choose a connection to close whose body
 * has kept memory for longer than usual bodies take
 * Return: NULL when there is none. */
MuxConnection *mux_connections_memory_victim (MuxConnectionTable *table,
                                              int64_t now_ms);

#endif
