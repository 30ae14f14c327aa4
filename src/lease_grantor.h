#pragma once

#include "primary_lease.h"
#include <optional>
#include <set>

namespace plantainwall {

/// Decides whether a promotion may be ordered, and learns which server leads.
class PromotionGuard {
public:
    virtual ~PromotionGuard() = default;

    /// Returns whether the promotion of a server may be ordered now. Asked again until it may, or another server is to
    /// be promoted.
    /// @param term Term that the server will lead.
    /// @param demoted The old primary has reported that it leads no more.
    virtual bool mayPromote(const std::string& service, const std::string& server, uint64_t term, bool demoted) = 0;

    /// Records that a server reports that it leads, and that most of the service's servers know no newer term.
    virtual void primaryConfirmed(const std::string& service, const std::string& server, uint64_t term) = 0;
};

/// Keeps the record of the servers that may lead, as the promotion coordinator, and determines when no entry host takes
/// the word of a replaced primary any more. A decision object.
class LeaseGrantor {
public:
    struct Write {
        LeasedPrimaries primaries;
        uint64_t expectedRevision = 0;
    };

    explicit LeaseGrantor(const PrimaryLeaseSettings& = {});

    /// Starts anew when this host has become the coordinator.
    void activate(Instant now);

    /// Records what the store holds, as read since activate().
    /// @param valid Whether it was written in the store's present era and is well-formed.
    void recordRead(const PrimaryRecordVersion&, const LeasedPrimaries&, bool valid, Instant now);

    /// Returns whether the record has to be read before it can be written or confirmed.
    bool readDue() const { return !m_read; }

    /// Sets the server that may lead a service.
    void setPrimary(const std::string& service, const LeasedPrimary&);

    /// Returns the entry as it will be written; nothing if there is none.
    std::optional<LeasedPrimary> primaryOf(const std::string& service) const;

    /// Returns the record to write if it differs from the store's. No further one is due before its answer.
    std::optional<Write> due();

    /// Handles the answer to a write.
    /// @param accepted False: not known to be written, so that the record has to be read again.
    void written(bool accepted, const PrimaryRecordVersion&, Instant now);

    /// Records that a host knows a version.
    void acknowledged(const std::string& host, const PrimaryRecordVersion&);

    /// Returns whether hosts may be told that the version is current: no entry is about to be replaced.
    bool mayConfirm() const { return m_read && !m_writing && m_desired == m_recorded; }

    /// Returns whether no host can take the word of another server than the recorded one any more.
    /// @param hosts All other hosts that may hold a lease.
    /// @param trustedSince No lease was granted by anybody else after this time.
    bool othersEnded(const std::string& service, const LeasedPrimary&, const std::set<std::string>& hosts,
        Instant trustedSince, Instant now) const;

    Instant activatedAt() const { return m_activatedAt; }
    const PrimaryRecordVersion& version() const { return m_version; }
    const LeasedPrimaries& recorded() const { return m_recorded; }

    /// Returns whether the host has not acknowledged the recorded version.
    bool unacknowledged(const std::string& host) const;

private:
    /// When the entry of a service was replaced.
    struct Replacement {
        PrimaryRecordVersion version;
        Instant at;
    };

    PrimaryLeaseSettings m_settings;
    Instant m_activatedAt;
    bool m_read = false;
    bool m_writing = false;
    LeasedPrimaries m_recorded;
    LeasedPrimaries m_desired;
    LeasedPrimaries m_inFlight;
    PrimaryRecordVersion m_version;
    std::map<std::string, Replacement> m_replaced; ///< By service.
    std::map<std::string, PrimaryRecordVersion> m_acknowledged; ///< By host.
};

} // namespace plantainwall
