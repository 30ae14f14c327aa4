#include "config_schema.h"
#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <cmath>
#include <sstream>
#include <toml++/toml.h>

namespace plantainwall {

namespace {

    constexpr double maxRate = 1e9;
    constexpr size_t maxMembers = 9;
    constexpr size_t digestHexLength = 64;
    // A healthy copy is confirmed at least every 4 s (one watch of 2 s and a retry). A smaller cutoff would refuse
    // requests although nothing has failed.
    constexpr double minCutoffSeconds = 10;
    constexpr double maxCutoffSeconds = 7 * 24 * 3600;

    bool isHex(std::string_view text, size_t length)
    {
        return text.size() == length && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    bool isHttpAddress(std::string_view text)
    {
        constexpr std::string_view scheme = "http://";
        const size_t colon = text.rfind(':');
        if (text.substr(0, scheme.size()) != scheme || colon == std::string_view::npos || colon < scheme.size())
            return false;
        std::string host(text.substr(scheme.size(), colon - scheme.size()));
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        const std::string_view port = text.substr(colon + 1);
        if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string_view::npos)
            return false;
        const int number = std::stoi(std::string(port));
        boost::system::error_code ec;
        boost::asio::ip::make_address(host, ec);
        return !ec && number > 0 && number <= 65535;
    }

    /// Reads the fields of a table and collects all faults, including unknown fields.
    class FieldReader {
    public:
        FieldReader(
            const toml::table& table, std::string prefix, std::string_view path, std::vector<ConfigFault>& faults)
            : m_table(table)
            , m_prefix(std::move(prefix))
            , m_path(path)
            , m_faults(faults)
        {
        }

        void fault(std::string_view field, std::string_view reason)
        {
            m_faults.push_back({ std::string(m_path), m_prefix + std::string(field) + ": " + std::string(reason) });
        }

        const toml::node* find(std::string_view field, bool required)
        {
            m_known.emplace(field);
            const toml::node* node = m_table.get(field);
            if (!node && required)
                fault(field, "is missing");
            return node;
        }

        double number(std::string_view field, double low, double high, std::optional<double> defaultValue)
        {
            const toml::node* node = find(field, !defaultValue);
            if (!node)
                return defaultValue.value_or(low);
            if (!node->is_number()) {
                fault(field, "must be a number");
                return low;
            }
            const double value = node->value<double>().value_or(NAN);
            if (value >= low && value <= high)
                return value;
            std::ostringstream reason;
            reason << "must be from " << low << " to " << high;
            fault(field, reason.str());
            return low;
        }

        bool boolean(std::string_view field, std::optional<bool> defaultValue)
        {
            const toml::node* node = find(field, !defaultValue);
            if (node && !node->is_boolean())
                fault(field, "must be true or false");
            return node ? node->value<bool>().value_or(false) : defaultValue.value_or(false);
        }

        std::string text(std::string_view field, bool (*valid)(std::string_view), std::string_view expected)
        {
            const toml::node* node = find(field, true);
            if (!node)
                return {};
            std::string value = node->value_exact<std::string>().value_or("");
            if (!node->is_string() || !valid(value))
                fault(field, "must be " + std::string(expected));
            return value;
        }

        std::string name(std::string_view field)
        {
            return text(field, isConfigName, "a name of 1 to 64 characters from a-z, 0-9 and -");
        }

        std::string address(std::string_view field) { return text(field, isHttpAddress, "http://<ip>:<port>"); }

        std::string digest()
        {
            return text(
                "digest", [](std::string_view value) { return isHex(value, digestHexLength); },
                "64 lower-case hexadecimal digits");
        }

        std::vector<std::string> textList(std::string_view field)
        {
            std::vector<std::string> values;
            const toml::node* node = find(field, true);
            if (!node)
                return values;
            const toml::array* items = node->as_array();
            if (!items) {
                fault(field, "must be a list of strings");
                return values;
            }
            for (const toml::node& item : *items) {
                if (!item.is_string())
                    fault(field, "must be a list of strings");
                else
                    values.push_back(item.value_or(std::string()));
            }
            return values;
        }

        std::vector<const toml::table*> tables(std::string_view field, size_t maxCount)
        {
            std::vector<const toml::table*> values;
            const toml::node* node = find(field, true);
            if (!node)
                return values;
            const toml::array* items = node->as_array();
            if (!items || items->empty() || items->size() > maxCount) {
                fault(field, "must be a list of 1 to " + std::to_string(maxCount) + " tables");
                return values;
            }
            for (const toml::node& item : *items) {
                if (item.as_table())
                    values.push_back(item.as_table());
                else
                    fault(field, "must contain only tables");
            }
            return values;
        }

