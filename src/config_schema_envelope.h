#pragma once

#include "store.h"

namespace plantainwall {

/// Stored form of a configuration entry. A deleted path keeps an envelope without a value, so that the change id of the
/// deletion can be looked up and full listings contain the deletion.
struct ConfigEnvelope {
    std::optional<std::string> value; ///< TOML text.
    std::string changeId;
    std::string author;
    std::string time; ///< UTC, ISO 8601.
    uint64_t baseRevision = 0; ///< Revision of the key before the change.
    std::vector<std::string> recent; ///< Latest change ids of the key, newest first; at most maxRecentChanges.

    /// Returns whether id is the change id of this or a recent change.
    bool contains(std::string_view id) const;
};

/// The outcome of a change whose answer was lost can be looked up until this many later changes of the same path have
/// been accepted.
constexpr size_t maxRecentChanges = 8;

std::string encodeEnvelope(const ConfigEnvelope&);

/// Returns nothing if the text is not a valid envelope.
std::optional<ConfigEnvelope> decodeEnvelope(const std::string& text);

/// Entries that entry hosts send to each other.
struct ConfigBatch {
    /// The batch contains every change after revision `from`, up to and including `to`. Both 0: single changes, others
    /// may be missing.
    uint64_t from = 0;
    uint64_t to = 0;
    bool full = false; ///< Keys that are neither in entries nor in unchanged did not exist at revision `to`.
    Duration age {}; ///< Time since the store confirmed the sender's copy.
    std::vector<StoreEntry> entries; ///< Their keys start with configPrefix.
    std::vector<std::string> unchanged {}; ///< Only if full: existing keys that have not changed since `from`.
};

std::string encodeBatch(const ConfigBatch&);

/// Throws std::runtime_error if the text is not a valid batch.
ConfigBatch decodeBatch(const std::string& text);

} // namespace plantainwall
