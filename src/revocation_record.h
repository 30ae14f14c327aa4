#pragma once

#include "gateway_ports.h"
#include "primary_revocation.h"
#include <map>
#include <optional>
#include <vector>

namespace plantainwall {

/// A revocation as the store holds it.
struct RecordedRevocation {
    PrimaryRevocation revocation;
    uint64_t token = 0; ///< Fencing token of the coordinator.
    uint64_t number = 0; ///< As in PrimaryRevocations::revoke.

    bool operator==(const RecordedRevocation& other) const
    {
        return revocation == other.revocation && token == other.token && number == other.number;
    }
};

/// Encodes a revocation as the value of an item of the store.
std::string encodeRevocation(const RecordedRevocation&);

/// Decodes it. Throws std::exception if it is malformed.
RecordedRevocation decodeRevocation(const std::string& value);

/// Keeps the coordinator's revocations in the store, one item for each service, and applies those of other
/// coordinators. So a host that hears no other one learns of them, and one whose process starts later. A decision
/// object.
///
/// Load pattern: a data centre is lost and the primaries of many services change at the same time. Each change is one
/// write and one removal; a few are made at a time.
class RevocationRecords {
public:
    struct Settings {
        Duration failurePause = std::chrono::milliseconds(200); ///< After a failed write, in which a change is read.
        size_t maxWritesUnderWay = 8; ///< The store limits the writes per second of all hosts.
    };

    static const std::string prefix; ///< Prefix of the keys; the name of the service follows.

    /// Sets what the store should hold for a service; nothing: no item. Called by the coordinator.
    void set(const std::string& service, const std::optional<RecordedRevocation>&);

    /// Forgets what the store should hold, when this host is no longer the coordinator. Items remain for the next one.
    void reset() { m_records.clear(); }

    /// Forgets the revisions of this host's writes, after an older copy has replaced the store, and writes anew.
    void storeRestored();

    /// Applies the items to what this host knows. Malformed items are logged and ignored.
    /// @param items All own items of the hosts, or those with the prefix, by key.
    /// @param followed The items are read in the order of their changes, and what an item no longer holds is withdrawn.
    ///     A single read may be older or newer than these.
    /// @param lifetime Time after which a revocation ends unless an item or a coordinator renews it.
    void itemsRead(const std::map<std::string, StoreItem>& items, bool followed, PrimaryRevocations&, Instant now,
        Duration lifetime);

    /// Returns the items to write now. written() must be called with the outcome of each.
    std::vector<StoreWrite> due(const std::map<std::string, StoreItem>& items, Instant now);

    /// Records the outcome of a write that due() returned.
    void written(const std::string& key, const StoreResult&, Instant now);

    /// Returns since when the store has held the revocation that was set last; nothing if it may not.
    std::optional<Instant> recordedAt(const std::string& service) const;

private:
    struct Record {
        std::optional<RecordedRevocation> wanted;
        bool dirty = true; ///< The store may hold something else.
        std::optional<StoreWrite> underWay;
        std::optional<uint64_t> ownRevision; ///< After the last own write; 0: it removed the item.
        std::optional<Instant> recordedAt;
        Instant noWriteBefore;
    };

    Settings m_settings;
    std::map<std::string, Record> m_records; ///< By service.
    std::map<std::string, RecordedRevocation> m_applied; ///< Of the items that were followed last, by service.
    std::map<std::string, uint64_t> m_rejected; ///< Revisions of malformed items, by key.
    size_t m_writesUnderWay = 0;
};

} // namespace plantainwall
