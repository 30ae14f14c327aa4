#pragma once

#include "change_exchange.h"
#include "link_borrower.h"
#include "position_exchange.h"
#include "promotion_coordinator.h"
#include "store_follower.h"

namespace plantainwall {

/// This entry host as one of many: its registration, the duty of ordering promotions, and reports between hosts.
class FleetMember final : public StoreObserver, public LenderChoice {
public:
    struct Settings {
        Duration registrationLease = std::chrono::seconds(10);
        Duration registrationRenewal = std::chrono::seconds(3);
        /// A dead holder's duty is free after this time. No service gets a new primary meanwhile, so it is a few
        /// renewals only; the store's shortest lease if that is longer.
        Duration coordinatorLease = std::chrono::seconds(2);
        Duration coordinatorRenewal = std::chrono::milliseconds(600); ///< Three within a lease, as each may be lost.
        /// The holder stops this much before its lease can have ended.
        Duration coordinatorMargin = std::chrono::milliseconds(400);
        Duration reportEvery = std::chrono::milliseconds(250);
        /// Hosts of each region that watch for the others in a large fleet, and for hosts that the store refuses.
        size_t relaysPerRegion = 3; ///< A third of the hosts may be cut off from the store at the same time.
        Duration relayEvery = std::chrono::milliseconds(500); ///< The store's revision is told this often.
        /// Larger fleets report to hosts of other regions only every so many-th time: those links are narrow.
        unsigned crossRegionReportPeriod = 3;
        size_t fullRateReportHosts = 9; ///< With more hosts than this, reports are sent less often in proportion.
        /// Reports carry the known primaries in so many repetitions after one has changed, and in every so many-th one
        /// for what was lost; with hundreds of hosts they are most of a report's size.
        unsigned primariesRepeatCount = 3;
        unsigned primariesReportPeriod = 8;
        unsigned maxMissedReports = 4; ///< A host is out of reach after this many reports that did not come.
        /// Hosts that leave questions unanswered at the same time, so that all are probed: one alone may just restart.
        size_t unresponsiveHosts = 2;
        Duration probeRepeat = std::chrono::milliseconds(250); ///< Two round trips between regions, and busy hosts.
        Duration probeLimit = std::chrono::milliseconds(600); ///< A host that answers neither probe is out of reach.
        Duration probePause = std::chrono::seconds(2); ///< From one probe of all hosts to the next.
        /// A host whose registration lapsed may still serve on its own; its part is kept free for this long.
        Duration quotaReservationTime = std::chrono::seconds(20);
        /// After the first listing, or the store's return, registrations may be incomplete for this long. A promotion
        /// that does not know every replica could lose what only the unknown one holds.
        Duration settleTime = std::chrono::milliseconds(3000);
        /// A host that gave the duty up because it does not reach the servers leaves it to others for this long.
        Duration coordinatorPause = std::chrono::seconds(4);
        /// While no host reaches the store, the last holder goes on for this long after its lease.
        Duration coordinatorOutageExtension = std::chrono::seconds(30);
    };

    FleetMember(const GatewaySettings&, Gateway&, QuotaExchange&, PromotionCoordinator&, MetadataStore&,
        const StoreDecoder&, PeerChannel&, DelayedCall, Gateway::Clock, uint64_t incarnation, uint64_t seed);

    void start();

    /// Handles what is due; to be called every few milliseconds.
    void tick();

    /// Takes a datagram of another entry host.
    void peerDatagram(const std::string& datagram);

    /// Returns the number of hosts that were heard lately, this one included.
    size_t reachableHostCount() const;

    /// Returns whether there are so many hosts that some work is done by a few for all.
    bool largeFleet() const;

    /// Returns the hosts of the data centre's region in a large fleet; none in a small one.
    std::vector<std::pair<std::string, std::string>> lenders(const std::string& dataCentre) const override;

    /// Returns among how many hosts the connections to the servers of this host's region are shared out.
    size_t lendingHosts() const;

