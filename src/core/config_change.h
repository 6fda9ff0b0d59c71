#ifndef CORE_CONFIG_CHANGE_H
#define CORE_CONFIG_CHANGE_H

#include "config_private.h"

/**
 * enum ChangeState - state of an operator's change
 */
typedef enum
{
  CHANGE_QUEUED,  /* waits for earlier changes */
  CHANGE_PAUSED,  /* waits until wake_ms, then is checked again */
  CHANGE_CHECK,   /* reads its change row and the head */
  CHANGE_SYNC,    /* waits for the log to be read up to the head */
  CHANGE_LOOK_UP, /* of a revert: reads an older log row */
  CHANGE_WRITE,   /* its transaction is in flight */
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
  bool revert; /* the value has yet to be read from the log */
  uint64_t revert_to;
  uint64_t cursor;           /* LOOK_UP: revision being read */
  uint32_t revisions_read;   /* in LOOK_UP */
  uint64_t checked_revision; /* in force when CHECK began */
  uint64_t head_rev;         /* row version of the head, as read by CHECK */
  json_t *row;               /* WRITE: the log row */
  bool write_unknown;        /* an earlier write may still take effect */
  uint32_t retries;
  int64_t wake_ms;
  int64_t expires_ms;
  ConfigChange *prev;
  ConfigChange *next;
};

/* config_change.c: the queue of changes. All of these except change_find()
 * and change_pause() free the change; change_store_down() keeps one whose
 * earlier write may still take effect. */
/** change_find() - find a change by serial; NULL: none in @state */
ConfigChange *change_find (MuxCore *core, MuxId subject, ChangeState state);
void change_finish (MuxCore *core, ConfigChange *change);
void change_refuse (MuxCore *core, ConfigChange *change, MuxReason reason);
/** change_expire() - respond to a change that has expired or that a shutdown
 * cuts off */
void change_expire (MuxCore *core, ConfigChange *change, MuxReason reason);
void change_accepted (MuxCore *core, ConfigChange *change, uint64_t revision);
/** change_pause() - check the change again later; retries are delayed */
void change_pause (MuxCore *core, ConfigChange *change, MuxReason reason);
/** change_store_down() - refuse the change; pause one whose earlier write may
 * still take effect */
void change_store_down (MuxCore *core, ConfigChange *change);

/* config_write.c: checks, decides and writes one change. */
/** change_check() - begin with reading the change row and the head */
void change_check (MuxCore *core, ConfigChange *change);

#endif
