#pragma once

#include "filters.h"
#include "http_caller.h"
#include <functional>
#include <mutex>

namespace plantainwall {

constexpr std::string_view peerExecutePath = "/peer/v1/execute";
constexpr std::string_view peerOutcomePath = "/peer/v1/outcome";

/// What an OwnerClient needs; everything outlives it.
struct OwnerClientParts {
    std::string selfName;
    std::shared_ptr<MemberService> local; ///< Members that this entry host owns.

    /// Returns the headers that authenticate a call to another entry host: method, path, body.
    std::function<std::map<std::string, std::string>(std::string_view, std::string_view, std::string_view)> sign;
    unsigned maxConcurrentPerPeer = 256;
};

/// Returns a client that serves own members locally and reaches other owners over HTTP. An answer that was lost after
/// the request may have been sent is PeerUnavailable with run state unknown.
std::shared_ptr<OwnerClient> makeOwnerClient(OwnerClientParts);

} // namespace plantainwall
