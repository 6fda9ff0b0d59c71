#ifndef CORE_CONFIG_CHANGE_H
#define CORE_CONFIG_CHANGE_H

#include "config_private.h"

/**
 * enum ChangeState - life of an operator's change
 */
typedef enum
{
  CHANGE_QUEUED,  /* an earlier change is being made */
  CHANGE_PAUSED,  /* until wake_ms, then it is checked again */
  CHANGE_CHECK,   /* its change row and the head are being read */
  CHANGE_SYNC,    /* the log is being read up to the head */
  CHANGE_LOOK_UP, /* a revert: an older change is being read */
  CHANGE_WRITE,   /* the transaction is on its way */
} ChangeState;

struct ConfigChange
{
  uint64_t serial;
  uint64_t call_id;
  ChangeState state;
  MuxConfigSort sort;
  char name[MUX_NAME_LEN];
  json_t *value; /* NULL: remove */
  bool has_expected;
  uint64_t expected_revision;
  MuxId change_id;
  char author[MUX_NAME_LEN];
  int64_t wall_ms;
  bool revert; /* the value is still to be found in the log */
  uint64_t revert_to;
  uint64_t cursor;           /* LOOK_UP: revision being read */
  uint32_t revisions_read;   /* LOOK_UP: revisions read */
  uint64_t checked_revision; /* in force when the check was sent */
  uint64_t head_rev;         /* of the head row in the last check */
  json_t *row;               /* WRITE: the log row */
  bool write_unknown;        /* an earlier write may take effect yet */
  uint32_t retries;
  int64_t wake_ms;
  int64_t expires_ms;
  ConfigChange *prev;
  ConfigChange *next;
};

/* config_change.c: the queue of changes, and how they end.  Each of the next
 * frees the change, but for _pause() and, of an unsure one, _store_down(). */
ConfigChange *change_find (MuxCore *core, MuxId subject, ChangeState state);
void change_finish (MuxCore *core, ConfigChange *change);
void change_refuse (MuxCore *core, ConfigChange *change, MuxReason reason);
/** change_give_up() - time is up, or this daemon ends: say what is known */
void change_expire (MuxCore *core, ConfigChange *change, MuxReason reason);
void change_accepted (MuxCore *core, ConfigChange *change, uint64_t revision);
void change_pause (MuxCore *core, ConfigChange *change, MuxReason reason);
/** change_store_down() - refused, but for one that may take effect yet */
void change_store_down (MuxCore *core, ConfigChange *change);

/* config_write.c: check, decide and write one change. */
void change_check (MuxCore *core, ConfigChange *change);

#endif
