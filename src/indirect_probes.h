#pragma once

#include "gateway_config.h"
#include <optional>
#include <string>
#include <vector>

namespace plantainwall {

/// What the probes of other hosts have shown about a server that does not answer this one.
struct ProbeSummary {
    /// Some hosts have not answered yet; silentSince is not meaningful until then.
    bool pending = false;
    std::optional<Instant> reachedAt; ///< Latest time at which the server may have answered a host.
    std::optional<Instant> silentSince; ///< Earliest time since which a host has had no answer from it.
    std::vector<std::string> reachedBy; ///< Hosts that it answers, in order of their names.
    std::vector<std::string> notReachedBy; ///< Hosts that it does not answer.
};

/// Lets other hosts probe servers that do not answer this one, because only the path to them may be cut.
class IndirectProbes {
public:
    virtual ~IndirectProbes() = default;
    /// Returns what is known about a server and keeps it probed for a while. To be called repeatedly.
    virtual ProbeSummary probe(const ServerEntry&) = 0;
};

} // namespace plantainwall
