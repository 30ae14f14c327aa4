#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <string>
#include <string_view>

namespace plantainwall {

/// The only server of a service that may lead, as the primary record in the store names it.
struct LeasedPrimary {
    std::string server;
    uint64_t term = 0;

    bool operator==(const LeasedPrimary& other) const { return server == other.server && term == other.term; }
    bool operator!=(const LeasedPrimary& other) const { return !(*this == other); }
};

/// By service.
using LeasedPrimaries = std::map<std::string, LeasedPrimary>;

/// Version of the primary record: era and revision of its item in the store.
struct PrimaryRecordVersion {
    uint64_t era = 0;
    uint64_t revision = 0; ///< 0: the store has no record.

    bool operator==(const PrimaryRecordVersion& other) const { return era == other.era && revision == other.revision; }
    bool operator<(const PrimaryRecordVersion& other) const
    {
        return era != other.era ? era < other.era : revision < other.revision;
    }
};

/// Encodes the primary record.
/// @param era Era of the store in which it is written.
std::string encodePrimaryRecord(const LeasedPrimaries&, uint64_t era);

/// Decodes a primary record. Throws std::exception if it is malformed.
/// @param era Set to the era in which it was written.
LeasedPrimaries decodePrimaryRecord(std::string_view text, uint64_t& era);

/// Times of one lease on the word of a primary.
struct PrimaryLeaseSettings {
    /// Bridges the election of another coordinator or one lost renewal and a call to the store; a primary that cannot
    /// be demoted is replaced this much later if an entry host cannot be reached either.
    Duration lifetime = std::chrono::milliseconds(2500);
    /// Added by the coordinator, whose clock may run faster than that of another host.
    Duration margin = std::chrono::milliseconds(100);
};

/// Determines until when a server is known to lead its service, on a platform where a replaced primary may go on
/// leading by its own account. A decision object.
///
/// The coordinator names the only server that may lead in a record in the store. Before it orders the promotion of
/// another server without having demoted the old one, it replaces the entry and waits until every host has seen that or
/// its lease has ended. A host that knew the entry to be current at a time may therefore take the server's word for the
/// lifetime of a lease from then on.
class PrimaryLeases {
public:
    /// @param required False: the platform ends the lead of a replaced primary, so each primary's word counts.
    PrimaryLeases(bool required, const PrimaryLeaseSettings&);

    /// Takes a version of the record that is not older than the known one. Leases on entries that differ end.
    /// @return Whether any entry differs.
    bool adopt(const PrimaryRecordVersion&, const LeasedPrimaries&);

    /// Extends the leases of all entries. Ignored unless the version is the known one.
    /// @param requestedAt A time at which that version was the newest, or an earlier one.
    void confirm(const PrimaryRecordVersion&, Instant requestedAt);

    /// Returns the time until which the server is known to lead; zero if it is not known to lead at all.
    Instant until(const std::string& service, std::string_view server) const;

    /// Returns the server named for the service; empty if none is, or if leases are not required.
    std::string_view serverFor(const std::string& service) const;

    bool required() const { return m_required; }
    const PrimaryRecordVersion& version() const { return m_version; }

    /// Returns when the known version was last confirmed; zero if it never was.
    Instant confirmedAt() const { return m_confirmedAt; }

private:
    struct Lease {
        LeasedPrimary primary;
        Instant until;
    };

    bool m_required;
    PrimaryLeaseSettings m_settings;
    PrimaryRecordVersion m_version;
    std::map<std::string, Lease> m_leases; ///< By service.
    Instant m_confirmedAt;
};

} // namespace plantainwall
