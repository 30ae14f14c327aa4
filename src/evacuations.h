#pragma once

#include "plantainwall/plantainwall.h"
#include <gsl/span>
#include <set>

namespace plantainwall {

/// Keeps which data centres are evacuated: their backend servers get no statements. A decision object.
///
/// Load pattern: a data centre loses power or cooling, and everything that its servers still get is at risk. Callers
/// are served from elsewhere until operators take the evacuation back, whatever happens to the store meanwhile.
class Evacuations {
public:
    struct Change {
        std::set<std::string> started; ///< Evacuated from now on.
        std::set<std::string> ended; ///< No longer evacuated.
        std::set<std::string> kept; ///< Still evacuated although the restored store lacks the request.
    };

    /// Applies all evacuations of a complete listing of the store. Returns what has changed.
    Change list(gsl::span<const std::string> dataCentres);

    /// Applies the request for an evacuation. Returns whether it is new.
    bool request(const std::string& dataCentre);

    /// Applies the removal of a request. Returns whether the data centre was evacuated.
    bool takeBack(const std::string& dataCentre);

    /// Records that an older copy has replaced the store. Evacuations in force may be missing from the copy, which does
    /// not take them back: they stay until their request is written and removed again.
    void storeRestored();

    bool contains(const std::string& dataCentre) const { return m_inForce.count(dataCentre) != 0; }
    bool empty() const { return m_inForce.empty(); }

private:
    std::set<std::string> m_inForce;
    std::set<std::string> m_kept; ///< In force, but not requested in the store since it was restored.
    bool m_restored = false; ///< No listing has been applied since the last restore.
};

} // namespace plantainwall
