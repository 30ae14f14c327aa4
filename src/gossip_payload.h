#pragma once

#include "configuration.h"
#include <map>

namespace plantainwall {

/// Names of the payload fields of gossip.
constexpr std::string_view configPayload = "config";
constexpr std::string_view reachPayload = "reach";

/// Time since a host last reached the primary of each group it follows.
using GroupReach = std::map<std::string, Duration>;

/// Codec of the payload: "<revision> <age in microseconds>".
std::string encodeConfigDigest(const ConfigDigest&);
std::optional<ConfigDigest> decodeConfigDigest(const std::string&);

/// Codec of the payload: "<group> <age in milliseconds>" for each group.
std::string encodeGroupReach(const GroupReach&);

/// Returns what can be read; a malformed rest is left out.
GroupReach decodeGroupReach(const std::string&);

} // namespace plantainwall
