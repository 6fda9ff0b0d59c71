#ifndef SUPPORT_PEER_SAMPLE_H
#define SUPPORT_PEER_SAMPLE_H

#include "port/peer.h"

/** peer_sample() - a message of @verb with every field that it uses
 * The padding is zero; @msg->body is the caller's to unref. */
void peer_sample (MuxPeerVerb verb, MuxPeerMsg *msg);

#endif
