#pragma once

#include "connection_allowance.h"
#include <map>

namespace plantainwall {

/// Settings of `plantainwall gateway`, with defaults. docs/settings.md lists the keys of the file.
struct GatewaySettings {
    std::string host;
    std::string dataCentre;
    std::string region;
    std::map<std::string, std::string> regionOfDataCentre;
    std::string callerAddress; ///< ip:port for callers' connections.
    std::string statusAddress; ///< ip:port for the readiness probe and metrics.
    std::string peerAddress; ///< ip:port on which other entry hosts are heard.
    std::string peerAdvertised; ///< ip:port that others are told; empty: peerAddress.
    std::string storeAddress; ///< ip:port.
    std::string promotionAddress; ///< ip:port; empty: promotions are ordered by nobody.
    std::string logLevel = "info";
    bool firstStart = true; ///< The whole system starts for the first time.
    Duration storeMinLease = std::chrono::seconds(1); ///< The store grants no shorter leases.
    Duration drainLimit = std::chrono::seconds(7); ///< A leaving server gets no new work after this time.
    Duration shutdownGrace = std::chrono::seconds(6); ///< From SIGTERM to SIGKILL.
    size_t maxDescriptors = 4096;
    /// With this many hosts or more, a few of them watch the store for the others, since every waiting watch is a call,
    /// and hosts lend each other connections to servers; with fewer each does both for itself.
    size_t largeFleet = 25;

    // Not in the file: figures that the design fixes.
    ConnectionAllowanceSettings connections;
    double waitFraction = 0.25; ///< Work waits for a connection for at most this part of its latency objective.
    double longWaitFraction
        = 0.5; ///< The same during a change of primary and in the first time of a process: both are short.
    Duration evictAfter = std::chrono::milliseconds(40); ///< Work waits this long for a connection of its customer
                                                         ///< before one of another customer is closed for it.
    double overloadFraction = 0.3; ///< Servers expected to take more than this part of the time left get less work.
    Duration hedgeMin = std::chrono::milliseconds(300); ///< A read is sent elsewhere as well, no earlier than this.
    double hedgeFactor = 4; ///< Nor before this many times the expected response time.
    Duration validateAfter = std::chrono::milliseconds(500); ///< An idle connection is tested before a write.
    Duration silenceTimeout
        = std::chrono::milliseconds(3500); ///< A connection that answers nothing for this long ends.
    Duration connectTimeout = std::chrono::milliseconds(700); ///< Three round trips between regions and a busy slot.
    Duration positionInterval = std::chrono::milliseconds(400); ///< Evidence of the primary's position is renewed.
    /// The same for a host that others tell: their interval, its own and a round trip between regions, and some.
    Duration positionFallbackInterval = std::chrono::milliseconds(1100);
    Duration positionRefreshPeriod = std::chrono::seconds(5); ///< Evidence is renewed for this long after a read.
    Duration readinessDrainTime
        = std::chrono::milliseconds(2200); ///< Two readiness probes a second apart, and a margin.
    Duration busyRetryDelay = std::chrono::milliseconds(15); ///< Before a statement that found no slot is sent again.
    /// A replica whose log was too short for a read gets no such read for this long; up to 16 times that if it stays
    /// so. Replicas are some ten milliseconds behind, and seconds when something is wrong.
    Duration laggingReplicaPause = std::chrono::milliseconds(80);
    unsigned maxAttempts = 5; ///< Servers tried for one statement.
    unsigned maxConnecting = 2; ///< Connections opened at the same time to one server; each takes one of its slots.
    size_t reservedDescriptors = 600; ///< For files, servers, the store and probes; the rest is for sessions.

    /// Returns the part of the grace in which open transactions and lent connections may go on; the rest is for ends
    /// and goodbyes.
    Duration drainGrace() const { return shutdownGrace * 5 / 8; }
};

} // namespace plantainwall
