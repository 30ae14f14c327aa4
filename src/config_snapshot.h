#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace plantainwall {

struct KeyConfig {
    std::string digest; ///< Hexadecimal BLAKE2b-256 of the whole key text.
    bool withdrawn = false;
};

enum class CutoffMode : uint8_t { Serve, Refuse, Count };

/// One customer; called team in paths and on the command line.
struct CustomerConfig {
    double ratePerSecond = 0;
    double burst = 0;
    double weight = 1;
    std::map<std::string, KeyConfig> keys; ///< By key id.
    std::set<std::string> services;
    CutoffMode cutoffMode = CutoffMode::Serve;
    Duration cutoffMaxAge {};
};

/// One database of a group.
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

/// A role and the team or service it is for; the subject is empty for platform operators.
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
    std::string callerAddress; ///< http://ip:port for callers and operators.
    std::string peerAddress; ///< http://ip:port for other entry hosts.
    std::string dataCentre;
    std::string region;
};

struct TokenKey {
    uint32_t id = 0;
    std::string secret; ///< Hexadecimal, 32 bytes.
};

/// The whole configuration at one revision of the store. Never changed after it was published.
struct ConfigSnapshot {
    uint64_t revision = 0;
    std::map<std::string, CustomerConfig, std::less<>> customers;
    std::map<std::string, ServiceConfig, std::less<>> services;
    std::map<std::string, GroupConfig, std::less<>> groups;
    std::map<std::string, OperatorConfig, std::less<>> operators;
    std::map<std::string, HostConfig, std::less<>> hosts;
    std::vector<TokenKey> tokenKeys; ///< The first one signs; all verify.
};

/// The configuration in force at this entry host.
class ConfigView {
public:
    virtual ~ConfigView() = default;

    /// Returns the snapshot in force, or nullptr before the first one has arrived.
    virtual std::shared_ptr<const ConfigSnapshot> current() const = 0;

    /// Returns the time since the store, or a peer with a confirmed copy, last confirmed the snapshot.
    virtual Duration age(Instant now) const = 0;
};

} // namespace plantainwall
