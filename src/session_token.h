#pragma once

#include "config_snapshot.h"
#include <gsl/span>

namespace plantainwall {

/// Highest log position seen in a session, by group.
using SessionPositions = std::map<std::string, LogPosition>;

/// Encodes and decodes session tokens: base64url of an HMAC-SHA256, a key id and a JSON object. The customer is part of
/// the authenticated text but not of the token, so a token of one customer is not valid for another.
class SessionToken {
public:
    /// Returns whether the text consists of the characters of a token only. It may not be authentic.
    static bool isTokenText(std::string_view);

    /// Returns the token, signed with the first key. Throws std::length_error if it would exceed
    /// Caps::maxSessionTokenBytes, and std::invalid_argument if there is no usable key.
    static std::string encode(std::string_view customer, const SessionPositions&, gsl::span<const TokenKey> keys);

    /// Returns the positions, or nothing if the token is too long, malformed, signed with an unknown key or issued to
    /// another customer.
    static std::optional<SessionPositions> decode(
        std::string_view customer, std::string_view token, gsl::span<const TokenKey> keys);

    /// Returns whether a token can hold the positions together with any position of the group.
    static bool hasRoomFor(SessionPositions, std::string_view group);

    /// Sets the group's entry to position if that is higher.
    static void advance(SessionPositions&, std::string_view group, const LogPosition&);
};

} // namespace plantainwall
