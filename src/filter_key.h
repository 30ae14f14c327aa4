#pragma once

#include "request_context.h"
#include <unordered_map>

namespace plantainwall {

/// Returns whether a customer's key is withdrawn in the snapshot; false for an unknown key.
bool isWithdrawn(const ConfigSnapshot&, std::string_view customer, std::string_view keyId);

/// Removes the key from the request and sets the customer that it belongs to. Refuses with KeyMissing, KeyInvalid,
/// KeyWithdrawn, ConfigurationMissing, with ConfigurationTooOld if the customer's cutoff requires it, or with
/// BadRequest if the key also occurs in a part that would reach a database. Reads on open routes pass without a key,
/// but an invalid key is refused on them too.
class KeyFilter final : public Filter {
public:
    explicit KeyFilter(std::shared_ptr<const ConfigView> config);

    std::string_view name() const override { return "key"; }
    void handle(const RequestContextPtr&, FilterChain&) override;

private:
    struct KeyOwner {
        std::string customer;
        KeyConfig key;
    };
    /// Keys of one snapshot by key id.
    struct KeyIndex {
        std::shared_ptr<const ConfigSnapshot> snapshot;
        std::unordered_multimap<std::string, KeyOwner> keys;
    };

    std::shared_ptr<const KeyIndex> indexOf(const std::shared_ptr<const ConfigSnapshot>&);
    ResultCode identify(RequestContext&, const std::string& key);

    std::shared_ptr<const ConfigView> m_config;
    std::shared_ptr<const KeyIndex> m_index; ///< Accessed with std::atomic_load and std::atomic_store.
};

} // namespace plantainwall
