#include "settings.h"
#include "settings_keys.h"
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace plantainwall;

namespace {

const std::string sourceDirectory = std::string(PLANTAINWALL_BUILD_DIR) + "/..";

const std::string hostTable = R"([host]
name = "mill-1"
data_centre = "huon-mill"
region = "huon"
listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
store = "http://127.0.0.1:9000"
seed_peers = ["127.0.0.1:8091"]
peer_secret = "0123456789abcdef0123456789abcdef"
)";

SettingsResult load(const std::string& text)
{
    const std::string path = std::string(PLANTAINWALL_BUILD_DIR) + "/unit_settings." + std::to_string(getpid());
    std::ofstream(path) << text;
    SettingsResult result = loadSettings(path);
    unlink(path.c_str());
    return result;
}

/// Returns "line path" of each fault.
std::vector<std::string> faultPlaces(const std::string& text)
{
    std::vector<std::string> places;
    for (const SettingsFault& fault : load(text).faults)
        places.push_back(std::to_string(fault.line) + ' ' + fault.path);
    return places;
}

std::string quoted(const std::string& text) { return '"' + text + '"'; }

struct DefaultText {
    const SettingKey& key;

    std::string operator()(const std::string* v) const { return quoted(*v); }
    std::string operator()(const std::vector<std::string>*) const { return "[]"; }
    std::string operator()(EndpointTarget) const { return ""; }
    std::string operator()(const Duration* v) const { return quoted(durationText(*v)); }
    std::string operator()(const size_t* v) const
    {
        return key.kind == SettingKind::Bytes ? quoted(bytesText(*v)) : std::to_string(*v);
    }
    std::string operator()(const unsigned* v) const { return std::to_string(*v); }
    std::string operator()(const double* v) const { return number(*v); }

    static std::string number(double v)
    {
        std::ostringstream out;
        out.precision(10);
        out << v;
        return out.str();
    }
};

struct KindText {
    std::string_view name;
    bool range;
};

constexpr KindText kindTexts[] = { { "string, characters:", true }, { "name, characters:", true },
    { "header value, characters:", true }, { "`debug`, `info`, `warn`, `error`", false }, { "`json`, `text`", false },
    { "64 lower-case hexadecimal digits, or empty", false }, { "`http://ip:port`", false }, { "`ip:port`", false },
    { "array of `ip:port`, length:", true }, { "duration", true }, { "size", true }, { "whole number", true },
    { "number", true } };
static_assert(sizeof(kindTexts) / sizeof(kindTexts[0]) == static_cast<size_t>(SettingKind::Count), "one for each");

std::string limitText(const SettingKey& key, double limit)
{
    if (key.kind == SettingKind::Duration)
        return durationText(Duration(static_cast<int64_t>(limit)));
    return key.kind == SettingKind::Bytes ? bytesText(static_cast<size_t>(limit)) : DefaultText::number(limit);
}

std::string pageRow(const SettingKey& key)
{
    const KindText& kind = kindTexts[static_cast<size_t>(key.kind)];
    std::string row = "| `" + key.path() + "` | " + std::string(kind.name);
    if (kind.range)
        row += ' ' + limitText(key, key.min) + " to " + limitText(key, key.max);
    row += " | " + (key.required ? "required" : '`' + std::visit(DefaultText { key }, key.target) + '`');
    return row + " | " + std::string(key.meaning) + " |";
}

} // namespace

// Guards against a key whose value is stored in the wrong member.
BOOST_AUTO_TEST_CASE(values_reach_their_settings)
{
    const SettingsResult result = load(hostTable + R"(
[http]
max_head = "32KiB"
max_body = 4096
memory = "64MiB"
idle_timeout = "2m"
[group]
probe_interval = "100ms"
[limit]
seats = 24
unconditional_part = 0.25
[queue]
max_queued_per_customer = 8
[log]
level = "debug"
format = "text"
[trace]
file = "/tmp/spans"
[operator]
bootstrap_digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
)");
    for (const SettingsFault& fault : result.faults)
        BOOST_ERROR(settingsFaultText(fault));
    const Settings& s = result.settings;
    BOOST_TEST(s.host == "mill-1");
    BOOST_TEST(s.listenAddress == "127.0.0.1");
    BOOST_TEST(s.listenPort == 8080);
    BOOST_TEST(s.peerPort == 8081);
    BOOST_TEST(s.seedPeers.size() == 1U);
    BOOST_TEST(s.http.maxHeadBytes == 32768U);
    BOOST_TEST(s.http.maxBodyBytes == 4096U);
    BOOST_TEST(s.http.memoryBytes == 64U * 1024 * 1024);
    BOOST_TEST((s.http.idleTimeout == std::chrono::minutes(2)));
    BOOST_TEST((s.group.probeInterval == std::chrono::milliseconds(100)));
    BOOST_TEST(s.limit.rateSlices == 24U);
    BOOST_TEST(s.limit.unconditionalFraction == 0.25);
    BOOST_TEST(s.queue.maxQueuedPerCustomer == 8U);
    BOOST_TEST(s.logLevel == "debug");
    BOOST_TEST(s.logFormat == "text");
    BOOST_TEST(s.traceFile == "/tmp/spans");
    BOOST_TEST(s.bootstrapOperatorDigest.size() == 64U);
}

