#include "session_token.h"
#include <cpprest/json.h>
#include <limits>
#include <sodium.h>
#include <stdexcept>

namespace plantainwall {

namespace {

    constexpr size_t macBytes = crypto_auth_hmacsha256_BYTES;
    constexpr size_t keyIdBytes = 4;
    constexpr int base64Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

    const unsigned char* bytes(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

    std::optional<std::string> secretBytes(const TokenKey& key)
    {
        std::string secret(crypto_auth_hmacsha256_KEYBYTES, '\0');
        size_t length = 0;
        const int failed = sodium_hex2bin(reinterpret_cast<unsigned char*>(secret.data()), secret.size(),
            key.secret.data(), key.secret.size(), nullptr, &length, nullptr);
        if (failed != 0 || length != secret.size())
            return std::nullopt;
        return secret;
    }

    std::string keyIdText(uint32_t id)
    {
        std::string text;
        for (int shift = 24; shift >= 0; shift -= 8)
            text.push_back(static_cast<char>((id >> shift) & 0xff));
        return text;
    }

    /// The text starts with the length of the customer's name: otherwise the end of the name could be taken for the
    /// start of the payload.
    std::string mac(const std::string& secret, std::string_view customer, std::string_view payload)
    {
        std::string text = std::to_string(customer.size()) + ":";
        text.append(customer).append(payload);
        std::string result(macBytes, '\0');
        crypto_auth_hmacsha256(
            reinterpret_cast<unsigned char*>(result.data()), bytes(text), text.size(), bytes(secret));
        return result;
    }

    std::optional<std::string> decodeBase64(std::string_view token)
    {
        std::string raw(token.size(), '\0');
        size_t length = 0;
        const char* end = nullptr;
        if (sodium_base642bin(reinterpret_cast<unsigned char*>(raw.data()), raw.size(), token.data(), token.size(),
                nullptr, &length, &end, base64Variant)
                != 0
            || end != token.data() + token.size())
            return std::nullopt;
        raw.resize(length);
        return raw;
    }

    std::string formatPositions(const SessionPositions& positions)
    {
        web::json::value json = web::json::value::object();
        for (const std::pair<const std::string, LogPosition>& entry : positions) {
            web::json::value encoded = web::json::value::array(2);
            encoded[0] = web::json::value::number(entry.second.term);
            encoded[1] = web::json::value::number(entry.second.position);
            json[entry.first] = encoded;
        }
        return json.serialize();
    }

    std::optional<SessionPositions> parsePositions(std::string_view text)
    {
        try {
            SessionPositions positions;
            const web::json::value json = web::json::value::parse(std::string(text));
            for (const std::pair<utility::string_t, web::json::value>& field : json.as_object()) {
                LogPosition position;
                position.term = field.second.at(0).as_number().to_uint64();
                position.position = field.second.at(1).as_number().to_uint64();
                positions.emplace(field.first, position);
            }
            return positions;
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

} // namespace

bool SessionToken::isTokenText(std::string_view text)
{
    return text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_")
        == std::string_view::npos;
}

std::string SessionToken::encode(
    std::string_view customer, const SessionPositions& positions, gsl::span<const TokenKey> keys)
{
    const std::optional<std::string> secret = keys.empty() ? std::nullopt : secretBytes(keys[0]);
    if (!secret)
        throw std::invalid_argument("session token: the first token key is missing or not 32 bytes in hexadecimal");
    const std::string payload = keyIdText(keys[0].id) + formatPositions(positions);
    const std::string raw = mac(*secret, customer, payload) + payload;
    std::string token(sodium_base64_encoded_len(raw.size(), base64Variant), '\0');
    if (token.size() - 1 > Caps().maxSessionTokenBytes)
        throw std::length_error("session token: too many groups in one session");
    sodium_bin2base64(token.data(), token.size(), bytes(raw), raw.size(), base64Variant);
    token.pop_back(); // Removes the terminating zero.
    return token;
}

bool SessionToken::hasRoomFor(SessionPositions positions, std::string_view group)
{
    constexpr uint64_t longest = std::numeric_limits<uint64_t>::max();
    positions[std::string(group)] = { longest, longest };
    const size_t rawBytes = macBytes + keyIdBytes + formatPositions(positions).size();
    return sodium_base64_encoded_len(rawBytes, base64Variant) - 1 <= Caps().maxSessionTokenBytes;
}

std::optional<SessionPositions> SessionToken::decode(
    std::string_view customer, std::string_view token, gsl::span<const TokenKey> keys)
{
    if (token.size() > Caps().maxSessionTokenBytes)
        return std::nullopt;
    const std::optional<std::string> raw = decodeBase64(token);
    if (!raw || raw->size() < macBytes + keyIdBytes)
        return std::nullopt;
    const std::string_view payload = std::string_view(*raw).substr(macBytes);
    for (const TokenKey& key : keys) {
        if (payload.substr(0, keyIdBytes) != keyIdText(key.id))
            continue;
        const std::optional<std::string> secret = secretBytes(key);
        if (secret && sodium_memcmp(mac(*secret, customer, payload).data(), raw->data(), macBytes) == 0)
            return parsePositions(payload.substr(keyIdBytes));
    }
    return std::nullopt;
}

void SessionToken::advance(SessionPositions& positions, std::string_view group, const LogPosition& position)
{
    LogPosition& current = positions[std::string(group)];
    if (current < position)
        current = position;
}

} // namespace plantainwall
