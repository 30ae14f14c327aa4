#pragma once

#include "store.h"

namespace plantainwall {

/// What the store holds for a configuration path. A deleted path keeps an envelope without a value, so that the change
/// id of the deletion can be looked up and full listings contain it.
struct ConfigEnvelope {
    std::optional<std::string> value; ///< TOML text.
    std::string changeId;
    std::string author;
    std::string time; ///< UTC, ISO 8601.
    uint64_t baseRevision = 0; ///< Revision of the key that the change replaced.
    std::vector<std::string> recent; ///< Last change ids of the key, newest first; at most maxRecentChanges.

    bool contains(std::string_view id) const;
};

/// A lost answer can be looked up until this many later changes of the same path have been accepted.
constexpr size_t maxRecentChanges = 8;

std::string encodeEnvelope(const ConfigEnvelope&);

/// Returns nothing if the text is not an envelope.
std::optional<ConfigEnvelope> decodeEnvelope(const std::string& text);

/// Entries as they travel between entry hosts.
struct ConfigBatch {
    uint64_t from = 0; ///< The batch holds every change after from ...
    uint64_t to = 0; ///< ... up to to. Both 0: single changes, others may be missing.
    bool full = false; ///< Keys that are neither in entries nor in unchanged did not exist at to.
    Duration age {}; ///< Time since the store confirmed the sender's copy.
    std::vector<StoreEntry> entries; ///< Keys with configPrefix.
    std::vector<std::string> unchanged {}; ///< If full: keys whose last change is not after from.
};

std::string encodeBatch(const ConfigBatch&);

/// Throws std::runtime_error if the text is not a batch.
ConfigBatch decodeBatch(const std::string& text);

} // namespace plantainwall
