#pragma once

#include "support_line_group.h"
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace plantainwall::test {

/// Addresses and limits of a `plantainwall gateway` process before stand-ins. All listen on 127.0.0.1.
struct GatewayFileOptions {
    std::string host;
    uint16_t callers = 0;
    uint16_t status = 0;
    uint16_t peers = 0;
    uint16_t store = 0; ///< Also orders promotions.
    std::chrono::milliseconds shutdownGrace { 6000 };
    unsigned largeFleet = 25; ///< Hosts from which on connections are lent.
    uint16_t peersAdvertised = 0; ///< 0: as peers.
    std::string memory {}; ///< Size with unit; empty: the setting's default.
    unsigned maxDescriptors = 0; ///< 0: the setting's default.
};

/// Writes the settings file of a gateway process.
void writeGatewaySettings(const std::string& path, const GatewayFileOptions&);

/// A route of the configuration; it serves the database of its name.
struct LineRouteDraft {
    std::string name;
    std::string consistency; ///< As on the wire.
    std::chrono::milliseconds staleness { 0 };
    std::chrono::milliseconds timeout { 2000 };
};

/// A customer of the configuration; its first key is "key-" and its name.
struct LineCustomerDraft {
    std::string name;
    unsigned rate = 1000; ///< Operations a second; also the burst.
    bool keyValid = true;
    std::vector<std::string> furtherKeys {};
};

/// Returns the configuration's document for the service "ledger".
std::string configurationDocument(
    uint64_t version, const std::vector<LineRouteDraft>&, const std::vector<LineCustomerDraft>&);

/// Returns the entry with which a server of "ledger" registers.
std::string serverDocument(uint16_t port, const LineGroup::Registration&);

} // namespace plantainwall::test
