#include "settings.h"
#include "header_value.h"
#include "request_memory.h"
#include "settings_keys.h"
#include <algorithm>
#include <cctype>
#include <iomanip>
#include <sstream>
#include <toml++/toml.h>

namespace plantainwall {

namespace {

    struct InvalidValue {
        std::string message;
    };

    std::string numberText(double value)
    {
        std::ostringstream out;
        out << std::setprecision(12) << value;
        return out.str();
    }

    std::string limitText(SettingKind kind, double limit)
    {
        if (kind == SettingKind::Duration)
            return durationText(Duration(static_cast<int64_t>(limit)));
        if (kind == SettingKind::Bytes)
            return bytesText(static_cast<size_t>(limit));
        return numberText(limit);
    }

    /// Smallest memory of a machine, in bytes.
    constexpr size_t minMachineBytes = 32 * 1024 * 1024;

    void requireRange(const SettingKey& key, double value)
    {
        if (value >= key.min && value <= key.max)
            return;
        throw InvalidValue { "must be from " + limitText(key.kind, key.min) + " to " + limitText(key.kind, key.max) };
    }

    std::string textOf(const toml::node& node)
    {
        if (!node.is_string())
            throw InvalidValue { "must be a string" };
        return node.as_string()->get();
    }

    bool isName(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(),
            [](unsigned char c) { return c < 128 && (std::isalnum(c) != 0 || c == '-' || c == '_'); });
    }

    bool isDigest(const std::string& text)
    {
        return text.empty() || (text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string::npos);
    }

    void requireHttpUrl(const std::string& text)
    {
        constexpr std::string_view scheme = "http://";
        std::string address;
        uint16_t port = 0;
        if (text.compare(0, scheme.size(), scheme) != 0
            || !parseEndpoint(std::string_view(text).substr(scheme.size()), address, port))
            throw InvalidValue { "must be \"http://ip:port\"" };
    }

    /// Checks and stores a string. Error messages never contain the value, which may be a secret.
    void readString(const SettingKey& key, const toml::node& node, std::string& target)
    {
        const std::string text = textOf(node);
        const double length = static_cast<double>(text.size());
        if (key.max > 0 && (length < key.min || length > key.max))
            throw InvalidValue { "must have " + numberText(key.min) + " to " + numberText(key.max) + " characters" };
        if (key.kind == SettingKind::Name && !isName(text))
            throw InvalidValue { "must consist of letters, digits, \"-\" and \"_\"" };
        if (key.kind == SettingKind::HeaderValue && !isHeaderValue(text))
            throw InvalidValue { "must have no control characters and no blanks around it" };
        if (key.kind == SettingKind::LogLevel && text != "debug" && text != "info" && text != "warn" && text != "error")
            throw InvalidValue { "must be \"debug\", \"info\", \"warn\" or \"error\"" };
        if (key.kind == SettingKind::LogFormat && text != "json" && text != "text")
            throw InvalidValue { "must be \"json\" or \"text\"" };
        if (key.kind == SettingKind::Digest && !isDigest(text))
            throw InvalidValue { "must be 64 lower-case hexadecimal digits" };
        if (key.kind == SettingKind::Url)
            requireHttpUrl(text);
        target = text;
    }

    void readEndpoints(const SettingKey& key, const toml::node& node, std::vector<std::string>& target)
    {
        if (!node.is_array())
            throw InvalidValue { "must be an array of strings \"ip:port\"" };
        requireRange(key, static_cast<double>(node.as_array()->size()));
        for (const toml::node& item : *node.as_array()) {
            std::string address;
            uint16_t port = 0;
            if (!item.is_string() || !parseEndpoint(item.as_string()->get(), address, port))
                throw InvalidValue { "must contain only strings \"ip:port\"" };
            target.push_back(item.as_string()->get());
        }
    }

    /// Checks one value and stores it in the settings. Throws InvalidValue.
    struct ValueReader {
        const SettingKey& key;
        const toml::node& node;
        const Settings& settings;

        void operator()(std::string* target) const { readString(key, node, *target); }
        void operator()(std::vector<std::string>* target) const { readEndpoints(key, node, *target); }

        void operator()(EndpointTarget target) const
        {
            std::string address;
            if (!parseEndpoint(textOf(node), address, *target.port))
                throw InvalidValue { "must be \"ip:port\"" };
            if (target.address != nullptr)
                *target.address = address;
            else if (address != settings.listenAddress)
                throw InvalidValue { "must have the address of host.listen" };
        }

        void operator()(Duration* target) const
        {
            Duration value {};
            if (!node.is_string() || !parseDuration(node.as_string()->get(), value))
                throw InvalidValue { "must be a string with a unit (us, ms, s, m, h), for example \"250ms\"" };
            requireRange(key, static_cast<double>(value.count()));
            *target = value;
        }

        void operator()(size_t* target) const
        {
            if (key.kind == SettingKind::Integer || node.is_integer())
                *target = static_cast<size_t>(integer());
            else if (!node.is_string() || !parseBytes(node.as_string()->get(), *target))
                throw InvalidValue { "must be a number of bytes or a string with a unit (B, KiB, MiB, GiB)" };
            requireRange(key, static_cast<double>(*target));
        }