        void rejectUnknownFields()
        {
            for (const auto& field : m_table) {
                const std::string_view name = field.first.str();
                if (!m_known.count(name))
                    fault(name, "is not a known field");
            }
        }

    private:
        const toml::table& m_table;
        std::string m_prefix;
        std::string_view m_path;
        std::vector<ConfigFault>& m_faults;
        std::set<std::string, std::less<>> m_known;
    };

    using PathSegments = std::vector<std::string>;
    using ParseFunction
        = ConfigValue (*)(FieldReader&, const PathSegments&, std::string_view path, std::vector<ConfigFault>& faults);

    ConfigValue parseLimits(FieldReader& reader, const PathSegments&, std::string_view, std::vector<ConfigFault>&)
    {
        LimitsValue value;
        value.ratePerSecond = reader.number("rate_per_s", 0, maxRate, std::nullopt);
        value.burst = reader.number("burst", 1, maxRate, std::nullopt);
        value.weight = reader.number("weight", 0.001, 1000, 1.0);
        return value;
    }

    ConfigValue parseKey(FieldReader& reader, const PathSegments&, std::string_view, std::vector<ConfigFault>&)
    {
        KeyConfig value;
        value.digest = reader.digest();
        value.withdrawn = reader.boolean("withdrawn", false);
        const toml::node* created = reader.find("created", false);
        if (created && !created->is_string() && !created->is_date_time())
            reader.fault("created", "must be a string or a date and time");
        return value;
    }

    ConfigValue parseServices(FieldReader& reader, const PathSegments&, std::string_view, std::vector<ConfigFault>&)
    {
        ServicesValue value;
        for (const std::string& service : reader.textList("services")) {
            if (!isConfigName(service))
                reader.fault("services", "'" + service + "' is not a name");
            value.services.insert(service);
        }
        return value;
    }

    ConfigValue parseCutoff(FieldReader& reader, const PathSegments&, std::string_view, std::vector<ConfigFault>&)
    {
        CutoffValue value;
        const std::string mode = reader.text(
            "mode", [](std::string_view text) { return text == "serve" || text == "refuse"; },
            "\"serve\" or \"refuse\"");
        value.mode = mode == "refuse" ? CutoffMode::Refuse : CutoffMode::Serve;
        const std::optional<double> defaultAge
            = value.mode == CutoffMode::Refuse ? std::nullopt : std::optional<double>(maxCutoffSeconds);
        const double seconds = reader.number("max_age_s", minCutoffSeconds, maxCutoffSeconds, defaultAge);
        value.maxAge = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        return value;
    }

    ConfigValue parseGroup(
        FieldReader& reader, const PathSegments& segments, std::string_view path, std::vector<ConfigFault>& faults)
    {
        GroupConfig value;
        value.service = segments[1];
        value.name = segments[3];
        std::set<std::string> names;
        for (const toml::table* table : reader.tables("members", maxMembers)) {
            FieldReader member(*table, "members[" + std::to_string(value.members.size()) + "].", path, faults);
            MemberConfig config;
            config.name = member.name("name");
            config.address = member.address("address");
            config.dataCentre = member.name("data_centre");
            config.region = member.name("region");
            member.rejectUnknownFields();
            if (!names.insert(config.name).second)
                member.fault("name", "is used twice in the group");
            value.members.push_back(std::move(config));
        }
        return value;
    }

    ConfigValue parseApproval(FieldReader& reader, const PathSegments&, std::string_view, std::vector<ConfigFault>&)
    {
        return ApprovalValue { reader.boolean("approved", std::nullopt) };
    }

    ConfigValue parseRoutes(FieldReader& reader, const PathSegments&, std::string_view, std::vector<ConfigFault>&)
    {
        RoutesValue value;
        for (const std::string& route : reader.textList("open")) {
            if (route != "read")
                reader.fault("open", "'" + route + "' is not a route; only \"read\" can be open");
            value.openReads = value.openReads || route == "read";
        }
        return value;
    }

    std::optional<RoleGrant> parseRole(std::string_view text)
    {
        if (text == "platform")
            return RoleGrant { OperatorRole::PlatformOperator, {} };
        const size_t colon = text.find(':');
        if (colon == std::string_view::npos || !isConfigName(text.substr(colon + 1)))
            return std::nullopt;
        const std::string subject(text.substr(colon + 1));
        if (text.substr(0, colon) == "team")
            return RoleGrant { OperatorRole::TeamOperator, subject };
        if (text.substr(0, colon) == "service")
            return RoleGrant { OperatorRole::BackendOwner, subject };
        return std::nullopt;
    }

