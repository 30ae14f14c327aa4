#pragma once

#include "gateway.h"
#include "revocation_record.h"
#include <optional>

namespace plantainwall {

/// An entry host to which revocations are sent.
struct RevocationTarget {
    std::string host;
    std::string address;
    uint64_t incarnation = 0;
    bool reachable = true; ///< Its reports arrive, so its acknowledgement is waited for.
    bool mayRun = true; ///< Its registration has not ended, or its reports arrive.
};

/// Tells all entry hosts which primaries are being replaced, as the coordinator, and takes the word of the coordinator
/// on the others. See PrimaryRevocations.
///
/// Before a primary is replaced that may still confirm commits, every host has acknowledged the revocation, or has had
/// the time after which a host that hears nothing acknowledges no commits (see FleetContact). For hosts that do not
/// acknowledge it at once the store holds the revocation, too, if it answers.
class RevocationExchange {
public:
    struct Settings {
        /// To hosts that have not acknowledged; longer than a round trip between regions.
        Duration repeatInterval = std::chrono::milliseconds(100);
        Duration renewalInterval = std::chrono::milliseconds(1000); ///< To hosts that have.
        /// A revocation ends after this time without a renewal: the election of another coordinator, and the time until
        /// it renews the revocation.
        Duration lifetime = std::chrono::milliseconds(6000);
        /// A host that has not acknowledged within this time counts as gone: several round trips between regions, and
        /// time for busy hosts.
        /// Does not apply to RevocationScope::AllCommits.
        Duration acknowledgementTimeout = std::chrono::milliseconds(1000);
        /// Added to the time after which a host counts as having lost contact: this host's tick and the passage of its
        /// last datagram before the revocation.
        Duration contactMargin = std::chrono::milliseconds(150);
        /// A revocation that the store has not taken for this long is in force without it.
        Duration recordTimeout = std::chrono::milliseconds(1000);
        Duration withdrawalTime = std::chrono::milliseconds(2000); ///< For this long a withdrawal is repeated.
    };
    /// Returns the other hosts of the fleet.
    using Targets = std::function<std::vector<RevocationTarget>()>;

    RevocationExchange(std::string host, uint64_t incarnation, PeerChannel&, Gateway::Clock, Gateway&);

    /// Revokes a primary of a service, or withdraws the revocation.
    /// @param revocation Nothing: the primary has been replaced, or the replacement was given up.
    /// @param token Fencing token of this coordinator.
    void setRevocation(const std::string& service, std::optional<PrimaryRevocation> revocation, uint64_t token);

    /// Returns since when all hosts have known the revocation of a service, or nothing if some may not.
    std::optional<Instant> inForceSince(const std::string& service) const;

    /// Returns what hosts have told callers of, as far as they have reported it. The latest position is known once
    /// every host that may run has acknowledged a revocation of scope AllCommits.
    NewestAcknowledged newestAcknowledged(const std::string& service) const;

    /// Records that another host's process has ended, or may have.
    void noteDeparture();

    /// Puts the revocation of a service into the store, from which the next coordinator learns that orders may be on
    /// their way. Returns whether the store holds it, or is not to be waited for any longer.
    bool requireRecord(const std::string& service);

    /// Returns the change of an earlier coordinator that may not have ended; see PrimaryRevocations::unfinished().
    std::optional<PrimaryRevocation> unfinished(const std::string& service, uint64_t token) const;

    /// Withdraws a revocation of an earlier coordinator, whose change has ended.
    void dismiss(const std::string& service, uint64_t token);

    /// Revocations in the store. itemsRead() must be called with its items, the returned writes be made.
    RevocationRecords& records() { return m_records; }

    /// Applies the revocations that the store holds. Parameters as in RevocationRecords::itemsRead.
    void itemsRead(const std::map<std::string, StoreItem>& items, bool followed);

    /// Sets whether this host reaches the store, so that it can hold the revocations.
    void setStoreReachable(bool reachable) { m_storeReachable = reachable; }

    /// Stops sending when this host is no longer the coordinator, after one more message if some were withdrawn.
    /// Revocations in force stay until they end.
    void reset();

    /// Sends revocations and withdrawals that are due. Must be called every few milliseconds. targets is called only
    /// while there are any.
    void tick(const Targets& targets);

    /// Handles a message of another host. Returns false if the datagram is none. Throws std::exception if it is
    /// malformed.
    /// @param addressOf Returns the address of a host, empty if it is unknown.
    bool datagram(const std::string&, const std::function<std::string(const std::string& host)>& addressOf);

private:
    /// What the hosts are told about one service.
    struct Notice {
        std::optional<PrimaryRevocation> revocation; ///< Nothing: withdrawn.
        uint64_t token = 0;
        uint64_t number = 0; ///< Of the message in which it was sent first.
        Instant changedAt;
        std::optional<Instant> inForceSince;
        NewestAcknowledged newestAcknowledged;
        bool recorded = false; ///< It is to be in the store.
        bool recordedAsOrdered = false; ///< With the mark that an order may be on its way.
        uint64_t recordNumber = 0; ///< Number of the first message of the change, as recorded.
        std::optional<Instant> orderDueAt; ///< When an order was to be sent that the record is waited for.
    };
    /// What a host has acknowledged.
    struct Acknowledgement {
        uint64_t incarnation = 0;
        uint64_t number = 0;
        Instant sentAt; ///< Of the last message to it.
        std::string address;
        std::map<std::string, AcknowledgedCommits> commits; ///< By service, as reported with it.
    };

    bool isOutdated(const std::string& service, uint64_t token, uint64_t number);
    bool hasAcknowledged(const RevocationTarget&, uint64_t number) const;
    void apply(const std::string& service, const std::optional<PrimaryRevocation>&, uint64_t token, uint64_t number,
        const std::string& coordinator);
    void updateInForce(const std::vector<RevocationTarget>&);
    Notice newNotice(const std::optional<PrimaryRevocation>&, uint64_t token);
    /// Puts a notice into the store.
    void record(const std::string& service, Notice&, bool ordered);
    /// Returns whether no host tells callers of commits that a notice revokes, though some have not acknowledged it.
    bool hostsHaveLostContact(const std::string& service, const Notice&) const;
    /// Returns what a host reported when it acknowledged a message of at least the number; null if it has not.
    const AcknowledgedCommits* reportOf(const RevocationTarget&, const std::string& service, uint64_t number) const;
    NewestAcknowledged collectAcknowledged(
        const std::string& service, const Notice&, const std::vector<RevocationTarget>&) const;
    void acknowledged(const std::string& datagram);
    void acknowledge(const std::string& address, uint64_t number, const std::vector<std::string>& services);
    std::string message() const;

    std::string m_host;
    uint64_t m_incarnation;
    PeerChannel& m_channel;
    Gateway::Clock m_clock;
    Gateway& m_gateway;
    Settings m_settings;
    uint64_t m_number; ///< Of the newest change of a notice.
    std::map<std::string, std::pair<uint64_t, uint64_t>> m_heard; ///< By service: token and number of the last notice.
    std::map<std::string, Notice> m_notices; ///< By service.
    std::map<std::string, Acknowledgement> m_acknowledgements; ///< By host.
    RevocationRecords m_records;
    FleetContactSettings m_contact;
    bool m_storeReachable = false;
    bool m_reportsChanged = false; ///< Notice::newestAcknowledged has to be determined anew.
    Instant m_departedAt; ///< When a host was last found to have ended; the start of this process at the latest.
};

} // namespace plantainwall
