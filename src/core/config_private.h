#ifndef CORE_CONFIG_PRIVATE_H
#define CORE_CONFIG_PRIVATE_H

#include "config.h"

#include "call.h"
#include "member.h"
#include "worker.h"

#include "base/log.h"

#include <inttypes.h>
#include <jansson.h>

/* Rows of the platform's table. */
#define CONFIG_HEAD_KEY "config/head"
#define CONFIG_LOG_PREFIX "config/log/"
#define CONFIG_SNAPSHOT_KEY "config/snapshot"
/* Name of the one object of the sort "cell". */
#define CONFIG_CELL_NAME "cell"
/* Least time between two reads of the head. */
#define CONFIG_POLL_MS 700
/* Least time between two asks of peers. */
#define CONFIG_PEER_REQUEST_MS 200
/* A change that is not settled by then is answered as unknown. */
#define CONFIG_CHANGE_LIMIT_MS 10000
/* Most changes in flight at one daemon. */
#define CONFIG_CHANGES_MAX 64
/* Revisions between two snapshots. */
#define CONFIG_SNAPSHOT_EVERY 256
/* Most removed objects that are remembered. */
#define CONFIG_REMOVED_MAX 4096
/* Most objects in one page for a peer; each is a few hundred bytes. */
#define CONFIG_PAGE_OBJECTS 128
/* Most changes in one page of the history. */
#define CONFIG_HISTORY_PAGE 64
/* Most older changes looked at for a revert. */
#define CONFIG_REVERT_REVISIONS_MAX 256

#define CONFIG_KEY_LEN (MUX_NAME_LEN + 8)

/* One configured object, or the memory of a removed one. */
typedef struct
{
  char key[CONFIG_KEY_LEN]; /* "sort/name" */
  MuxConfigSort sort;
  char name[MUX_NAME_LEN];
  uint64_t revision;   /* of its last change */
  json_t *value;       /* NULL: removed */
  MuxClassSpec spec;   /* of a class: in force; name "": none */
  uint64_t generation; /* state in which it was seen last */
  bool unapplied;      /* the scheduler has not taken it: memory was out */
  UT_hash_handle hh;
} ConfigObject;

typedef struct ConfigChange ConfigChange;

/**
 * enum FollowState - what the follower reads now
 */
typedef enum
{
  FOLLOW_IDLE,
  FOLLOW_HEAD,
  FOLLOW_SNAPSHOT_ROW,
  FOLLOW_SNAPSHOT,
  FOLLOW_LOG,
} FollowState;

/* A peer's state being received, page by page. */
typedef struct
{
  char peer[MUX_NAME_LEN];
  json_t *rows;    /* objects so far; NULL: nothing is being received */
  bool complete;   /* objects that are not among them are gone */
  bool has_base;   /* @base is set */
  uint64_t base;   /* no removal after this may have been forgotten */
  uint64_t cursor; /* last revision received */
} ConfigTransfer;

struct Config
{
  uint64_t revision;
  uint64_t floor;                 /* removals up to here may be forgotten */
  uint64_t known_revision;        /* highest revision that anyone told of */
  char hint_sender[MUX_NAME_LEN]; /* who hinted at it, until it is in force */
  bool loaded;
  bool store_down; /* the last read of the table failed */
  ConfigObject *objects;
  uint64_t generation; /* states taken, to tell what the last one lacked */
  uint32_t removed_count;
  uint32_t unapplied_count;
  FollowState follow;
  bool follow_again;
  bool log_gap_reported; /* the head is ahead of the log: said once */
  uint64_t head;
  int64_t next_poll_ms;
  int64_t next_peer_request_ms;
  ConfigTransfer transfer;
  ConfigChange *changes;
  uint32_t change_count;
  uint64_t serial;
  uint64_t snapshot_revision; /* being written; 0: none */
};

/* config_object.c: the objects in force. */
const char *config_sort_name (MuxConfigSort sort);
bool config_sort_parse (const char *text, MuxConfigSort *sort);
/** config_object() - also a removed one; NULL: never heard of */
ConfigObject *
config_object (const Config *config, MuxConfigSort sort, const char *name);
/** config_object_revision() - 0: it does not exist */
uint64_t config_object_revision (const ConfigObject *object);
/** config_check() - findings on giving @name the @value, NULL: remove it;
 * *@value is replaced by its full form.  False: memory is out. */
bool config_check (const Config *config,
                   MuxConfigSort sort,
                   const char *name,
                   json_t **value,
                   MuxFindings *findings);
/** config_apply_row() - take a log row of the next revision; older ones are
 * passed over.  False: memory is out, or a revision between is missing. */
bool config_apply_row (MuxCore *core, const json_t *row);
/** config_apply_state() - take objects of a snapshot or peer, all at once
 * @whole: what is not among them is gone
 * @revision: what they amount to, higher than the one in force */
bool config_apply_state (MuxCore *core,
                         const json_t *objects,
                         bool whole,
                         uint64_t floor,
                         uint64_t revision);
/** config_object_json() - its form in snapshots and pages */
json_t *config_object_json (const ConfigObject *object);
void config_objects_retry (MuxCore *core);
void config_objects_sort (Config *config, bool by_revision);
void config_objects_free (Config *config);

/* config_follow.c: reading the table. */
void config_follow (MuxCore *core);
void config_log_key (char key[MUX_ROW_KEY_LEN], uint64_t revision);
/** config_row_json() - NULL: absent or not JSON */
json_t *config_row_json (const MuxRow *row);
/** config_row_revision() - its "revision"; 0 when absent; false: bad row */
bool config_row_revision (const MuxRow *row, uint64_t *revision);
void config_set_store_down (MuxCore *core, bool down);
/** config_moved() - a higher revision is in force now: say so to all when it
 * was committed here, else to who hinted at it */
void config_revision_changed (MuxCore *core, bool committed);
/** config_json_blob() - takes @json over; NULL: memory is out */
MuxBlob *config_json_blob (json_t *json);
/** json_number() - an unsigned field; 0 when absent */
uint64_t json_number (const json_t *json, const char *key);

/* config_peer.c: asking and telling other daemons. */
void config_request_rows (MuxCore *core, Member *member);
void config_send_hint (MuxCore *core, bool all);

/* config_snapshot.c: the whole configuration as an object. */
void config_snapshot_write (MuxCore *core);

/* config_change.c: operators' changes. */
void config_change_request (MuxCore *core, const MuxCoreRequest *ask);
void config_changes_run (MuxCore *core);
int64_t config_changes_wake_ms (const MuxCore *core);
/** config_changes_store_down() - refuse those that certainly made no write */
void config_changes_store_down (MuxCore *core);

/* config_show.c: answers. */
void config_show (MuxCore *core, const MuxCoreRequest *ask);
void config_respond_done (MuxCore *core, uint64_t call, uint64_t revision);
void config_respond_refused (MuxCore *core,
                             uint64_t call,
                             MuxReason reason,
                             uint32_t retry_ms);
void config_respond_absent (MuxCore *core, uint64_t call, MuxConfigSort sort);
/** config_answer_lost() - REVISION, with what stands now */
void
config_respond_conflict (MuxCore *core, uint64_t call, ConfigObject *object);
/** config_answer_unknown() - WRITE_UNKNOWN, with the id to repeat */
void config_respond_unknown (MuxCore *core, uint64_t call, MuxId change);

#endif
