#ifndef SUPPORT_CORE_RECORD_H
#define SUPPORT_CORE_RECORD_H

#include "support/fake_net.h"

/*
 * What whole cores are told and do, as text.  A line "+MS NODE EVENT …" is an
 * event and its time since the record began; the indented lines below it are
 * the actions that the core emitted while it handled it, in their order.  A
 * wake-up that led to no action is left out.  Of a row in the table stand key,
 * "@" and its revision (of a write: the one it must have, "*" for any), "="
 * and its value, "check" where only the condition counts.
 */
typedef struct CoreRecord CoreRecord;

/** core_record_new() - from now on, all nodes of @net */
CoreRecord *core_record_new (FakeNet *net);
/** core_record_note() - a line "# TEXT": what the session does to the cell */
void core_record_note (CoreRecord *record, const char *text);
/** core_record_end() - no more
 * Return: the text, with ids named; for the caller to free. */
char *core_record_end (CoreRecord *record);

#endif
