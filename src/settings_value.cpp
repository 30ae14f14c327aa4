#include "settings_keys.h"
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <limits>

namespace plantainwall {

namespace {

    struct Unit {
        std::string_view name;
        uint64_t factor;
    };

    // Largest unit first: textWithUnit() uses the first that divides the value.
    constexpr Unit durationUnits[]
        = { { "h", 3600000000 }, { "m", 60000000 }, { "s", 1000000 }, { "ms", 1000 }, { "us", 1 } };
    constexpr Unit byteUnits[] = { { "GiB", 1 << 30 }, { "MiB", 1 << 20 }, { "KiB", 1 << 10 }, { "B", 1 } };

    template <size_t N> bool parseWithUnit(std::string_view text, const Unit (&units)[N], uint64_t& value)
    {
        uint64_t n = 0;
        const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), n);
        if (result.ec != std::errc())
            return false;
        const std::string_view name = text.substr(static_cast<size_t>(result.ptr - text.data()));
        for (const Unit& unit : units) {
            if (name != unit.name)
                continue;
            if (n > static_cast<uint64_t>(std::numeric_limits<int64_t>::max()) / unit.factor)
                return false;
            value = n * unit.factor;
            return true;
        }
        return false;
    }

    template <size_t N> std::string textWithUnit(uint64_t value, const Unit (&units)[N])
    {
        for (const Unit& unit : units) {
            if (value != 0 && value % unit.factor == 0)
                return std::to_string(value / unit.factor) + std::string(unit.name);
        }
        return std::to_string(value) + std::string(units[N - 1].name);
    }

} // namespace

bool parseDuration(std::string_view text, Duration& duration)
{
    uint64_t value = 0;
    if (!parseWithUnit(text, durationUnits, value))
        return false;
    duration = Duration(value);
    return true;
}

bool parseBytes(std::string_view text, size_t& bytes)
{
    uint64_t value = 0;
    if (!parseWithUnit(text, byteUnits, value))
        return false;
    bytes = value;
    return true;
}

bool parseEndpoint(std::string_view text, std::string& address, uint16_t& port)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string host(text.substr(0, colon));
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(host, ec);
    if (ec || ip.is_v6() != bracketed)
        return false;
    const std::string_view digits = text.substr(colon + 1);
    uint16_t n = 0;
    const std::from_chars_result result = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    if (result.ec != std::errc() || result.ptr != digits.data() + digits.size() || n == 0)
        return false;
    address = host;
    port = n;
    return true;
}

std::string durationText(Duration duration)
{
    return textWithUnit(static_cast<uint64_t>(duration.count()), durationUnits);
}

std::string bytesText(size_t bytes) { return textWithUnit(bytes, byteUnits); }

} // namespace plantainwall
