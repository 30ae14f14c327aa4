#include "peer_auth.h"
#include <array>
#include <charconv>
#include <sodium.h>

namespace plantainwall {

namespace {

    using Mac = std::array<unsigned char, crypto_auth_hmacsha256_BYTES>;

    /// Each part is preceded by its length, so that no two different messages give the same input.
    void addPart(crypto_auth_hmacsha256_state& state, std::string_view part)
    {
        const std::string length = std::to_string(part.size()) + ":";
        crypto_auth_hmacsha256_update(&state, reinterpret_cast<const unsigned char*>(length.data()), length.size());
        crypto_auth_hmacsha256_update(&state, reinterpret_cast<const unsigned char*>(part.data()), part.size());
    }

    Mac macOf(std::string_view secret, std::string_view peer, const PeerMessage& message)
    {
        crypto_auth_hmacsha256_state state;
        crypto_auth_hmacsha256_init(&state, reinterpret_cast<const unsigned char*>(secret.data()), secret.size());
        for (const std::string_view part : { message.method, message.path, peer, message.body })
            addPart(state, part);
        Mac mac;
        crypto_auth_hmacsha256_final(&state, mac.data());
        return mac;
    }

    std::string hexOf(const Mac& mac)
    {
        std::array<char, 2 * crypto_auth_hmacsha256_BYTES + 1> text;
        sodium_bin2hex(text.data(), text.size(), mac.data(), mac.size());
        return text.data();
    }

} // namespace

std::map<std::string, std::string> signPeerMessage(
    std::string_view secret, const PeerIdentity& sender, const PeerMessage& message)
{
    const std::string peer = sender.host + "/" + std::to_string(sender.incarnation);
    return { { "Plantainwall-Peer", peer }, { "Plantainwall-Peer-Auth", hexOf(macOf(secret, peer, message)) } };
}

std::optional<PeerIdentity> verifyPeerMessage(
    std::string_view secret, std::string_view peerHeader, std::string_view authHeader, const PeerMessage& message)
{
    const std::string expected = hexOf(macOf(secret, peerHeader, message));
    if (expected.size() != authHeader.size() || sodium_memcmp(expected.data(), authHeader.data(), expected.size()) != 0)
        return std::nullopt;
    const size_t slash = peerHeader.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    PeerIdentity identity;
    identity.host = peerHeader.substr(0, slash);
    const char* const end = peerHeader.data() + peerHeader.size();
    const std::from_chars_result result = std::from_chars(peerHeader.data() + slash + 1, end, identity.incarnation);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return identity;
}

} // namespace plantainwall
