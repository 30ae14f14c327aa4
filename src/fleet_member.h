#pragma once

#include "change_exchange.h"
#include "connection_scarcity.h"
#include "link_borrower.h"
#include "position_exchange.h"
#include "probe_exchange.h"
#include "promotion_coordinator.h"
#include "replica_record.h"
#include "revocation_exchange.h"
#include "store_follower.h"

namespace plantainwall {

/// Makes this entry host a member of the fleet: registers it, claims the coordinator role and exchanges reports.
class FleetMember final : public StoreObserver, public LenderChoice, public PromotionGuard {
public:
    struct Settings {
        Duration registrationLease = std::chrono::seconds(10);
        Duration registrationRenewal = std::chrono::seconds(3);
        /// The role of a dead coordinator is free after this time. Until then no service gets a new primary, so the
        /// lease lasts only a few renewals, or the store's shortest lease if that is longer.
        Duration coordinatorLease = std::chrono::seconds(2);
        Duration coordinatorRenewal = std::chrono::milliseconds(600); ///< Three per lease, as any may be lost.
        /// The coordinator stops this long before the earliest end of its lease.
        Duration coordinatorMargin = std::chrono::milliseconds(400);
        Duration baseReportInterval = std::chrono::milliseconds(250);
        /// After a restore of the store each host waits for a random part of this time before it lists and before it
        /// registers: short against the time in which a configuration must be in force, long against a round trip.
        Duration restoredSpread = std::chrono::milliseconds(300);
        /// Number of hosts per region that watch the store and relay its changes: in a large fleet for all hosts, in a
        /// small one for hosts that cannot reach the store.
        size_t relaysPerRegion = 3; ///< A third of the hosts may lose the store at the same time.
        size_t hostsPerDistributor = 16; ///< Hosts of a data centre that request changes from the same one of them.
        /// Hosts of a data centre that receive relayed changes and pass them on; either may be restarting.
        size_t distributorsPerDataCentre = 2;
        /// Hosts of a data centre that repeat the known primaries to others. The hosts of each data centre hear them
        /// from all others, so that none of these is indispensable.
        size_t primariesReporters = 1;
        /// Longest silence after which a host of another data centre counts as unreachable if reports to it are fewer.
        Duration maxReducedSilence = std::chrono::seconds(6);
        /// Datagrams that arrive this soon after a late tick may have waited as long as this host did not run.
        Duration lateDatagramTime = std::chrono::milliseconds(200);
        Duration relayInterval = std::chrono::milliseconds(500); ///< Period of relaying the store's revision.
        /// Large fleets send only every Nth report to hosts of other regions, because those links are narrow.
        unsigned crossRegionReportPeriod = 3;
        size_t fullRateReportHosts = 9; ///< In larger fleets the report interval grows in proportion.
        /// Reports that carry the known primaries after one of them has changed. With hundreds of hosts the primaries
        /// are most of a report's size.
        unsigned primariesRepeatCount = 3;
        unsigned primariesReportPeriod = 8; ///< Every Nth report carries them too, in case reports were lost.
        unsigned maxMissedReports = 4; ///< A host is unreachable after this many missed reports.
        /// Number of hosts with unanswered requests at which all hosts are probed; a single one may be restarting.
        size_t unresponsiveHosts = 2;
        /// Two round trips between regions, with time for busy hosts.
        Duration probeRepeatDelay = std::chrono::milliseconds(250);
        Duration probeTimeout = std::chrono::milliseconds(600); ///< A host that answers neither probe is unreachable.
        Duration probePause = std::chrono::seconds(2); ///< Between two probes.
        /// Hosts that are probed first. All are probed only if more than an eighth of these do not answer: a partition
        /// affects as many, and hundreds of hosts that probe all others keep them from answering.
        size_t probeSample = 24;
        /// A host that was not running for this long during a probe may not have read the answers yet.
        Duration maxTickGap = std::chrono::milliseconds(120);
        /// A host whose registration has ended may still admit operations; its fraction of the rates is reserved for
        /// this long.
        Duration quotaReservationTime = std::chrono::seconds(20);
        /// Registrations may be incomplete for this long after the first listing of an era, or after the store is
        /// reachable again. A promotion without knowledge of every replica could lose commits that only an unknown one
        /// holds.
        Duration settleTime = std::chrono::milliseconds(3000);
        /// A host that resigned as coordinator because it cannot reach the servers makes no claim for this long.
        Duration coordinatorPause = std::chrono::seconds(4);
        /// While no host can reach the store, the last coordinator stays active for this long after its lease.
        Duration coordinatorOutageExtension = std::chrono::seconds(30);
        Duration leaseRenewal = std::chrono::milliseconds(600); ///< Interval of requests to the coordinator.
        /// Age of the last confirmation of the primary record at which the host reads it from the store itself: one
        /// renewal and the time of its answer.
        Duration leaseReadAfter = std::chrono::milliseconds(800);
        Duration leaseReadInterval = std::chrono::milliseconds(500);
        /// During an outage of the store the coordinator grants leases while it hears each host this often.
        Duration outageContact = std::chrono::milliseconds(1500);
        /// A server that leads although the record names another one for this long is recorded again: an order that
        /// was given up may be carried out until then.
        Duration abandonedPromotionTime = std::chrono::seconds(13);
        Duration recordPushInterval = std::chrono::milliseconds(150); ///< To hosts that have not acknowledged it.
    };