    ConfigValue parseOperator(FieldReader& reader, const PathSegments&, std::string_view, std::vector<ConfigFault>&)
    {
        OperatorConfig value;
        value.digest = reader.digest();
        for (const std::string& text : reader.textList("roles")) {
            const std::optional<RoleGrant> role = parseRole(text);
            if (role)
                value.roles.push_back(*role);
            else
                reader.fault("roles", "'" + text + "' is not \"platform\", \"team:<team>\" or \"service:<service>\"");
        }
        return value;
    }

    ConfigValue parseHost(
        FieldReader& reader, const PathSegments& segments, std::string_view, std::vector<ConfigFault>&)
    {
        HostConfig value;
        value.name = segments[2];
        value.callerAddress = reader.address("caller_address");
        value.peerAddress = reader.address("peer_address");
        value.dataCentre = reader.name("data_centre");
        value.region = reader.name("region");
        return value;
    }

    ConfigValue parseTokenKeys(
        FieldReader& reader, const PathSegments&, std::string_view path, std::vector<ConfigFault>& faults)
    {
        TokenKeysValue value;
        std::set<uint32_t> ids;
        for (const toml::table* table : reader.tables("keys", 16)) {
            FieldReader key(*table, "keys[" + std::to_string(value.keys.size()) + "].", path, faults);
            TokenKey config;
            const double id = key.number("id", 1, 4294967295.0, std::nullopt);
            if (id != std::floor(id))
                key.fault("id", "must be a whole number");
            config.id = static_cast<uint32_t>(id);
            config.secret = key.text(
                "secret", [](std::string_view text) { return isHex(text, 64); }, "64 lower-case hexadecimal digits");
            key.rejectUnknownFields();
            if (!ids.insert(config.id).second)
                key.fault("id", "is used twice");
            value.keys.push_back(std::move(config));
        }
        return value;
    }

    struct PathKind {
        std::string_view pattern; ///< "*" matches any valid name.
        ParseFunction parse;
    };

    constexpr PathKind pathKinds[] = {
        { "teams/*/limits", parseLimits },
        { "teams/*/keys/*", parseKey },
        { "teams/*/services", parseServices },
        { "teams/*/cutoff", parseCutoff },
        { "services/*/groups/*", parseGroup },
        { "services/*/approvals/*", parseApproval },
        { "services/*/routes", parseRoutes },
        { "operators/*", parseOperator },
        { "fleet/hosts/*", parseHost },
        { "fleet/token_keys", parseTokenKeys },
    };

    bool matches(std::string_view pattern, const PathSegments& segments)
    {
        const PathSegments expected = splitConfigPath(pattern);
        if (expected.size() != segments.size())
            return false;
        for (size_t i = 0; i < segments.size(); ++i) {
            if (expected[i] == "*" ? !isConfigName(segments[i]) : expected[i] != segments[i])
                return false;
        }
        return true;
    }

    const PathKind* findKind(const PathSegments& segments)
    {
        const auto it = std::find_if(std::begin(pathKinds), std::end(pathKinds),
            [&](const PathKind& kind) { return matches(kind.pattern, segments); });
        return it == std::end(pathKinds) ? nullptr : it;
    }

    /// Visitor that writes one value into a snapshot; segments is the split path of the value.
    struct SnapshotWriter {
        ConfigSnapshot& snapshot;
        const PathSegments& segments;

        CustomerConfig& customer() const { return snapshot.customers[segments[1]]; }
        ServiceConfig& service() const { return snapshot.services[segments[1]]; }

        void operator()(const LimitsValue& value) const
        {
            customer().ratePerSecond = value.ratePerSecond;
            customer().burst = value.burst;
            customer().weight = value.weight;
        }
        void operator()(const KeyConfig& value) const { customer().keys[segments[3]] = value; }
        void operator()(const ServicesValue& value) const { customer().services = value.services; }
        void operator()(const CutoffValue& value) const
        {
            customer().cutoffMode = value.mode;
            customer().cutoffMaxAge = value.maxAge;
        }
        void operator()(const GroupConfig& value) const
        {
            service();
            snapshot.groups.emplace(value.name, value);
        }
        void operator()(const ApprovalValue& value) const
        {
            if (value.approved)
                service().approvedCustomers.insert(segments[3]);
            else
                service();
        }
        void operator()(const RoutesValue& value) const { service().openReads = value.openReads; }
        void operator()(const OperatorConfig& value) const { snapshot.operators[segments[1]] = value; }
        void operator()(const HostConfig& value) const { snapshot.hosts[segments[2]] = value; }
        void operator()(const TokenKeysValue& value) const { snapshot.tokenKeys = value.keys; }
    };

