#pragma once

#include "membership.h"

namespace plantainwall {

/// Encodes a gossip message as JSON.
std::string encodeGossip(const GossipMessage&);

/// Decodes a gossip message. Throws std::exception if the text is malformed.
GossipMessage decodeGossip(const std::string&);

} // namespace plantainwall
