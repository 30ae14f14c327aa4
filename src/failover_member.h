#pragma once

#include "gateway_ports.h"
#include "indirect_probes.h"

namespace plantainwall {

/// State of one server as the promotion coordinator knows it.
struct FailoverMember {
    std::string id;
    std::string address;
    /// False: its registration has ended. It may still run, receive and confirm commits.
    bool registered = true;
    Instant lapsedAt; ///< When the registration ended.
    /// An earlier process under an id that was registered again with another start time. It has ended.
    bool ended = false;
    /// It was down, and its log was not needed, when a coordinator last asked it; it may have run since.
    bool settled = false;
    uint64_t startedUnixMs = 0; ///< Start of its process; 0 if unknown. A restarted server may have lost its log.
    bool wasPrimary = false; ///< Of a process that has ended: it was the last known primary.
    bool draining = false;
    uint64_t provenTerm = 0; ///< Newest term that it is known to have led and has not denied; 0 if none.
    uint64_t ledTerm = 0; ///< Newest term that a process with the id is known to have led; 0 if none.
    std::optional<ServerStatus> status; ///< Last status received.
    Instant requestedAt; ///< When the last status was requested.
    Instant answeredAt; ///< When the last status was received.
    /// The latest connection attempt was refused because the process does not run; a server at its connection limit
    /// does not count.
    bool refused = false;
    std::optional<Instant> refusedAt; ///< Last refusal since it answered. It may have started again since.
    bool replaced = false; ///< Another server answers at its address.
    Instant lastReplyAt; ///< When it last answered anything.
    std::optional<Instant> silentSince; ///< Time of the first unanswered request since the last answer.
    ProbeSummary probes; ///< Of other hosts; empty unless it refuses connections, or is lapsed and silent.
    Instant failedAt; ///< Start of the latest connection attempt or request that was not answered in time.
};

/// Returns whether a server is primary of the newest term, by its own status or, before it has reported one, by
/// assumption.
bool leads(const FailoverMember&, const std::string& assumedPrimary, uint64_t term);

/// Returns the server with an id, or null. Processes that have ended are not returned.
const FailoverMember* findMember(const std::vector<FailoverMember>&, const std::string& id);

} // namespace plantainwall
