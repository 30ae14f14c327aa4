#pragma once

#include "plantainwall/plantainwall.h"
#include <gsl/span>
#include <set>

namespace plantainwall {

/// The regions in which a statement may be run: those of its route and of its customer. An empty set allows all
/// regions. A decision object.
class HomeRegions {
public:
    HomeRegions(const std::set<std::string>& ofRoute, const std::set<std::string>& ofCustomer)
        : m_ofRoute(ofRoute)
        , m_ofCustomer(ofCustomer)
    {
    }

    /// Returns whether both allow a region. An unknown region (empty) is allowed only if all are.
    bool contains(const std::string& region) const { return allows(m_ofRoute, region) && allows(m_ofCustomer, region); }

private:
    static bool allows(const std::set<std::string>& regions, const std::string& region)
    {
        return regions.empty() || regions.count(region) != 0;
    }

    const std::set<std::string>& m_ofRoute;
    const std::set<std::string>& m_ofCustomer;
};

/// A registered server of the statement's service.
struct PlacedServer {
    bool inHome = true; ///< Its region is allowed for the statement.
    bool evacuated = false;
    bool leaving = false;
    bool primary = false; ///< It is the known primary.
};

enum class PlacementVerdict : uint8_t {
    Possible, ///< A server may run the statement, now or after a change of primary.
    NoHomeServer, ///< The regions of the route and the customer exclude every server that could run it.
    Evacuated, ///< Every server that could run it is in an evacuated data centre.
    Count
};

/// Returns why a statement should be refused at once, if it should.
///
/// Load pattern: a configuration or an evacuation leaves a service without any allowed server. Each statement would
/// wait in the queue until it expires, and keep others from being queued.
///
/// @param needsPrimary Only the primary may run the statement.
PlacementVerdict placementVerdict(gsl::span<const PlacedServer>, bool needsPrimary);

} // namespace plantainwall
