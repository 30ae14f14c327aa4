#pragma once

#include "connection_allowance.h"
#include "locality.h"
#include "primary_lease.h"
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
    std::string peerAddress; ///< ip:port for messages of other entry hosts.
    std::string peerAdvertised; ///< ip:port that is published to other entry hosts; empty: peerAddress.
    std::string storeAddress; ///< ip:port of the metadata store.
    std::string promotionAddress; ///< ip:port of the promotion service; empty: this host requests no promotions.
    std::string logLevel = "info";
    bool firstStart = true; ///< The whole system starts for the first time.
    /// The platform ends the lead of a primary at the moment another server is promoted, and rejects promotions with
    /// an outdated fencing token. If not, hosts take a primary's word only while they hold a lease on it.
    bool fencedPrimaries = true;
    Duration storeMinLease = std::chrono::seconds(1); ///< Shortest lease that the store grants.
    Duration drainLimit = std::chrono::seconds(7); ///< A draining server receives no new statements after this time.
    Duration shutdownGrace = std::chrono::seconds(6); ///< From SIGTERM to SIGKILL.
    size_t maxDescriptors = 4096; ///< File descriptors of the process.
    size_t memoryBytes = 0; ///< Memory of the machine; 0: as the system reports it.
    double capacity = 1; ///< Processor capacity of this host, in cores; strong hosts work for others.
    /// From this number of hosts on, a few hosts watch the store for the others, since each pending watch is a call,
    /// and hosts lend each other connections to servers. With fewer, each host has its own watch and connections.
    size_t largeFleet = 25;
    /// Hosts tell each other the load of backend servers in messages that they send anyway, and choose servers by it.
    bool evenLoad = false;
    /// Under load, operations of less urgent routes are turned away first, and a part of the connections is kept for
    /// urgent ones. No effect on services whose routes all have the same priority.
    bool urgency = false;
    /// Reads prefer servers of the own data centre, then of the own region, while those answer soon.
    bool preferNear = false;
    /// Hosts of a data centre pass on to each other what one of them has received from another data centre, and report
    /// to other data centres less often; see docs/design/placement.md.
    bool localDistribution = false;

    // Constants of the design; not read from the settings file.
    ConnectionAllowanceSettings connections;
    PrimaryLeaseSettings primaryLease;
    LocalitySettings locality;
    double waitFraction = 0.25; ///< A statement waits for at most this fraction of its latency objective.
    /// The same during a change of primary and in the startup period of a process, both of which are short.
    double longWaitFraction = 0.5;
    /// Time that a statement waits for a connection of its customer before one of another customer is closed for it.
    Duration evictAfter = std::chrono::milliseconds(40);
    /// Statements are held back from a server that is expected to take more than this fraction of the time left.
    double overloadFraction = 0.3;
    Duration hedgeMin = std::chrono::milliseconds(300); ///< Shortest time before a read is also sent to another server.
    double hedgeFactor = 4; ///< The same as a multiple of the expected response time; the longer time applies.
    /// A connection that has been idle for longer is tested before a write.
    Duration validateAfter = std::chrono::milliseconds(500);
    /// A connection with an unanswered command for this long is closed.
    Duration silenceTimeout = std::chrono::milliseconds(3500);
    Duration connectTimeout = std::chrono::milliseconds(700); ///< Three round trips between regions and a busy slot.
    Duration positionInterval = std::chrono::milliseconds(400); ///< Interval at which a primary's position is polled.
    /// Time after which a poll without an answer is repeated on another connection: three round trips between regions.
    Duration positionRetryInterval = std::chrono::milliseconds(200);
    /// Age at which a host polls a position itself although other hosts send theirs: their interval, its own, a round
    /// trip between regions and a margin.
    Duration positionFallbackInterval = std::chrono::milliseconds(1100);
    /// Interval at which a host that passes positions on within its data centre requests them. Hosts that it answers
    /// accept positions that are older by as much.
    Duration positionDistributionInterval = std::chrono::milliseconds(200);
    Duration positionRefreshPeriod = std::chrono::seconds(5); ///< Positions are polled for this long after a read.
    /// Time for which a host that shuts down still accepts connections: two readiness probes a second apart, and a
    /// margin.
    Duration readinessDrainTime = std::chrono::milliseconds(2200);
    Duration busyRetryDelay = std::chrono::milliseconds(15); ///< Delay before a statement that found no slot is resent.
    /// A replica whose log was too short for a read gets no such read for this long; up to 16 times as long if it keeps
    /// lagging. Replicas normally lag by some ten milliseconds, and by seconds after a fault.
    Duration laggingReplicaPause = std::chrono::milliseconds(80);
    unsigned maxAttempts = 5; ///< Attempts for one statement.
    /// Connections to one server that are being opened at the same time; each occupies one of its slots.
    unsigned maxConnecting = 2;
    size_t reservedDescriptors = 600; ///< For files, servers, the store and probes; the rest is for sessions.

    /// Returns the part of the shutdown grace in which open transactions and lent connections continue. The rest is for
    /// closing connections and sending leave notices.
    Duration drainGrace() const { return shutdownGrace * 5 / 8; }

    /// Returns the part of the shutdown grace in which answers go on leaving for callers that receive slowly. The rest
    /// is for leave notices.
    Duration answerGrace() const { return shutdownGrace * 7 / 8; }
};

} // namespace plantainwall
