#pragma once

#include "filters.h"
#include "http_caller.h"
#include "peer_auth.h"
#include <mutex>

namespace plantainwall {

constexpr std::string_view peerExecutePath = "/peer/v1/execute";
constexpr std::string_view peerOutcomePath = "/peer/v1/outcome";

/// What an OwnerClient needs; everything outlives it.
struct OwnerClientDependencies {
    PeerIdentity self;
    std::string peerSecret;
    std::shared_ptr<MemberService> local; ///< Members that this entry host owns.
    unsigned maxConcurrentPerPeer = 256;
};

/// Returns a client that serves own members locally and reaches other owners over HTTP. An answer that was lost after
/// the request may have been sent is PeerUnavailable with run state unknown.
std::shared_ptr<OwnerClient> makeOwnerClient(OwnerClientDependencies);

} // namespace plantainwall
