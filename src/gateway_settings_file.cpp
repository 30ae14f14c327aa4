#include "gateway_settings_file.h"
#include "host_capacity.h"
#include "settings_keys.h"
#include <algorithm>
#include <toml++/toml.h>
#include <variant>

namespace plantainwall {

namespace {

    /// How a text is checked.
    enum class ValueKind : uint8_t { Text, HostName, Endpoint, OptionalEndpoint, Level, Bytes, Count };

    using Target = std::variant<std::string GatewaySettings::*, Duration GatewaySettings::*, size_t GatewaySettings::*,
        bool GatewaySettings::*, double GatewaySettings::*>;

    struct Key {
        std::string_view name;
        Target target;
        ValueKind kind = ValueKind::Text;
        bool required = false;
        int64_t min = 0; ///< In microseconds for durations.
        int64_t max = 0;
    };

    constexpr int64_t secondUs = 1000000;
    constexpr double minCapacity = 0.001;
    constexpr int64_t minMemory = 32LL << 20; ///< In bytes, as maxMemory.
    constexpr int64_t maxMemory = 1LL << 50;

    /// Keys of the store have at most 200 bytes; those of hosts contain up to 71 others.
    constexpr size_t maxHostNameBytes = 128;

    /// Returns whether a name reads back as itself in texts that are split at blanks and in headers. Servers take "-"
    /// for none.
    bool isHostName(std::string_view text)
    {
        const bool printable = std::none_of(
            text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) <= ' ' || c == 0x7f; });
        return printable && !text.empty() && text.size() <= maxHostNameBytes && text != "-";
    }

    const Key keys[] = {
        { "host", &GatewaySettings::host, ValueKind::HostName, true },
        { "data_centre", &GatewaySettings::dataCentre, ValueKind::Text, true },
        { "region", &GatewaySettings::region, ValueKind::Text, true },
        { "caller_listen", &GatewaySettings::callerAddress, ValueKind::Endpoint, true },
        { "status_listen", &GatewaySettings::statusAddress, ValueKind::Endpoint, true },
        { "peer_listen", &GatewaySettings::peerAddress, ValueKind::Endpoint, true },
        { "peer_advertise", &GatewaySettings::peerAdvertised, ValueKind::OptionalEndpoint },
        { "store", &GatewaySettings::storeAddress, ValueKind::Endpoint, true },
        { "promotions", &GatewaySettings::promotionAddress, ValueKind::OptionalEndpoint },
        { "log_level", &GatewaySettings::logLevel, ValueKind::Level },
        { "first_start", &GatewaySettings::firstStart },
        { "fenced_primaries", &GatewaySettings::fencedPrimaries },
        { "store_min_lease", &GatewaySettings::storeMinLease, ValueKind::Text, false, secondUs / 10, 600 * secondUs },
        { "drain_limit", &GatewaySettings::drainLimit, ValueKind::Text, false, secondUs / 10, 600 * secondUs },
        { "shutdown_grace", &GatewaySettings::shutdownGrace, ValueKind::Text, false, secondUs / 10, 600 * secondUs },
        { "large_fleet", &GatewaySettings::largeFleet, ValueKind::Text, false, 2, 1 << 20 },
        { "even_load", &GatewaySettings::evenLoad },
        { "prefer_near_servers", &GatewaySettings::preferNear },
        { "local_distribution", &GatewaySettings::localDistribution },
        { "capacity", &GatewaySettings::capacity },
        { "urgency", &GatewaySettings::urgency },
        { "max_descriptors", &GatewaySettings::maxDescriptors, ValueKind::Text, false, 64, 1 << 24 },
        { "memory", &GatewaySettings::memoryBytes, ValueKind::Bytes, false, minMemory, maxMemory },
    };

    /// Checks the value of a key and stores it in the settings. Returns an error text, empty on success.
    struct Reader {
        const Key& key;
        const toml::node& node;
        GatewaySettings& settings;

        std::string operator()(std::string GatewaySettings::*target) const
        {
            if (!node.is_string())
                return "must be a string";
            const std::string& text = node.as_string()->get();
            std::string address;
            uint16_t port = 0;
            const bool endpoint = key.kind == ValueKind::Endpoint || key.kind == ValueKind::OptionalEndpoint;
            const bool optional = key.kind == ValueKind::OptionalEndpoint;
            if (text.empty() && !optional)
                return "must not be empty";
            if (endpoint && !text.empty() && !parseEndpoint(text, address, port))
                return "must be \"ip:port\"";
            if (key.kind == ValueKind::HostName && !isHostName(text))
                return "must be 1 to " + std::to_string(maxHostNameBytes)
                    + " bytes without blanks and control characters, and not \"-\"";
            if (key.kind == ValueKind::Level && text != "debug" && text != "info" && text != "warn" && text != "error")
                return "must be \"debug\", \"info\", \"warn\" or \"error\"";
            settings.*target = text;
            return {};
        }

        std::string operator()(Duration GatewaySettings::*target) const
        {
            Duration value {};
            if (!node.is_string() || !parseDuration(node.as_string()->get(), value))
                return "must be a string with a unit (us, ms, s, m, h), for example \"250ms\"";
            if (value.count() < key.min || value.count() > key.max)
                return "must be from " + durationText(Duration(key.min)) + " to " + durationText(Duration(key.max));
            settings.*target = value;
            return {};
        }

        std::string operator()(size_t GatewaySettings::*target) const
        {
            if (key.kind == ValueKind::Bytes)
                return readBytes(target);
            if (!node.is_integer() || node.as_integer()->get() < key.min || node.as_integer()->get() > key.max)
                return "must be a whole number from " + std::to_string(key.min) + " to " + std::to_string(key.max);
            settings.*target = static_cast<size_t>(node.as_integer()->get());
            return {};
        }

        std::string readBytes(size_t GatewaySettings::*target) const
        {
            size_t value = 0;
            if (node.is_integer())
                value = static_cast<size_t>(std::max<int64_t>(0, node.as_integer()->get()));
            else if (!node.is_string() || !parseBytes(node.as_string()->get(), value))
                return "must be a number of bytes or a string with a unit (B, KiB, MiB, GiB)";
            if (value < static_cast<size_t>(key.min) || value > static_cast<size_t>(key.max))
                return "must be from " + bytesText(static_cast<size_t>(key.min)) + " to "
                    + bytesText(static_cast<size_t>(key.max));
            settings.*target = value;
            return {};
        }

        std::string operator()(double GatewaySettings::*target) const
        {
            const double value = node.is_number() ? node.value_or(0.0) : 0.0;
            if (!(value >= minCapacity && value <= maxHostCapacity))
                return "must be a number of cores from 0.001 to 1024";
            settings.*target = value;
            return {};
        }

        std::string operator()(bool GatewaySettings::*target) const
        {
            if (!node.is_boolean())
                return "must be true or false";
            settings.*target = node.as_boolean()->get();
            return {};
        }
    };

    class Loader {
    public:
        Loader(const std::string& file, GatewaySettingsResult& result)
            : m_file(file)
            , m_result(result)
        {
        }

        void fault(unsigned line, const std::string& path, const std::string& message)
        {
            m_result.faults.push_back({ m_file, line, path, message });
        }

        void load(const toml::table& root)
        {
            const toml::node* const node = root.get("gateway");
            if (node == nullptr || !node->is_table()) {
                fault(1, "gateway", "the table is required");
                return;
            }
            const toml::table& table = *node->as_table();
            for (const Key& key : keys) {
                const toml::node* const value = table.get(key.name);
                const std::string path = "gateway." + std::string(key.name);
                if (value == nullptr) {
                    if (key.required)
                        fault(node->source().begin.line, path, "is required");
                    continue;
                }
                const std::string message = std::visit(Reader { key, *value, m_result.settings }, key.target);
                if (!message.empty())
                    fault(value->source().begin.line, path, message);
            }
            for (toml::table::const_iterator it = table.begin(); it != table.end(); ++it) {
                const std::string name(it->first.str());
                if (std::none_of(std::begin(keys), std::end(keys), [&](const Key& key) { return key.name == name; }))
                    fault(it->second.source().begin.line, "gateway." + name, "unknown key");
            }
            for (toml::table::const_iterator it = root.begin(); it != root.end(); ++it) {
                const std::string name(it->first.str());
                if (name != "gateway" && name != "regions")
                    fault(it->second.source().begin.line, name, "unknown key");
            }
            loadRegions(root);
        }

    private:
        void loadRegions(const toml::table& root)
        {
            const toml::node* const regions = root.get("regions");
            if (regions == nullptr)
                return;
            if (!regions->is_table()) {
                fault(regions->source().begin.line, "regions", "must be a table");
                return;
            }
            const toml::table& table = *regions->as_table();
            for (toml::table::const_iterator it = table.begin(); it != table.end(); ++it) {
                const std::string name(it->first.str());
                if (it->second.is_string())
                    m_result.settings.regionOfDataCentre[name] = it->second.as_string()->get();
                else
                    fault(it->second.source().begin.line, "regions." + name, "must be a string");
            }
        }

        const std::string m_file;
        GatewaySettingsResult& m_result;
    };

} // namespace

GatewaySettingsResult loadGatewaySettings(const std::string& path)
{
    GatewaySettingsResult result;
    Loader loader(path, result);
    try {
        loader.load(toml::parse_file(path));
    } catch (const toml::parse_error& error) {
        loader.fault(error.source().begin.line, "", std::string(error.description()));
    }
    return result;
}

} // namespace plantainwall
