#pragma once

#include "config_snapshot.h"
#include <variant>

namespace plantainwall {

/// Prefix of every configuration path in the store.
constexpr std::string_view configPrefix = "config/";

/// A fault of one configuration entry.
struct ConfigFault {
    std::string path;
    std::string reason; ///< Names the field, for example "burst: must be at least 1".
};

struct LimitsValue {
    double ratePerSecond = 0;
    double burst = 0;
    double weight = 1;
};

struct ServicesValue {
    std::set<std::string> services;
};

struct CutoffValue {
    CutoffMode mode = CutoffMode::Serve;
    Duration maxAge {};
};

struct ApprovalValue {
    bool approved = false;
};

struct RoutesValue {
    bool openReads = false;
};

struct TokenKeysValue {
    std::vector<TokenKey> keys;
};

using ConfigValue = std::variant<LimitsValue, KeyConfig, ServicesValue, CutoffValue, GroupConfig, ApprovalValue,
    RoutesValue, OperatorConfig, HostConfig, TokenKeysValue>;

/// Typed value of an entry, or all faults that were found. There is no value if there is a fault.
struct ParsedConfig {
    std::optional<ConfigValue> value;
    std::vector<ConfigFault> faults;
};

/// Returns whether text is a valid name: 1 to Caps::maxNameBytes characters from [a-z0-9-].
bool isConfigName(std::string_view text);

/// Splits a path at its slashes.
std::vector<std::string> splitConfigPath(std::string_view path);

/// Validates a path (without configPrefix) and its TOML value. Never throws.
ParsedConfig parseConfig(std::string_view path, std::string_view toml);

/// Validates a path without a value, as deletions need it.
std::vector<ConfigFault> checkConfigPath(std::string_view path);

/// Returns the conflicts of a value with other entries: a group name used by another service, a member name used by
/// another group, a key id used by another customer.
std::vector<ConfigFault> checkAgainst(const ConfigSnapshot&, std::string_view path, const ConfigValue&);

/// Builds snapshots from entries. If an entry has a fault, the previous value of its path stays in force.
class ConfigSnapshotBuilder {
public:
    /// Sets the value of a path, or removes the path if there is no value.
    void set(std::string_view path, std::optional<std::string_view> toml);

    /// Records an entry that could not be decoded; the previous value of its path stays in force.
    void reject(std::string_view path, std::string_view reason);

    std::shared_ptr<const ConfigSnapshot> build(uint64_t revision) const;

    /// Returns the faults of all entries whose latest value was rejected.
    std::vector<ConfigFault> faults() const;

private:
    std::map<std::string, ConfigValue, std::less<>> m_values; ///< By path.
    std::map<std::string, std::vector<ConfigFault>, std::less<>> m_faults; ///< By path.
};

} // namespace plantainwall
