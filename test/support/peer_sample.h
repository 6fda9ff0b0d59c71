#ifndef SUPPORT_PEER_SAMPLE_H
#define SUPPORT_PEER_SAMPLE_H

#include "port/peer.h"

/** peer_sample() - fills a message of @verb, with a value in every field that
 * the verb uses.  Padding is zero; the caller unrefs @msg->body. */
void peer_sample (MuxPeerVerb verb, MuxPeerMsg *msg);

#endif