    /// Gives up the duty of ordering promotions for good.
    void resignCoordination();

    /// Tells the others that this host ends, and gives up its leases.
    void leave();

    void configurationRead(std::shared_ptr<const GatewayConfiguration>) override;
    void serversListed(const std::vector<ServerEntry>&) override;
    void serverWritten(const ServerEntry&) override;
    void serverErased(const std::string& id) override;
    void ownItemsChanged() override;
    void storeReachable(bool) override;
    void eventsRead(const StoreEvents&) override;

private:
    struct Peer {
        std::string address;
        std::string region;
        uint64_t incarnation = 0;
        Instant listedAt; ///< First seen in the store.
        Instant heard;
        bool silent = true;
        bool storeReachable = true;
        bool registered = false;
        bool primariesSent = false; ///< Was sent the known primaries since it is in reach.
        bool probeFailed = false; ///< Is silent because it did not answer a probe.
        uint64_t firstReportIncarnation = 0; ///< Incarnation that was sent a report as soon as it was known.
    };
    using Primaries = std::map<std::string, std::pair<std::string, uint64_t>>; ///< Server and term by service.

    void registerHost();
    void renewRegistration();
    void fleetChanged();

    // fleet_member_duty.cpp
    void coordinatorItemRead();
    void tickCoordinator();
    void claimCoordination();
    void renewCoordination();
    void coordinationEnded();
    void handOverCoordination();
    bool mayCoordinate() const;
    Duration claimDelay(Duration least);

    // fleet_member_reports.cpp
    void sendReports();
    void sendFirstReports();
    void probe();
    void noteSilent(const std::string& host, Peer&, const std::string& reason);
    Duration reportInterval() const;
    Duration silenceLimit(const Peer&) const;
    bool usesCrossRegionPeriod(const Peer&) const;
    bool outOfReach(const Peer&) const;
    Primaries provenPrimaries() const;
    enum class ReportKind : uint8_t {
        Plain,
        Leaving,
        ReplyRequested,
        Count
    }; ///< Asking: the receiver reports back at once.
    std::string report(ReportKind, const Primaries&) const;

    // fleet_member_relay.cpp
    StoreSource storeSource() const;
    void chooseSource();
    std::vector<std::string> relays() const;
    std::vector<std::pair<std::string, std::string>> watchingHosts() const;
    void relay(const StoreEvents&);

    GatewaySettings m_gatewaySettings;
    Settings m_settings;
    Gateway& m_gateway;
    QuotaExchange& m_quota;
    PromotionCoordinator& m_coordinator;
    MetadataStore& m_store;
    PeerChannel& m_channel;
    DelayedCall m_after;
    Gateway::Clock m_clock;
    uint64_t m_incarnation;
    std::mt19937_64 m_random;
    StoreFollower m_follower;
    PositionExchange m_positionExchange;
    ChangeExchange m_changes;
    std::map<std::string, Peer> m_peers; ///< Registered hosts other than this one, by name.
    uint64_t m_registrationLease = 0;
    uint64_t m_coordinatorLease = 0;
    Instant m_coordinatorUntil;
    bool m_claiming = false;
    bool m_yielded = false;
    bool m_leaving = false;
    Instant m_claimAt;
    std::optional<Instant> m_listedAt;
    Instant m_storeReachableSince;
    Instant m_noClaimBefore;
    Instant m_reportAt;
    Instant m_probeStarted; ///< Of the probe that is under way; zero: none.
    bool m_probeRepeated = false;
    Instant m_noProbeBefore;
    bool m_fleetChanged = false; ///< The quota has not been told yet.
    Instant m_relayAt;
    StoreSource m_source = StoreSource::Watch;
    Primaries m_reported; ///< As of the last report.
    unsigned m_repeats = 0; ///< Reports that still carry them.
    unsigned m_reports = 0;
};

} // namespace plantainwall
