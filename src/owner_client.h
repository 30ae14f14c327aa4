#pragma once

#include "filters.h"
#include "http_caller.h"
#include "peer_auth.h"
#include <mutex>

namespace plantainwall {

constexpr std::string_view peerExecutePath = "/peer/v1/execute";
constexpr std::string_view peerOutcomePath = "/peer/v1/outcome";

/// Dependencies of an OwnerClient; all of them outlive it.
struct OwnerClientDependencies {
    PeerIdentity self;
    std::string peerSecret;
    std::shared_ptr<MemberService> local; ///< Members that this entry host owns.
    unsigned maxConcurrentPerPeer = 256;
};

/// Returns a client that serves members of this host locally and calls other owners over HTTP. If the answer is lost
/// after the request may have been sent, the result is PeerUnavailable with run state unknown.
std::shared_ptr<OwnerClient> makeOwnerClient(OwnerClientDependencies);

} // namespace plantainwall
