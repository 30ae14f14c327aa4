#pragma once

#include "gateway_settings.h"
#include "settings.h"

namespace plantainwall {

struct GatewaySettingsResult {
    GatewaySettings settings; ///< Usable only if there are no faults.
    std::vector<SettingsFault> faults;
};

/// Reads the TOML settings file of `plantainwall gateway`. Reports every fault; never throws.
GatewaySettingsResult loadGatewaySettings(const std::string& path);

} // namespace plantainwall
