#pragma once

#include "gateway_ports.h"
#include "server_directory.h"
#include <gsl/span>

namespace plantainwall {

/// Encodes the servers of a service that may hold acknowledged commits, or may run again, as the value of an item of
/// the store.
std::string encodeReplicaRecord(gsl::span<const Replica>);

/// Returns the servers of an encoded record, in order of their ids and starts. A server without the field `ended` is
/// taken as running, one without `settled` as needed. Throws std::exception if the record is malformed.
std::vector<Replica> decodeReplicaRecord(const std::string& service, const std::string& value);

/// Compares the recorded servers of each service with the known ones: decides which items are written, and which lapsed
/// servers a directory adds and drops because of the items. A decision object.
///
/// Load pattern: hundreds of services, and thousands of changes of the hosts' other items. Only items with a new value
/// are decoded, and a check walks once over all servers.
class ReplicaRecords {
public:
    struct Settings {
        Duration checkInterval = std::chrono::milliseconds(200); ///< A check walks over all servers.
        /// Between two writes of one item, which leaves time to read a conflicting value.
        Duration writePause = std::chrono::milliseconds(500);
        Duration failurePause = std::chrono::seconds(1); ///< No item is written for this long after a failed call.
        /// An own write that was not read back after this time counts as lost.
        Duration readBackTime = std::chrono::seconds(2);
        size_t maxWritesUnderWay = 4; ///< The store limits the writes per second of all hosts.
        /// Lapsed servers that no item lists are dropped after this time. The coordinator, or the next one, has listed
        /// them long before if they matter.
        Duration unlistedTime = std::chrono::seconds(60);
        Duration unlistedCheckInterval = std::chrono::seconds(1);
    };

    static const std::string prefix; ///< Prefix of the keys; the name of the service follows.

    /// Applies the hosts' own items: adds their servers to the directory as lapsed unless it knows them, and marks
    /// lapsed servers that an item no longer lists as settled, except on the coordinator. Malformed items are logged;
    /// those of services that are not configured are ignored.
    /// @param items All own items of the hosts, by key.
    /// @param era Era of the store in which the items were read. The first record of a service in an era settles no
    /// server: it may be based on a copy that lacks servers which were added before.
    /// @param coordinator Whether this host is the active coordinator.
    /// @return Number of items with a new value.
    size_t itemsRead(const std::map<std::string, StoreItem>& items, uint64_t era, const GatewayConfiguration&,
        bool coordinator, ServerDirectory&, Instant now);

    /// Returns the items to write now. Called on the active coordinator only, after itemsRead(). written() must be
    /// called with the outcome of each.
    /// @param items As passed to itemsRead() last.
    std::vector<StoreWrite> due(
        const std::map<std::string, StoreItem>& items, const GatewayConfiguration&, const ServerDirectory&, Instant);

    /// Records the outcome of a write that due() returned.
    void written(const std::string& key, StoreOutcome, Instant now);

    /// Drops lapsed servers that no item lists for the time of the settings. On the coordinator only those of services
    /// that are not configured, because it decides about the others by their answers.
    void forgetUnlisted(const GatewayConfiguration&, bool coordinator, ServerDirectory&, Instant now);

private:
    struct Record {
        std::optional<std::string> value; ///< Last value that was read.
        uint64_t era = 0; ///< Era and revision of the last valid value.
        uint64_t revision = 0;
        std::vector<Replica> servers; ///< Servers of the last valid value, in order of their ids.
        bool malformed = false; ///< The last value cannot be decoded.
        bool present = false; ///< The item exists.
        std::optional<Instant> absentSince;
        bool writing = false;
        Instant noWriteBefore;
        /// The last write; cleared when the item has another revision than the one that it replaced.
        std::optional<StoreWrite> ownWrite;
        Instant ownWriteUntil; ///< Until then the outcome is expected to be read back.
    };

    void apply(const StoreItem&, uint64_t era, const std::string& service, Record&, bool coordinator, ServerDirectory&,
        Instant now);

    Settings m_settings;
    std::map<std::string, Record> m_records; ///< By service.
    size_t m_writesUnderWay = 0;
    Instant m_checkAt;
    Instant m_unlistedCheckAt;
};

} // namespace plantainwall