    FleetMember(const GatewaySettings&, Gateway&, QuotaExchange&, PromotionCoordinator&, ProbeExchange&, MetadataStore&,
        const StoreDecoder&, PeerChannel&, DelayedCall, Gateway::Clock, uint64_t incarnation, uint64_t seed);

    void start();

    /// Runs all periodic tasks. Must be called every few milliseconds.
    void tick();

    /// Handles a datagram from another entry host.
    void peerDatagram(const std::string& datagram);

    /// Returns the number of hosts whose reports arrive, including this one.
    size_t reachableHostCount() const;

    /// Returns whether a few hosts watch the store for all and hosts share connections: the fleet is large, or servers
    /// allow few connections for its size.
    bool largeFleet() const;

    /// Returns the reachable hosts in the data centre's region; empty in a small fleet. Valid until the next event.
    const std::vector<LenderCandidate>& lenders(const std::string& dataCentre) const override;

    /// Returns the newest era of the store that this host has seen; 0 if the store reports none.
    uint64_t storeEra() const { return m_follower.era(); }

    /// Returns the number of hosts that share the connections to the servers of this host's region.
    size_t lendingHosts() const;

    /// Resigns as coordinator permanently: this process makes no further claim.
    void resignCoordination();

    /// Sends a leave notice to all hosts and removes this host's items from the store.
    void leave();

    void configurationRead(std::shared_ptr<const GatewayConfiguration>) override;
    void serversListed(const std::vector<ServerEntry>&) override;
    void serverWritten(const ServerEntry&) override;
    void serverErased(const std::string& id) override;
    void evacuationsListed(const std::vector<std::string>& dataCentres) override;
    void evacuationWritten(const std::string& dataCentre) override;
    void evacuationErased(const std::string& dataCentre) override;
    void ownItemsChanged() override;
    void storeReachable(bool) override;
    void eraRead(uint64_t era, bool restored) override;
    void eventsRead(const StoreEvents&) override;
    void changesApplied(const StoreEvents&) override;
    bool mayPromote(const std::string& service, const std::string& server, uint64_t term, bool demoted) override;
    void primaryConfirmed(const std::string& service, const std::string& server, uint64_t term) override;

private:
    struct Peer {
        std::string address;
        std::string region;
        std::string dataCentre; ///< Empty if unknown.
        double capacity = 1; ///< Cores of the host.
        uint64_t incarnation = 0; ///< Of the process that registered last; 0 before the first registration.
        std::set<uint64_t> endedIncarnations; ///< Of earlier processes that are still registered.
        Instant listedAt; ///< First seen in the store.
        Instant lastSeen;
        bool silent = true;
        bool storeReachable = true;
        bool registered = false;
        bool distributes = false; ///< Passes on what it receives from other data centres, and expects fewer reports.
        bool primariesSent = false; ///< The known primaries were sent since it became reachable.
        bool probeFailed = false; ///< Silent because it did not answer a probe.
        uint64_t firstReportIncarnation = 0; ///< Incarnation to which the first report was sent.
        Instant leaseRequestedAt; ///< When it last requested a lease on the word of primaries.
        uint64_t leaseRequest = 0; ///< Number of that request; 0 if its process has made none.
    };
    /// Coordinator item that was claimed in an earlier era.
    struct OutdatedClaim {
        uint64_t revision = 0;
        Instant readAt;
    };
    struct Registration;

