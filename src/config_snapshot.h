#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace plantainwall {

struct KeyConfig {
    std::string digest; ///< BLAKE2b-256 of the complete key text, hexadecimal.
    bool withdrawn = false;
};

enum class CutoffMode : uint8_t { Serve, Refuse, Count };

/// Configuration of one customer, which is called a team in paths and on the command line.
struct CustomerConfig {
    double ratePerSecond = 0;
    double burst = 0;
    double weight = 1;
    std::map<std::string, KeyConfig> keys; ///< By key id.
    std::set<std::string> services;
    CutoffMode cutoffMode = CutoffMode::Serve;
    Duration cutoffMaxAge {};
};

/// Configuration of one member of a group, which is one database.
struct MemberConfig {
    std::string name;
    std::string address; ///< http://ip:port
    std::string dataCentre;
    std::string region;
};

struct GroupConfig {
    std::string name;
    std::string service;
    std::vector<MemberConfig> members;
};

struct ServiceConfig {
    std::set<std::string> approvedCustomers;
    bool openReads = false; ///< Reads need no key.
};

enum class OperatorRole : uint8_t { TeamOperator, BackendOwner, PlatformOperator, Count };

/// An operator role for one team or service. The subject is the team or service; empty for platform operators.
struct RoleGrant {
    OperatorRole role = OperatorRole::TeamOperator;
    std::string subject;
};

struct OperatorConfig {
    std::string digest;
    std::vector<RoleGrant> roles;
};

struct HostConfig {
    std::string name;
    std::string callerAddress; ///< Address for callers and operators, http://ip:port.
    std::string peerAddress; ///< Address for other entry hosts, http://ip:port.
    std::string dataCentre;
    std::string region;
};

struct TokenKey {
    uint32_t id = 0;
    std::string secret; ///< 32 bytes, hexadecimal.
};

/// The complete configuration at one revision of the store. Immutable once published.
struct ConfigSnapshot {
    uint64_t revision = 0;
    std::map<std::string, CustomerConfig, std::less<>> customers;
    std::map<std::string, ServiceConfig, std::less<>> services;
    std::map<std::string, GroupConfig, std::less<>> groups;
    std::map<std::string, OperatorConfig, std::less<>> operators;
    std::map<std::string, HostConfig, std::less<>> hosts;
    std::vector<TokenKey> tokenKeys; ///< Tokens are signed with the first key and verified with any.
};

/// The configuration in force at this entry host.
class ConfigView {
public:
    virtual ~ConfigView() = default;

    /// Returns the current snapshot, or nullptr if none has arrived yet.
    virtual std::shared_ptr<const ConfigSnapshot> current() const = 0;

    /// Returns the time since the current snapshot was last confirmed by the store or by a peer with a confirmed copy.
    virtual Duration age(Instant now) const = 0;
};

} // namespace plantainwall
