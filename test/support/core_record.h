#ifndef SUPPORT_CORE_RECORD_H
#define SUPPORT_CORE_RECORD_H

#include "support/fake_net.h"

/*
 * Records the events and actions of several cores as text.  A line "+MS NODE
 * EVENT …" is an event with its time since the start of the record; the
 * indented lines below it are the actions that the core emitted while it
 * handled it, in order.  A tick without an action is left out.  A row of the
 * table is written as its key, "@" and its revision (in a write: the one it
 * must have, "*" for any), "=" and its value, and "check" if the write is a
 * condition only.
 */
typedef struct CoreRecord CoreRecord;

/** core_record_new() - starts a record of all nodes of @net */
CoreRecord *core_record_new (FakeNet *net);
/** core_record_note() - adds a line "# +MS TEXT", which says what the test does
 */
void core_record_note (CoreRecord *record, const char *text);
/** core_record_end() - ends the record and frees it
 * Return: its text, passed through golden_name_ids(), for the caller to free.
 */
char *core_record_end (CoreRecord *record);

#endif
