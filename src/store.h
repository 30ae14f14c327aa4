#pragma once

#include "database.h"

namespace plantainwall {

/// A key of the platform's store with its value; no value if the key was deleted.
struct StoreEntry {
    std::string key;
    std::optional<std::string> value;
    uint64_t revision = 0; ///< Store-wide revision of the last change of this key.
};

/// Entries under a prefix and the store revision at which they were read.
struct StoreListing {
    uint64_t revision = 0;
    std::vector<StoreEntry> entries;
};

/// Result of a compare-and-swap: whether it was applied, and the key's revision afterwards.
struct SwapResult {
    bool applied = false;
    uint64_t revision = 0;
};

enum class PlatformHostState : uint8_t { Live, Leaving, Count };

/// A host in the platform's host list, which may be out of date.
struct PlatformHost {
    std::string name;
    PlatformHostState state = PlatformHostState::Live;
};

/// The platform's key-value service and host list. Tasks fail with CallFailed; if its state is MaybeSent, the change
/// may have taken effect.
class Store {
public:
    virtual ~Store() = default;

    virtual pplx::task<std::optional<StoreEntry>> get(std::string_view key) = 0;
    virtual pplx::task<StoreListing> list(std::string_view prefix) = 0;

    /// Writes a value, or deletes the key if value is empty, provided that the key's revision is expectedRevision (0:
    /// the key does not exist). lease may be empty; a key with a lease is deleted when the lease ends.
    virtual pplx::task<SwapResult> compareAndSwap(
        std::string_view key, uint64_t expectedRevision, std::optional<std::string> value, std::string_view lease)
        = 0;

    /// Returns the changes after a revision, deletions included; waits up to `wait` for the first one, then returns
    /// none.
    virtual pplx::task<StoreListing> watch(std::string_view prefix, uint64_t afterRevision, Duration wait) = 0;

    virtual pplx::task<std::string> grantLease(Duration ttl) = 0;
    /// Returns false if the lease has ended.
    virtual pplx::task<bool> renewLease(std::string_view lease) = 0;
    virtual pplx::task<void> revokeLease(std::string_view lease) = 0;

    virtual pplx::task<std::vector<PlatformHost>> hosts() = 0;
};

} // namespace plantainwall
