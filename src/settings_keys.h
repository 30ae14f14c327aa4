#pragma once

#include "plantainwall/plantainwall.h"
#include <variant>

namespace plantainwall {

/// Format of a value; determines how it is parsed and checked.
enum class SettingKind : uint8_t {
    Text,
    Name, ///< Letters, digits, "-" and "_"; at most Caps::maxNameBytes.
    HeaderValue, ///< See isHeaderValue().
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

/// Target of an ip:port value. The address is null for keys that must use the address of "host.listen".
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
    double min = 0; ///< In microseconds, bytes or plain numbers; for texts and lists, their length.
    double max = 0;
    bool required = false;
    std::string_view meaning;

    std::string path() const { return std::string(table) + '.' + std::string(name); }
};

/// Returns all keys; their targets point into the given settings, which must outlive them.
std::vector<SettingKey> settingKeys(Settings&);

/// Parses a duration such as "250ms"; units are us, ms, s, m and h. Returns false if the text is not a duration.
bool parseDuration(std::string_view text, Duration&);

/// Parses a size such as "16KiB"; units are B, KiB, MiB and GiB. Returns false if the text is not a size.
bool parseBytes(std::string_view text, size_t&);

/// Parses ip:port. IPv6 addresses are written in brackets and stored without them. Returns false if the text is not an
/// endpoint.
bool parseEndpoint(std::string_view text, std::string& address, uint16_t& port);

/// Formats a duration in the largest unit that needs no fraction, for example "1500ms".
std::string durationText(Duration);

/// Formats a size in the largest unit that needs no fraction, for example "16KiB".
std::string bytesText(size_t);

} // namespace plantainwall
