#pragma once

#include "plantainwall/plantainwall.h"

namespace plantainwall {

/// Something wrong in a settings file.
struct SettingsFault {
    std::string file;
    unsigned line = 0; ///< Counted from 1; 0 if the file could not be read.
    std::string path; ///< Key with its table, for example "http.idle_timeout". Empty if the text is not TOML.
    std::string message;
};

struct SettingsResult {
    Settings settings; ///< Usable only if there are no faults.
    std::vector<SettingsFault> faults;
};

/// Reads the TOML settings file of an entry host. Reports every fault in the order of the lines; never throws.
SettingsResult loadSettings(const std::string& path);

/// Returns "file:line: path: message".
std::string settingsFaultText(const SettingsFault&);

} // namespace plantainwall
