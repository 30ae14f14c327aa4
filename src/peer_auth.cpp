#include "peer_auth.h"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <sodium.h>
#include <stdexcept>

namespace plantainwall {

namespace {

    using Mac = unsigned char[crypto_auth_hmacsha256_BYTES];

    void computeMac(Mac& mac, std::string_view secret, std::string_view method, std::string_view path,
        std::string_view peer, std::string_view body)
    {
        if (sodium_init() < 0)
            throw std::runtime_error("libsodium could not be initialised");
        crypto_auth_hmacsha256_state state;
        crypto_auth_hmacsha256_init(&state, reinterpret_cast<const unsigned char*>(secret.data()), secret.size());
        for (std::string_view part : { method, path, peer, body }) {
            // The length prefix prevents two different requests from yielding the same bytes.
            const std::string length = std::to_string(part.size()) + ":";
            for (std::string_view text : { std::string_view(length), part }) {
                crypto_auth_hmacsha256_update(&state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
            }
        }
        crypto_auth_hmacsha256_final(&state, mac);
    }

    const std::string* findHeader(const std::map<std::string, std::string>& headers, std::string_view name)
    {
        for (const auto& [key, value] : headers) {
            if (boost::algorithm::iequals(key, name))
                return &value;
        }
        return nullptr;
    }

} // namespace

void signPeerRequest(std::map<std::string, std::string>& headers, std::string_view secret, const PeerIdentity& sender,
    std::string_view method, std::string_view path, std::string_view body)
{
    const std::string peer = sender.host + " " + std::to_string(sender.incarnation);
    Mac mac;
    computeMac(mac, secret, method, path, peer, body);
    char hex[2 * sizeof(Mac) + 1];
    sodium_bin2hex(hex, sizeof(hex), mac, sizeof(mac));
    headers[std::string(peerHeader)] = peer;
    headers[std::string(peerAuthHeader)] = hex;
}

std::optional<PeerIdentity> verifyPeerRequest(const std::map<std::string, std::string>& headers,
    std::string_view secret, std::string_view method, std::string_view path, std::string_view body)
{
    const std::string* peer = findHeader(headers, peerHeader);
    const std::string* auth = findHeader(headers, peerAuthHeader);
    if (!peer || !auth || secret.empty())
        return std::nullopt;
    Mac expected;
    computeMac(expected, secret, method, path, *peer, body);
    Mac received;
    size_t length = 0;
    const char* end = nullptr;
    const bool isHex = !sodium_hex2bin(received, sizeof(received), auth->data(), auth->size(), nullptr, &length, &end);
    if (!isHex || length != sizeof(received) || end != auth->data() + auth->size()
        || crypto_verify_32(expected, received))
        return std::nullopt;
    const size_t space = peer->rfind(' ');
    if (space == std::string::npos || !space)
        return std::nullopt;
    PeerIdentity identity { peer->substr(0, space) };
    const char* last = peer->data() + peer->size();
    const std::from_chars_result result = std::from_chars(peer->data() + space + 1, last, identity.incarnation);
    if (result.ec != std::errc() || result.ptr != last)
        return std::nullopt;
    return identity;
}

} // namespace plantainwall
