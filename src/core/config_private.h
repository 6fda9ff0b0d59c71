#ifndef CORE_CONFIG_PRIVATE_H
#define CORE_CONFIG_PRIVATE_H

#include "config.h"

#include "call.h"
#include "member.h"
#include "worker.h"

#include "base/log.h"

#include <inttypes.h>
#include <jansson.h>

/* Keys of rows in the store. */
#define CONFIG_HEAD_KEY "config/head"
#define CONFIG_LOG_PREFIX "config/log/"
#define CONFIG_SNAPSHOT_KEY "config/snapshot"
/* Name of the only object of the sort "cell". */
#define CONFIG_CELL_NAME "cell"
/* Shortest interval between reads of the head. */
#define CONFIG_POLL_MS 700
/* Shortest interval between requests to peers. */
#define CONFIG_PEER_REQUEST_MS 200
/* Timeout of a change; one that may have been written then ends as unknown. */
#define CONFIG_CHANGE_LIMIT_MS 10000
/* Maximum pending changes at one daemon. */
#define CONFIG_CHANGES_MAX 64
/* Revisions between snapshots. */
#define CONFIG_SNAPSHOT_EVERY 256
/* Maximum removed objects that are remembered. */
#define CONFIG_REMOVED_MAX 4096
/* Maximum objects in one page for a peer, of a few hundred bytes each. */
#define CONFIG_PAGE_OBJECTS 128
/* Maximum changes in one page of the history. */
#define CONFIG_HISTORY_PAGE 64
/* Maximum log rows read for a revert. */
#define CONFIG_REVERT_REVISIONS_MAX 256

#define CONFIG_KEY_LEN (MUX_NAME_LEN + 8)

/* A configured object, or the record of a removed one. */
typedef struct
{
  char key[CONFIG_KEY_LEN]; /* "sort/name" */
  MuxConfigSort sort;
  char name[MUX_NAME_LEN];
  uint64_t revision;   /* of its last change */
  json_t *value;       /* NULL: removed */
  MuxClassSpec spec;   /* of a class, in force; name "": none */
  uint64_t generation; /* of the last applied state that held it */
  bool unapplied;      /* not passed to the scheduler: no memory */
  UT_hash_handle hh;
} ConfigObject;

typedef struct ConfigChange ConfigChange;

/**
 * enum FollowState - what is being read from the store
 */
typedef enum
{
  FOLLOW_IDLE,
  FOLLOW_HEAD,
  FOLLOW_SNAPSHOT_ROW,
  FOLLOW_SNAPSHOT,
  FOLLOW_LOG,
} FollowState;

/* A transfer of a peer's objects, page by page. */
typedef struct
{
  char peer[MUX_NAME_LEN];
  json_t *rows;    /* objects received; NULL: no transfer */
  bool complete;   /* holds all objects, not only changed ones */
  bool has_base;   /* @base is valid */
  uint64_t base;   /* the sender must remember all removals after it */
  uint64_t cursor; /* last revision received */
} ConfigTransfer;

struct Config
{
  uint64_t revision;
  uint64_t floor;                 /* removals up to it may be forgotten */
  uint64_t known_revision;        /* highest revision that is known to exist */
  char hint_sender[MUX_NAME_LEN]; /* of @known_revision; "": none */
  bool loaded;
  bool store_down; /* the last read of the store failed */
  ConfigObject *objects;
  uint64_t generation; /* number of applied states */
  uint32_t removed_count;
  uint32_t unapplied_count;
  FollowState follow;
  bool follow_again;
  bool log_gap_reported; /* logged that the head is ahead of the log */
  uint64_t head;
  int64_t next_poll_ms;
  int64_t next_peer_request_ms;
  ConfigTransfer transfer;
  ConfigChange *changes;
  uint32_t change_count;
  uint64_t serial;
  uint64_t snapshot_revision; /* being written; 0: no write */
};

/* config_object.c: the objects in force. */
const char *config_sort_name (MuxConfigSort sort);
bool config_sort_parse (const char *text, MuxConfigSort *sort);
/** config_object() - find an object, also a removed one; NULL: unknown */
ConfigObject *
config_object (const Config *config, MuxConfigSort sort, const char *name);
/** config_object_revision() - 0: NULL or removed */
uint64_t config_object_revision (const ConfigObject *object);
/**
 * config_check() - validate a change
 * @value: new value, which is replaced by its full form with all fields;
 *   NULL: remove the object
 * @findings: receives what is wrong
 *
 * Return: false: memory is exhausted.
 */
