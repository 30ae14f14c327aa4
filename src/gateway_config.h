#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace plantainwall {

/// Which data a route's reads may see.
enum class ReadConsistency : uint8_t { Primary, BoundedStaleness, ReadYourWrites, Count };

/// How statements to one database name are served.
struct GatewayRoute {
    std::string name;
    std::string service;
    ReadConsistency consistency = ReadConsistency::Primary;
    Duration statementTimeout { 0 };
    Duration targetLatency { 0 }; ///< Latency objective of a whole operation.
    Duration maxStaleness { 0 };
    unsigned priority = 0; ///< 0 is served first.
    bool open = false; ///< Callers need no key.
    std::set<std::string> regions {}; ///< Regions whose servers may run its statements; empty: all.
};

struct GatewayService {
    std::string name;
    unsigned maxConnections = 0; ///< Per backend server, over all entry hosts.
    unsigned confirmingReplicas = 0; ///< Replicas that must have received a commit before it is acknowledged.
    /// Statements per second to a server that is warming up, over all entry hosts; 0: no limit.
    double warmupPerSecond = 0;
};

struct GatewayCustomer {
    std::string name;
    double ratePerSecond = 0; ///< Operations per second over all entry hosts.
    double burst = 0;
    std::set<std::string> regions {}; ///< As in GatewayRoute; both apply.
};

/// One version of the operators' configuration for callers that send statements over connections.
struct GatewayConfiguration {
    uint64_t version = 0;
    Duration transactionIdle { 0 }; ///< An open transaction without a statement for this long is rolled back.
    std::unordered_map<std::string, GatewayRoute> routes; ///< By database name.
    std::map<std::string, GatewayService> services;
    std::map<std::string, GatewayCustomer> customers;
    std::unordered_map<std::string, std::string> customerByKey;
};

/// Registration of a backend server.
struct ServerEntry {
    std::string id;
    std::string service;
    std::string address; ///< ip:port.
    std::string dataCentre;
    unsigned slots = 1; ///< Statements that it runs at the same time.
    bool draining = false;
    bool primary = false; ///< Whether the server considers itself primary.
    uint64_t startedUnixMs = 0; ///< Unix milliseconds of its start; 0 if unknown.
    uint64_t sequence = 0; ///< Rises with each entry that the server writes between two starts; 0 if unknown.
    Duration warmupLeft { 0 }; ///< How long it stays slow after its start, as of the time of the entry.
};

} // namespace plantainwall