// Guards against defaults outside the range of their key, and against two keys with the same target.
BOOST_AUTO_TEST_CASE(defaults_pass_their_checks)
{
    std::string text = hostTable;
    std::string_view table = "host";
    Settings defaults;
    for (const SettingKey& key : settingKeys(defaults)) {
        if (key.required || key.name == "seed_peers")
            continue;
        if (key.table != table)
            text += '[' + std::string(key.table) + "]\n";
        table = key.table;
        text += std::string(key.name) + " = " + std::visit(DefaultText { key }, key.target) + '\n';
    }
    for (const SettingsFault& fault : load(text).faults)
        BOOST_ERROR(settingsFaultText(fault));
}

// Guards against loading that stops at the first fault, and against faults without line and path.
BOOST_AUTO_TEST_CASE(every_fault_is_reported_with_its_place)
{
    const std::vector<std::string> expected { "1 host.region", "2 host.name", "3 host.data_centre", "4 host.listen",
        "5 host.peer_listen", "6 host.store", "7 host.peer_secret", "8 host.threads", "9 host.seed_peers",
        "10 host.nam", "12 http.max_head", "13 http.head_timeout", "14 http.body_timeout", "15 http.idle_timeout",
        "16 http.max_connections", "18 log.level", "19 unknown", "22 membership.suspect_after",
        "24 limit.unconditional_part" };
    BOOST_TEST(faultPlaces(R"([host]
name = "a.b"
data_centre = 5
listen = "localhost:80"
peer_listen = "127.0.0.2:80"
store = "https://127.0.0.1:9000"
peer_secret = "short"
threads = 0
seed_peers = ["127.0.0.1"]
nam = "a"
[http]
max_head = "16KB"
head_timeout = 5
body_timeout = "5 s"
idle_timeout = "99999999999999999999s"
max_connections = 1.5
[log]
level = "trace"
[unknown]
key = 1
[membership]
suspect_after = "10s"
[limit]
unconditional_part = nan
)") == expected,
        boost::test_tools::per_element());
    BOOST_TEST(faultPlaces("[host]\nname = \n") == std::vector<std::string> { "2 " }, boost::test_tools::per_element());
    BOOST_TEST(faultPlaces("host = 1\n").size() > 1U);
    BOOST_TEST(loadSettings("/nonexistent/file.toml").faults.size() == 1U);
}

// Guards against a credential that a backend server reads as another one, or as a header more.
BOOST_AUTO_TEST_CASE(credentials_can_be_sent_in_a_header)
{
    const auto loadWith = [](const std::string& credential) {
        return load(hostTable + "backend_credential = \"" + credential + "\"\n");
    };
    for (const std::string credential : { "", "a", "a b", "dXNlcjpw+/==", "m\\u00fchle", "\\\\\\\"" })
        BOOST_TEST(loadWith(credential).faults.empty(), credential);
    BOOST_TEST(loadWith("a b").settings.backendCredential == "a b");
    for (const std::string credential : { " ", " a", "a ", "a\\t", "a\\r\\nX: y", "a\\n", "a\\u0000", "\\u007f" }) {
        const SettingsResult result = loadWith(credential);
        BOOST_TEST(result.faults.size() == 1U, credential);
        for (const SettingsFault& fault : result.faults)
            BOOST_TEST(settingsFaultText(fault).find(":10: host.backend_credential: must") != std::string::npos);
    }
}

// Guards against a memory in which a body of the largest size never fits.
BOOST_AUTO_TEST_CASE(memory_has_room_for_the_largest_body)
{
    const std::string http = std::string(hostTable) + "[http]\nmax_body = \"2MiB\"\nmemory = ";
    for (const char* const memory : { "0\n", "\"48MiB\"\n", "\"1GiB\"\n" })
        BOOST_TEST(load(http + memory).faults.empty(), memory);
    for (const char* const memory : { "1\n", "\"47MiB\"\n" }) {
        const std::vector<SettingsFault> faults = load(http + memory).faults;
        BOOST_REQUIRE(faults.size() == 1U);
        BOOST_TEST(faults.front().path == "http.memory");
        BOOST_TEST(faults.front().message == "must be 0 or at least 48MiB");
    }
}

// Guards against fault messages that contain a secret, which would then appear in logs.
BOOST_AUTO_TEST_CASE(messages_do_not_contain_values)
{
    for (const SettingsFault& fault : load("[host]\npeer_secret = \"only-31-characters-of-secret-xx\"\n").faults)
        BOOST_TEST(settingsFaultText(fault).find("of-secret") == std::string::npos);
}

// Guards against documentation that differs from the keys, and against examples that do not load.
BOOST_AUTO_TEST_CASE(page_and_examples_match_the_keys)
{
    std::ostringstream page;
    page << std::ifstream(sourceDirectory + "/docs/settings.md").rdbuf();
    Settings defaults;
    std::string rows = "| key | value | default | meaning |\n|---|---|---|---|\n";
    for (const SettingKey& key : settingKeys(defaults))
        rows += pageRow(key) + '\n';
    BOOST_TEST(page.str().find(rows + '\n') != std::string::npos, "docs/settings.md must contain:\n" << rows);
    for (const char* name : { "huon-mill-1.toml", "santiago-a-1.toml" }) {
        const SettingsResult result = loadSettings(sourceDirectory + "/docs/examples/" + name);
        for (const SettingsFault& fault : result.faults)
            BOOST_ERROR(settingsFaultText(fault));
    }
}
