#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace plantainwall {

/// A key or operator credential: <prefix>_<id>_<secret>.
struct KeyParts {
    std::string_view id;
    std::string_view secret; ///< Base64url, 43 characters for 32 bytes.
};

constexpr std::string_view keyPrefix = "pw_";
constexpr std::string_view operatorPrefix = "op_";

/// Splits a key into its parts. Returns nothing if the text does not have the form of a key with this prefix. The views
/// point into text.
std::optional<KeyParts> splitKey(std::string_view prefix, std::string_view text);

/// Returns a new key with a secret of 32 random bytes.
std::string generateKey(std::string_view prefix, std::string_view id);

/// Returns count random characters from a-z and 2-7, for key ids and change ids.
std::string randomName(size_t count);

/// Returns the hexadecimal BLAKE2b-256 digest of the whole key text.
std::string keyDigest(std::string_view text);

/// Compares two digests in constant time.
bool digestsEqual(std::string_view a, std::string_view b);

/// Returns a digest that no key has. Callers compare against it if the key id is unknown, so that the time taken does
/// not reveal which ids exist.
std::string_view absentDigest();

/// Overwrites the text with zeros and clears it.
void wipe(std::string& text);

} // namespace plantainwall