bool config_check (const Config *config,
                   MuxConfigSort sort,
                   const char *name,
                   json_t **value,
                   MuxFindings *findings);
/**
 * config_apply_row() - apply a log row; rows already applied are skipped
 *
 * Return: false: memory is exhausted, or a revision before it is missing.
 */
bool config_apply_row (MuxCore *core, const json_t *row);
/**
 * config_apply_state() - apply the objects of a snapshot or peer
 * @complete: objects that are not among them have been removed
 * @floor: removals up to it may be missing
 * @revision: revision that they amount to; higher than the one in force
 *
 * Return: false: memory is exhausted.
 */
bool config_apply_state (MuxCore *core,
                         const json_t *objects,
                         bool complete,
                         uint64_t floor,
                         uint64_t revision);
/** config_object_json() - encode as in snapshots and pages */
json_t *config_object_json (const ConfigObject *object);
/** config_objects_retry() - pass objects to the scheduler that could not be
 * passed for lack of memory */
void config_objects_retry (MuxCore *core);
/** config_objects_sort() - sort by revision or else by key */
void config_objects_sort (Config *config, bool by_revision);
void config_objects_free (Config *config);

/* config_follow.c: reads the log from the store. */
/** config_follow() - read the head, then a snapshot or the log as needed; if a
 * read is in progress, repeat it afterwards */
void config_follow (MuxCore *core);
void config_log_key (char key[MUX_ROW_KEY_LEN], uint64_t revision);
/** config_row_json() - parse a row's value; NULL: absent or not JSON */
json_t *config_row_json (const MuxRow *row);
/** config_row_revision() - get a row's "revision", 0 for an absent row; false:
 * the row is malformed */
bool config_row_revision (const MuxRow *row, uint64_t *revision);
/** config_set_store_down() - record and log whether the store can be read */
void config_set_store_down (MuxCore *core, bool down);
/** config_revision_changed() - send a hint of the higher revision now in force:
 * to all members if it was committed here, else to the sender of a hint */
void config_revision_changed (MuxCore *core, bool committed);
/** config_json_blob() - encode and free @json; NULL: memory is exhausted */
MuxBlob *config_json_blob (json_t *json);
/** json_number() - get an unsigned field; 0: absent */
uint64_t json_number (const json_t *json, const char *key);

/* config_peer.c: exchange with other daemons. */
/** config_request_rows() - start a transfer from @member; NULL: from a random
 * live peer */
void config_request_rows (MuxCore *core, Member *member);
/** config_send_hint() - announce the revision in force to all members or to
 * hint_sender */
void config_send_hint (MuxCore *core, bool all);

/* config_snapshot.c: writes snapshots of the configuration. */
/** config_snapshot_write() - start to write a snapshot of the state in force,
 * unless one is being written */
void config_snapshot_write (MuxCore *core);

/* config_change.c: the queue of operators' changes. */
/** config_change_request() - validate a request and queue its change */
void config_change_request (MuxCore *core, const MuxCoreRequest *request);
/** config_changes_run() - expire changes and continue with the first one */
void config_changes_run (MuxCore *core);
int64_t config_changes_wake_ms (const MuxCore *core);
/** config_changes_store_down() - refuse changes that were certainly not
 * written */
void config_changes_store_down (MuxCore *core);

/* config_show.c: responses. */
void config_show (MuxCore *core, const MuxCoreRequest *request);
void config_respond_done (MuxCore *core, uint64_t call_id, uint64_t revision);
void config_respond_refused (MuxCore *core,
                             uint64_t call_id,
                             MuxReason reason,
                             uint32_t retry_ms);
void
config_respond_absent (MuxCore *core, uint64_t call_id, MuxConfigSort sort);
/** config_respond_conflict() - send REVISION with the object in force */
void
config_respond_conflict (MuxCore *core, uint64_t call_id, ConfigObject *object);
/** config_respond_unknown() - send WRITE_UNKNOWN with the id to retry with */
void config_respond_unknown (MuxCore *core, uint64_t call_id, MuxId change);

#endif
