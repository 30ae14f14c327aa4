#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <optional>

namespace plantainwall {

/// Sender of an authenticated message between entry hosts.
struct PeerIdentity {
    std::string host;
    uint64_t incarnation = 0;
};

/// What is authenticated besides the sender.
struct PeerMessage {
    std::string_view method;
    std::string_view path;
    std::string_view body;
};

/// Returns the headers "Plantainwall-Peer" and "Plantainwall-Peer-Auth": HMAC-SHA256 over method, path, sender,
/// incarnation and body under the fleet's peer secret.
std::map<std::string, std::string> signPeerMessage(std::string_view secret, const PeerIdentity&, const PeerMessage&);

/// Returns the sender, or nothing if the message is not authentic. Compares in constant time.
std::optional<PeerIdentity> verifyPeerMessage(
    std::string_view secret, std::string_view peerHeader, std::string_view authHeader, const PeerMessage&);

} // namespace plantainwall
