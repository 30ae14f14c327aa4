#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace plantainwall {

constexpr std::string_view peerHeader = "Plantainwall-Peer"; ///< "<host> <incarnation>"
constexpr std::string_view peerAuthHeader = "Plantainwall-Peer-Auth"; ///< Hexadecimal HMAC-SHA256.

/// The entry host that sent a verified message.
struct PeerIdentity {
    std::string host;
    uint64_t incarnation = 0;
};

/// Adds the headers that name the sender and authenticate method, path, sender, incarnation and body.
void signPeerRequest(std::map<std::string, std::string>& headers, std::string_view secret, const PeerIdentity& sender,
    std::string_view method, std::string_view path, std::string_view body);

/// Returns the sender if the headers authenticate the request. Header names are compared case-insensitively.
std::optional<PeerIdentity> verifyPeerRequest(const std::map<std::string, std::string>& headers,
    std::string_view secret, std::string_view method, std::string_view path, std::string_view body);

} // namespace plantainwall
