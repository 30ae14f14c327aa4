#pragma once

#include "plantainwall/plantainwall.h"
#include <variant>

namespace plantainwall {

/// How the value of a key is written and checked.
enum class SettingKind : uint8_t {
    Text,
    Name, ///< Letters, digits, "-" and "_"; at most Caps::maxNameBytes.
    LogLevel,
    LogFormat,
    Digest, ///< 64 lower-case hexadecimal digits, or empty.
    Url, ///< http://ip:port
    Endpoint, ///< ip:port
    EndpointList,
    Duration,
    Bytes,
    Integer,
    Number,
    Count
};

/// Where an ip:port is stored. The address is absent for a port on the address of "host.listen".
struct EndpointTarget {
    std::string* address = nullptr;
    uint16_t* port = nullptr;
};

using SettingTarget
    = std::variant<std::string*, std::vector<std::string>*, EndpointTarget, Duration*, size_t*, unsigned*, double*>;

/// One key of the settings file.
struct SettingKey {
    std::string_view table;
    std::string_view name;
    SettingKind kind = SettingKind::Text;
    SettingTarget target;
    double min = 0; ///< Microseconds, bytes, a number, or the length of a text.
    double max = 0;
    bool required = false;
    std::string_view meaning;

    std::string path() const { return std::string(table) + '.' + std::string(name); }
};

/// Returns all keys, with targets inside the given settings.
std::vector<SettingKey> settingKeys(Settings&);

/// Stores a duration with its unit ("250ms"). Returns whether the text is one; units are us, ms, s, m and h.
bool parseDuration(std::string_view text, Duration&);

/// Stores a size with its unit ("16KiB"). Returns whether the text is one; units are B, KiB, MiB and GiB.
bool parseBytes(std::string_view text, size_t&);

/// Splits ip:port; the address of IPv6 stands in brackets and is stored without. Returns whether the text is one.
bool parseEndpoint(std::string_view text, std::string& address, uint16_t& port);

/// Returns a duration in its greatest unit without a fraction, for example "1500ms".
std::string durationText(Duration);

/// Returns a size in its greatest unit without a fraction, for example "16KiB".
std::string bytesText(size_t);

} // namespace plantainwall
