#include "home_regions.h"
#include <algorithm>

namespace plantainwall {

PlacementVerdict placementVerdict(gsl::span<const PlacedServer> servers, bool needsPrimary)
{
    // Registrations may be incomplete, so that the absence of a server or a primary says nothing.
    if (servers.empty())
        return PlacementVerdict::Possible;
    const auto primary
        = std::find_if(servers.begin(), servers.end(), [](const PlacedServer& server) { return server.primary; });
    // No primary is replaced because of the regions of a statement.
    if (needsPrimary && primary != servers.end() && !primary->inHome)
        return PlacementVerdict::NoHomeServer;
    if (std::none_of(servers.begin(), servers.end(), [](const PlacedServer& server) { return server.inHome; }))
        return PlacementVerdict::NoHomeServer;
    const auto takesOver = [](const PlacedServer& server) { return !server.evacuated && !server.leaving; };
    if (needsPrimary) {
        const bool lost = primary != servers.end() && primary->evacuated;
        return lost && std::none_of(servers.begin(), servers.end(), takesOver) ? PlacementVerdict::Evacuated
                                                                               : PlacementVerdict::Possible;
    }
    const bool allEvacuated = std::none_of(
        servers.begin(), servers.end(), [](const PlacedServer& server) { return server.inHome && !server.evacuated; });
    return allEvacuated ? PlacementVerdict::Evacuated : PlacementVerdict::Possible;
}

} // namespace plantainwall
