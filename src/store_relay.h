#pragma once

#include "gateway_ports.h"
#include <gsl/span>

namespace plantainwall {

/// Changes of the metadata store between two of its revisions, as entry hosts relay them to each other.
struct StoreEvents {
    /// The items are all changes after this revision. Equal to `to`: only reports the revision. 0: the items are a
    /// complete listing.
    uint64_t from = 0;
    uint64_t to = 0;
    Duration age { 0 }; ///< Time since the store was last known to have no change after `to`.
    std::vector<StoreItem> items; ///< In order of their revisions.
    uint64_t era = 0; ///< Era of the revisions; see MetadataStore.
};

/// Returns the datagrams that relay the events to other hosts. If an item is too large for a datagram, it and all items
/// not yet in a datagram are replaced by the last revision alone; the receivers then read them from the store.
std::vector<std::string> encodeStoreEvents(const StoreEvents&);

/// Returns all events encoded like one datagram, without a limit of size.
std::string encodeAllStoreEvents(const StoreEvents&);

/// Returns whether a datagram contains store events.
bool isStoreEvents(std::string_view datagram);

/// Returns the events of a datagram. Throws std::exception if it is malformed.
StoreEvents decodeStoreEvents(std::string_view datagram);

/// An entry host that may become a relay, that is, watch the store for other hosts.
struct RelayCandidate {
    std::string host;
    std::string region;
    double capacity = 1; ///< Cores of the host.
};

/// Returns up to count relays of a region: the strong hosts with the lowest hashes of their names, then the others. All
/// hosts choose the same relays without communication, and the role is spread over data centres.
std::vector<std::string> relaysOf(const std::string& region, gsl::span<const RelayCandidate>, size_t count);

} // namespace plantainwall
