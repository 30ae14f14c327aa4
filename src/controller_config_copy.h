#pragma once

#include "config_snapshot.h"
#include "store.h"

namespace plantainwall {

/// The configuration in force together with the entries it was built from.
class ConfigCopy : public ConfigView {
public:
    /// Returns the entries with a store key prefix, deletions included.
    virtual std::vector<StoreEntry> entries(std::string_view keyPrefix) const = 0;

    /// Applies a change that the store accepted from this host and pushes it to peers immediately.
    virtual void changeAccepted(const StoreEntry&) = 0;
};

} // namespace plantainwall
