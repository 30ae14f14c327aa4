#pragma once

#include "configuration.h"
#include <map>

namespace plantainwall {

/// Names of the payload fields of gossip messages; "reach" carries PrimaryContactAges.
constexpr std::string_view configPayload = "config";
constexpr std::string_view contactAgesPayload = "reach";

/// Time since a host last reached the primary, by group.
using PrimaryContactAges = std::map<std::string, Duration>;

/// Codec of the payload: "<revision> <age in microseconds>".
std::string encodeConfigDigest(const ConfigDigest&);
std::optional<ConfigDigest> decodeConfigDigest(const std::string&);

/// Codec of the payload: "<group> <age in milliseconds>" for each group.
std::string encodeContactAges(const PrimaryContactAges&);

/// Returns the entries up to the first malformed one.
PrimaryContactAges decodeContactAges(const std::string&);

} // namespace plantainwall