        void operator()(unsigned* target) const { *target = static_cast<unsigned>(integer()); }

        void operator()(double* target) const
        {
            if (!node.is_number())
                throw InvalidValue { "must be a number" };
            const double value = *node.value<double>();
            requireRange(key, value);
            *target = value;
        }

        int64_t integer() const
        {
            if (!node.is_integer())
                throw InvalidValue { "must be a whole number" };
            const int64_t value = node.as_integer()->get();
            requireRange(key, static_cast<double>(value));
            return value;
        }
    };

    class Loader {
    public:
        Loader(const std::string& file, SettingsResult& result)
            : m_file(file)
            , m_result(result)
            , m_keys(settingKeys(result.settings))
        {
        }

        void load(const toml::table& root)
        {
            readKeys(root);
            reportUnknown(root);
            checkRelations(root);
            std::stable_sort(m_result.faults.begin(), m_result.faults.end(),
                [](const SettingsFault& a, const SettingsFault& b) { return a.line < b.line; });
        }

        void fault(unsigned line, const std::string& path, const std::string& message)
        {
            m_result.faults.push_back({ m_file, line, path, message });
        }

    private:
        void readKeys(const toml::table& root)
        {
            for (const SettingKey& key : m_keys) {
                const toml::node* const table = root.get(key.table);
                const toml::node* const node
                    = table != nullptr && table->is_table() ? table->as_table()->get(key.name) : nullptr;
                if (node == nullptr) {
                    if (key.required)
                        fault(table != nullptr ? table->source().begin.line : 1, key.path(), "is required");
                    continue;
                }
                try {
                    std::visit(ValueReader { key, *node, m_result.settings }, key.target);
                } catch (const InvalidValue& invalid) {
                    fault(node->source().begin.line, key.path(), invalid.message);
                }
            }
        }

        void reportUnknown(const toml::table& root)
        {
            for (toml::table::const_iterator it = root.begin(); it != root.end(); ++it) {
                const std::string table(it->first.str());
                const toml::node& node = it->second;
                const bool known = std::any_of(
                    m_keys.begin(), m_keys.end(), [&table](const SettingKey& key) { return key.table == table; });
                if (!known)
                    fault(node.source().begin.line, table, "unknown key");
                else if (!node.is_table())
                    fault(node.source().begin.line, table, "must be a table");
                else
                    reportUnknownIn(table, *node.as_table());
            }
        }

        void reportUnknownIn(const std::string& table, const toml::table& keys)
        {
            for (toml::table::const_iterator it = keys.begin(); it != keys.end(); ++it) {
                const std::string path = table + '.' + std::string(it->first.str());
                const bool known = std::any_of(
                    m_keys.begin(), m_keys.end(), [&path](const SettingKey& key) { return key.path() == path; });
                if (!known)
                    fault(it->second.source().begin.line, path, "unknown key");
            }
        }

        void checkRelations(const toml::table& root)
        {
            const Settings& s = m_result.settings;
            if (s.request.defaultDeadline > s.request.maxDeadline)
                relationFault(root, "request.default_deadline", "must not be longer than request.max_deadline");
            if (s.membership.suspectAfter >= s.membership.deadAfter)
                relationFault(root, "membership.suspect_after", "must be shorter than membership.dead_after");
            if (s.limit.rateSliceRenewal * 2 > s.limit.rateSliceLease)
                relationFault(root, "limit.seat_renewal", "must be at most half of limit.seat_lease");
            const size_t minMemory = std::max(minMachineBytes, RequestMemory::machineBodies * s.http.maxBodyBytes);
            if (s.http.memoryBytes != 0 && s.http.memoryBytes < minMemory)
                relationFault(root, "http.memory", "must be 0 or at least " + bytesText(minMemory));
            if (s.listenPort != 0 && s.listenPort == s.peerPort)
                relationFault(root, "host.peer_listen", "must have another port than host.listen");
        }

        void relationFault(const toml::table& root, const std::string& path, const std::string& message)
        {
            const toml::node* node = root.at_path(path).node();
            if (node == nullptr) // Only the other key of the relation is set, so the fault is reported at the table.
                node = root.get(path.substr(0, path.find('.')));
            fault(node != nullptr ? node->source().begin.line : 1, path, message);
        }

        const std::string m_file;
        SettingsResult& m_result;
        const std::vector<SettingKey> m_keys;
    };

} // namespace

SettingsResult loadSettings(const std::string& path)
{
    SettingsResult result;
    Loader loader(path, result);
    try {
        loader.load(toml::parse_file(path));
    } catch (const toml::parse_error& error) {
        loader.fault(error.source().begin.line, "", std::string(error.description()));
    }
    return result;
}

std::string settingsFaultText(const SettingsFault& fault)
{
    std::string text = fault.file + ':' + std::to_string(fault.line) + ": ";
    if (!fault.path.empty())
        text += fault.path + ": ";
    return text + fault.message;
}

} // namespace plantainwall
