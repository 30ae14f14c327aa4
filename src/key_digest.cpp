#include "key_digest.h"
#include "config_schema.h"
#include <array>
#include <sodium.h>
#include <stdexcept>

namespace plantainwall {

namespace {

    constexpr size_t secretBytes = 32;
    constexpr size_t secretCharacters = 43; // 32 bytes in base64url without padding
    constexpr size_t digestBytes = 32;

    void initialise()
    {
        static const int result = sodium_init();
        if (result < 0)
            throw std::runtime_error("libsodium could not be initialised");
    }

} // namespace

std::optional<KeyParts> splitKey(std::string_view prefix, std::string_view text)
{
    if (text.substr(0, prefix.size()) != prefix)
        return std::nullopt;
    const std::string_view rest = text.substr(prefix.size());
    // The secret may contain underscores, the id may not.
    const size_t end = rest.find('_');
    if (end == std::string_view::npos)
        return std::nullopt;
    const KeyParts parts { rest.substr(0, end), rest.substr(end + 1) };
    if (!isConfigName(parts.id) || parts.secret.size() != secretCharacters)
        return std::nullopt;
    return parts;
}

std::string generateKey(std::string_view prefix, std::string_view id)
{
    initialise();
    std::array<unsigned char, secretBytes> secret {};
    randombytes_buf(secret.data(), secret.size());
    std::array<char, secretCharacters + 1> text {};
    sodium_bin2base64(text.data(), text.size(), secret.data(), secret.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    std::string key(prefix);
    key.append(id).append("_").append(text.data());
    sodium_memzero(secret.data(), secret.size());
    sodium_memzero(text.data(), text.size());
    return key;
}

std::string randomName(size_t count)
{
    initialise();
    constexpr std::string_view alphabet = "abcdefghijklmnopqrstuvwxyz234567";
    std::string name;
    for (size_t i = 0; i < count; ++i)
        name.push_back(alphabet[randombytes_uniform(static_cast<uint32_t>(alphabet.size()))]);
    return name;
}

std::string keyDigest(std::string_view text)
{
    initialise();
    std::array<unsigned char, digestBytes> digest {};
    crypto_generichash(
        digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr, 0);
    std::array<char, 2 * digestBytes + 1> hex {};
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    return hex.data();
}

bool digestsEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view absentDigest()
{
    // Not hexadecimal, so no digest can equal it.
    static const std::string digest(2 * digestBytes, 'x');
    return digest;
}

void wipe(std::string& text)
{
    sodium_memzero(text.data(), text.size());
    text.clear();
}

} // namespace plantainwall