    StoreFollowerSettings followerSettings();
    Duration restoredDelay();

    static const std::string primaryRecordKey; ///< Key of the primary record in the store.

    using Primaries = std::map<std::string, std::pair<std::string, uint64_t>>; ///< Server and term by service.

    bool isOfNewestEra(const StoreResult&, std::string_view call);
    void registerHost();
    void registrationLeaseGranted(const StoreResult&);
    void renewRegistration();
    void removeItem(const std::string& key, uint64_t revision);
    std::vector<Registration> registrations(bool& outdated) const;
    void noteRegistration(const Registration&);
    void afterRegistration(Duration, void (FleetMember::*next)());
    void fleetChanged();
    /// Returns the smallest number of connections that the servers of a service allow; 0 before a configuration.
    unsigned smallestConnectionLimit() const;

    // fleet_member_coordinator.cpp
    void coordinatorItemRead();
    void noteOutdatedClaim(const StoreItem*);
    void tickCoordinator();
    void claimCoordination();
    void renewCoordination();
    void coordinationEnded();
    void handOverCoordination();
    bool mayCoordinate() const;
    Duration claimDelay(Duration least);
    std::string coordinatorValue() const;
    const StoreItem* coordinatorItem() const;
    bool claimable() const;

    // fleet_member_reports.cpp
    void sendReports();
    void sendFirstReports();
    void probe();
    void startProbe(bool all);
    void sendProbes();
    void noteSilent(const std::string& host, Peer&, const std::string& reason);
    Duration reportInterval() const;
    Duration silenceTimeout(const Peer&) const;
    unsigned reportPeriod(const Peer&) const;
    Duration outageSilence(const Peer&) const;
    bool repeatsPrimariesTo(const Peer&) const;
    bool isUnreachable(const Peer&) const;
    Primaries provenPrimaries() const;
    enum class ReportKind : uint8_t {
        Plain,
        Leaving,
        ReplyRequested,
        Count
    }; ///< ReplyRequested: the receiver sends a report back at once.
    std::string report(ReportKind, const Primaries&) const;
    /// Returns whether the datagram is one that a known host may have sent. Throws std::exception if it is malformed.
    bool takeDatagram(const std::string&);
    bool takeReport(const std::string&);
    /// Returns the earliest time at which a datagram that arrives now may have been sent, apart from its passage.
    Instant earliestSent() const;

    // fleet_member_replicas.cpp
    void tickReplicaRecords();
    std::vector<ProbingHost> probingHosts() const;

    // fleet_member_revocations.cpp
    void tickRevocations();
    void readRevocations();
    void writeRevocations();
    std::vector<RevocationTarget> revocationTargets() const;

    // fleet_member_leases.cpp
    void tickLeases();
    void requestLease();
    void readPrimaryRecord();
    void adoptPrimaryRecord(const PrimaryRecordVersion&, const std::string& text, std::string_view source);
    void writePrimaryRecord();
    void pushPrimaryRecord();
    bool mayGrantLeases() const;
    bool storeAnswers() const { return m_follower.reachable() && !m_recordReadFailed; }
    bool leaseDatagram(const std::string&);
    std::string leaseReply(uint64_t number, bool withRecord) const;

    // fleet_member_relay.cpp
    StoreSource storeSource() const;
    void chooseSource();
    std::vector<RelayCandidate> relayCandidates() const;
    std::vector<std::string> relays(const std::string& region) const;
    std::vector<std::pair<std::string, std::string>> watchingHosts() const;
    std::vector<std::pair<std::string, std::string>> changeSources() const;
    void rotate(std::vector<std::pair<std::string, std::string>>& sources) const;
    std::vector<std::pair<std::string, std::string>> positionSources() const;
    std::vector<RelayCandidate> localHosts() const;
    std::set<std::string> distributorsOf(const std::string& dataCentre) const;
    void updateDistribution();
    bool passOn(const std::string& datagram);
    void relay(const StoreEvents&);
    void relayState();

