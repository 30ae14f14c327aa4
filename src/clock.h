#pragma once

#include "plantainwall/plantainwall.h"

namespace plantainwall {

/// Returns the time of the host's monotonic clock. Only adapters call it; all other code gets the time as a parameter.
inline Instant now()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace plantainwall
