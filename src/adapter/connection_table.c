#include "adapter/connection_table.h"

#include <stddef.h>
#include <utlist.h>

/* A body younger than this is not closed to make room for another: under a
 * usual overload it would be sent in vain, and come again. */
#define BODY_AGE_MS 1000
/* A response that its caller has not read for this long may be cut off. */
#define RESPONSE_AGE_MS 5000

static void
unlink_connection (MuxConnectionTable *table, MuxConnection *connection)
{
  if (connection->closing)
    return;
  if (connection->state == MUX_CONNECTION_WAITING)
    DL_DELETE (table->waiting, connection);
  else if (connection->state == MUX_CONNECTION_RESPONDING)
    DL_DELETE (table->responding, connection);
}

static void
link_connection (MuxConnectionTable *table,
                 MuxConnection *connection,
                 MuxConnectionState state,
                 int64_t now_ms)
{
  connection->state = state;
  connection->since_ms = now_ms;
  if (connection->closing)
    return;
  if (state == MUX_CONNECTION_WAITING)
    DL_APPEND (table->waiting, connection);
  else if (state == MUX_CONNECTION_RESPONDING)
    DL_APPEND (table->responding, connection);
}

static void
change_state (MuxConnectionTable *table,
              MuxConnection *connection,
              MuxConnectionState state,
              int64_t now_ms)
{
  unlink_connection (table, connection);
  table->served -= connection->state == MUX_CONNECTION_SERVED;
  table->served += state == MUX_CONNECTION_SERVED;
  link_connection (table, connection, state, now_ms);
}

static void
choose (MuxConnectionTable *table, MuxConnection *connection)
{
  unlink_connection (table, connection);
  connection->closing = true;
  table->closing_bytes += connection->reserved_bytes;
  table->count--;
  table->closing++;
}

bool
mux_connections_is_full (const MuxConnectionTable *table)
{
  return table->count + table->closing >= table->connections_max;
}

void
mux_connections_add (MuxConnectionTable *table,
                     MuxConnection *connection,
                     int64_t now_ms)
{
  link_connection (table, connection, MUX_CONNECTION_WAITING, now_ms);
  table->count++;
}

MuxConnection *
mux_connections_victim (MuxConnectionTable *table, int64_t now_ms)
{
  MuxConnection *victim = NULL;

  if (table->count <= table->connections_max)
    return NULL;
  /* The last one that waits is the new one. */
  if (table->waiting != NULL && table->waiting->next != NULL)
    victim = table->waiting;
  else if (table->responding != NULL
           && now_ms - table->responding->since_ms >= RESPONSE_AGE_MS)
    victim = table->responding;
  if (victim != NULL)
    choose (table, victim);
  return victim;
}

void
mux_connections_release (MuxConnectionTable *table, MuxConnection *connection)
{
  mux_memory_release (&table->memory, connection->reserved_bytes);
  if (connection->closing)
    table->closing_bytes -= connection->reserved_bytes;
  connection->reserved_bytes = 0;
}

void
mux_connections_remove (MuxConnectionTable *table, MuxConnection *connection)
{
  mux_connections_release (table, connection);
  unlink_connection (table, connection);
  table->served -= connection->state == MUX_CONNECTION_SERVED;
  if (connection->closing)
    table->closing--;
  else
    table->count--;
}

void
mux_connections_begin (MuxConnectionTable *table,
                       MuxConnection *connection,
                       int64_t now_ms)
{
  change_state (table, connection, MUX_CONNECTION_WAITING, now_ms);
}

bool
mux_connections_serve (MuxConnectionTable *table, MuxConnection *connection)
{
  if (connection->closing || table->served >= table->served_max)
    return false;
  change_state (table, connection, MUX_CONNECTION_SERVED, connection->since_ms);
  return true;
}

void
mux_connections_respond (MuxConnectionTable *table,
                         MuxConnection *connection,
                         int64_t now_ms)
{
  mux_connections_release (table, connection);
  change_state (table, connection, MUX_CONNECTION_RESPONDING, now_ms);
}

void
mux_connections_end (MuxConnectionTable *table,
                     MuxConnection *connection,
                     int64_t now_ms)
{
  mux_connections_release (table, connection);
  change_state (table, connection, MUX_CONNECTION_WAITING, now_ms);
}

bool
mux_connections_reserve (MuxConnectionTable *table,
                         MuxConnection *connection,
                         uint64_t bytes)
{
  if (connection->closing || !mux_memory_reserve (&table->memory, bytes))
    return false;
  connection->reserved_bytes += bytes;
  return true;
}

MuxConnection *
mux_connections_memory_victim (MuxConnectionTable *table, int64_t now_ms)
{
  MuxConnection *connection;

  DL_FOREACH (table->waiting, connection)
  {
    if (now_ms - connection->since_ms < BODY_AGE_MS)
      return NULL;
    if (connection->reserved_bytes == 0)
      continue;
    choose (table, connection);
    return connection;
  }
  return NULL;
}