    void checkGroup(const ConfigSnapshot& snapshot, std::string_view path, const GroupConfig& group,
        std::vector<ConfigFault>& faults)
    {
        for (const std::pair<const std::string, GroupConfig>& other : snapshot.groups) {
            if (other.first == group.name) {
                if (other.second.service != group.service)
                    faults.push_back({ std::string(path), "group name is used by service " + other.second.service });
                continue;
            }
            for (const MemberConfig& otherMember : other.second.members) {
                const bool used = std::any_of(group.members.begin(), group.members.end(),
                    [&](const MemberConfig& groupMember) { return groupMember.name == otherMember.name; });
                if (used)
                    faults.push_back(
                        { std::string(path), "member name " + otherMember.name + " is used by group " + other.first });
            }
        }
    }

} // namespace

bool isConfigName(std::string_view text)
{
    return !text.empty() && text.size() <= Caps().maxNameBytes
        && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
}

std::vector<std::string> splitConfigPath(std::string_view path)
{
    std::vector<std::string> segments;
    for (size_t begin = 0;;) {
        const size_t end = path.find('/', begin);
        segments.emplace_back(path.substr(begin, end == std::string_view::npos ? end : end - begin));
        if (end == std::string_view::npos)
            return segments;
        begin = end + 1;
    }
}

std::vector<ConfigFault> checkConfigPath(std::string_view path)
{
    if (findKind(splitConfigPath(path)))
        return {};
    return { { std::string(path.substr(0, 256)), "is not a configuration path, or a name in it is not valid" } };
}

ParsedConfig parseConfig(std::string_view path, std::string_view toml)
{
    ParsedConfig parsed;
    parsed.faults = checkConfigPath(path);
    if (!parsed.faults.empty())
        return parsed;
    const PathSegments segments = splitConfigPath(path);
    try {
        const toml::table table = toml::parse(toml);
        FieldReader reader(table, {}, path, parsed.faults);
        ConfigValue value = findKind(segments)->parse(reader, segments, path, parsed.faults);
        reader.rejectUnknownFields();
        if (parsed.faults.empty())
            parsed.value = std::move(value);
    } catch (const toml::parse_error& error) {
        std::ostringstream reason;
        reason << "line " << error.source().begin.line << ": " << error.description();
        parsed.faults.push_back({ std::string(path), reason.str() });
    }
    return parsed;
}

std::vector<ConfigFault> checkAgainst(const ConfigSnapshot& snapshot, std::string_view path, const ConfigValue& value)
{
    std::vector<ConfigFault> faults;
    const PathSegments segments = splitConfigPath(path);
    if (const GroupConfig* group = std::get_if<GroupConfig>(&value))
        checkGroup(snapshot, path, *group, faults);
    if (std::holds_alternative<KeyConfig>(value)) {
        for (const std::pair<const std::string, CustomerConfig>& customer : snapshot.customers) {
            if (customer.first != segments[1] && customer.second.keys.count(segments[3]))
                faults.push_back({ std::string(path), "key id is used by another customer" });
        }
    }
    return faults;
}

void ConfigSnapshotBuilder::set(std::string_view path, std::optional<std::string_view> toml)
{
    const std::string key(path);
    m_faults.erase(key);
    if (!toml) {
        m_values.erase(key);
        return;
    }
    ParsedConfig parsed = parseConfig(path, *toml);
    if (parsed.value)
        m_values[key] = std::move(*parsed.value);
    else
        m_faults[key] = std::move(parsed.faults);
}

void ConfigSnapshotBuilder::reject(std::string_view path, std::string_view reason)
{
    m_faults[std::string(path)] = { { std::string(path), std::string(reason) } };
}

std::shared_ptr<const ConfigSnapshot> ConfigSnapshotBuilder::build(uint64_t revision) const
{
    std::shared_ptr<ConfigSnapshot> snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->revision = revision;
    for (const std::pair<const std::string, ConfigValue>& entry : m_values) {
        const PathSegments segments = splitConfigPath(entry.first);
        std::visit(SnapshotWriter { *snapshot, segments }, entry.second);
    }
    return snapshot;
}

std::vector<ConfigFault> ConfigSnapshotBuilder::faults() const
{
    std::vector<ConfigFault> all;
    for (const std::pair<const std::string, std::vector<ConfigFault>>& entry : m_faults)
        all.insert(all.end(), entry.second.begin(), entry.second.end());
    return all;
}

} // namespace plantainwall