    GatewaySettings m_gatewaySettings;
    Settings m_settings;
    Gateway& m_gateway;
    QuotaExchange& m_quota;
    PromotionCoordinator& m_coordinator;
    ProbeExchange& m_probeExchange;
    MetadataStore& m_store;
    PeerChannel& m_channel;
    DelayedCall m_after;
    Gateway::Clock m_clock;
    uint64_t m_incarnation;
    std::mt19937_64 m_random;
    StoreFollower m_follower;
    PositionExchange m_positionExchange;
    ChangeExchange m_changeExchange;
    RevocationExchange m_revocations;
    ReplicaRecords m_replicaRecords;
    LeaseGrantor m_leaseGrantor;
    bool m_granting = false; ///< m_leaseGrantor has been activated since this host became the coordinator.
    std::string m_lastCoordinator; ///< Host of the last claim that was read; empty if none was.
    Instant m_leaseRequestAt;
    uint64_t m_leaseRequest; ///< Number of the last request to the coordinator.
    Instant m_leaseRequestedAt;
    Instant m_recordReadAt; ///< When the primary record is read next, at the earliest.
    bool m_readingRecord = false;
    /// The last read of the primary record failed, and no later call succeeded: a watch in progress notices later that
    /// the store is gone.
    bool m_recordReadFailed = false;
    Instant m_recordPushAt;
    /// Since when a server has led without interruption although the record names another one; by service.
    std::map<std::string, Instant> m_unrecordedSince;
    bool m_readingRevocations = false;
    bool m_revocationItemsChanged = false; ///< The own items have changed since the last tick.
    bool m_replicaItemsChanged = false; ///< The own items or the configured services have changed since the last tick.
    std::map<std::string, Peer> m_peers; ///< Registered hosts other than this one, by name.
    /// Results of lenders(), because ranking a large fleet for each statement would cost more than the statement.
    mutable std::map<std::string, std::vector<LenderCandidate>> m_lenders;
    uint64_t m_registrationLease = 0; ///< Granted in the newest era; 0: none.
    std::string m_registrationKey;
    uint64_t m_registrationRevision = 0; ///< Revision of this host's last registration; 0: none in the newest era.
    uint64_t m_registrationAttempt = 0; ///< Answers to earlier attempts are dropped.
    uint64_t m_coordinatorLease = 0;
    uint64_t m_coordinatorRevision = 0; ///< Revision of this host's last claim that succeeded.
    std::optional<OutdatedClaim> m_outdatedClaim;
    uint64_t m_coordination = 0; ///< Number of the role or claim; answers to earlier ones are dropped.
    Instant m_coordinatorUntil;
    bool m_claiming = false;
    bool m_resigned = false;
    bool m_leaving = false;
    Instant m_claimAt;
    std::optional<Instant> m_listedAt; ///< First listing of the newest era that the store itself gave.
    /// Registrations of earlier eras count until then; zero if there are none.
    Instant m_outdatedRegistrationsEnd;
    Instant m_storeReachableSince;
    Instant m_noClaimBefore;
    Instant m_reportAt;
    Instant m_probeStarted; ///< Start of the current probe; zero if there is none.
    bool m_probeRepeated = false;
    std::vector<std::string> m_probed; ///< Hosts that are being probed.
    bool m_probesAll = false;
    Instant m_tickedAt;
    Instant m_lateTickAt; ///< When tick() was last called later than maxTickGap after the call before.
    Instant m_noProbeBefore;
    ConnectionScarcity m_connectionScarcity;
    bool m_connectionsScarce = false; ///< Result of m_connectionScarcity for the present hosts and configuration.
    bool m_fleetChanged = false; ///< fleetChanged() has to run in the next tick.
    Instant m_relayAt;
    bool m_reportsPrimaries = true; ///< Repeats the known primaries to other data centres.
    bool m_reportedReachable = true; ///< Whether the last report said that this host reaches the store.
    Duration m_lateBy { 0 }; ///< Time without a tick before m_lateTickAt.
    /// State of the store that was last passed on within the data centre: era, revision and when it was known.
    std::pair<uint64_t, uint64_t> m_passedOn;
    Instant m_passedOnAsOf;
    StoreSource m_source = StoreSource::Watch;
    Primaries m_reportedPrimaries; ///< Primaries in the last report.
    unsigned m_primariesRepeatsLeft = 0; ///< Remaining reports that carry them.
    unsigned m_reportCount = 0;
};

} // namespace plantainwall
