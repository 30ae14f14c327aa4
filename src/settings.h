#pragma once

#include "plantainwall/plantainwall.h"

namespace plantainwall {

/// An error in a settings file.
struct SettingsFault {
    std::string file;
    unsigned line = 0; ///< Starts at 1; 0 if the file could not be read.
    std::string path; ///< Key with its table, for example "http.idle_timeout"; empty if the file is not valid TOML.
    std::string message;
};

struct SettingsResult {
    Settings settings; ///< Valid only if there are no faults.
    std::vector<SettingsFault> faults;
};

/// Reads the TOML settings file of an entry host. Reports all faults, ordered by line; never throws.
SettingsResult loadSettings(const std::string& path);

/// Returns "file:line: path: message".
std::string settingsFaultText(const SettingsFault&);

} // namespace plantainwall
