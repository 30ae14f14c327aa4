#include "gateway_settings_file.h"
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace plantainwall;

namespace {

GatewaySettingsResult load(const std::string& text)
{
    const std::string path = "/tmp/gateway-settings-" + std::to_string(::getpid()) + ".toml";
    std::ofstream(path) << text;
    GatewaySettingsResult result = loadGatewaySettings(path);
    std::remove(path.c_str());
    return result;
}

const std::string complete = R"([gateway]
host = "mill-1"
data_centre = "mill"
region = "huon"
caller_listen = "10.1.0.26:8465"
status_listen = "10.1.0.26:8460"
peer_listen = "10.1.0.26:7560"
peer_advertise = "10.9.0.26:17560"
store = "10.200.1.7:8466"
promotions = ""
store_min_lease = "2500ms"
drain_limit = "7000ms"
shutdown_grace = "6s"
max_descriptors = 4300
large_fleet = 30
even_load = true
urgency = true
prefer_near_servers = true
local_distribution = true
[regions]
"mill" = "huon"
)";

} // namespace

BOOST_AUTO_TEST_CASE(complete_file_is_read)
{
    const GatewaySettingsResult result = load(complete);
    BOOST_TEST(result.faults.empty());
    BOOST_TEST(result.settings.host == "mill-1");
    BOOST_TEST(result.settings.peerAdvertised == "10.9.0.26:17560");
    BOOST_TEST((result.settings.storeMinLease == std::chrono::milliseconds(2500)));
    BOOST_TEST((result.settings.drainLimit == std::chrono::seconds(7)));
    BOOST_TEST(result.settings.maxDescriptors == 4300U);
    BOOST_TEST(result.settings.largeFleet == 30U);
    BOOST_TEST(result.settings.evenLoad);
    BOOST_TEST(result.settings.urgency);
    BOOST_TEST(result.settings.preferNear);
    BOOST_TEST(result.settings.localDistribution);
    BOOST_TEST(!GatewaySettings().preferNear);
    BOOST_TEST(!GatewaySettings().localDistribution);
    BOOST_TEST(result.settings.regionOfDataCentre.at("mill") == "huon");
}

BOOST_AUTO_TEST_CASE(memory_is_a_size)
{
    const std::string text = complete;
    const auto loadWith = [&](const std::string& value) {
        const size_t at = text.find("max_descriptors");
        return load(text.substr(0, at) + "memory = " + value + "\n" + text.substr(at));
    };
    BOOST_TEST(load(text).settings.memoryBytes == 0U);
    BOOST_TEST(loadWith("\"260MiB\"").settings.memoryBytes == 260U * 1024 * 1024);
    BOOST_TEST(loadWith("272629760").settings.memoryBytes == 272629760U);
    for (const char* value : { "\"1MiB\"", "-1", "\"much\"", "true", "\"\"" })
        BOOST_TEST(loadWith(value).faults.size() == 1U, value);
}

BOOST_AUTO_TEST_CASE(every_fault_is_reported_with_its_line)
{
    const GatewaySettingsResult result
        = load("[gateway]\nhost = \"\"\ncaller_listen = \"here\"\ndrain_limit = 7\nurgency = 1\ncolour = \"red\"\n");
    std::vector<std::string> texts;
    for (const SettingsFault& fault : result.faults)
        texts.push_back(settingsFaultText(fault));
    const auto has = [&](const std::string& part) {
        for (const std::string& text : texts) {
            if (text.find(part) != std::string::npos)
                return true;
        }
        return false;
    };
    BOOST_TEST(has(":2: gateway.host: must not be empty"));
    BOOST_TEST(has(":3: gateway.caller_listen: must be"));
    BOOST_TEST(has(":4: gateway.drain_limit: must be a string with a unit"));
    BOOST_TEST(has(":5: gateway.urgency: must be true or false"));
    BOOST_TEST(has(":6: gateway.colour: unknown key"));
    BOOST_TEST(has("gateway.store: is required"));
    BOOST_TEST(load("not toml [").faults.size() == 1U);
    BOOST_TEST(load("").faults.size() == 1U);
}

// The name of a host becomes a part of keys, of texts that are split at blanks, and of a header.
BOOST_AUTO_TEST_CASE(names_of_hosts_can_be_carried)
{
    const std::string field = R"("mill-1")";
    const auto loadWith = [&](const std::string& name) {
        std::string text = complete;
        return load(text.replace(text.find(field), field.size(), '"' + name + '"'));
    };
    for (const std::string name : { "frontend-huon-mill-1", "a", "9", "-a", "host_1.mill", "h:1/2@x", "a\\\"b", "{a}",
             "a!?", "--", "._", "m\\u00fchle" }) {
        const GatewaySettingsResult result = loadWith(name);
        BOOST_TEST(result.faults.empty(), name);
    }
    BOOST_TEST(loadWith("frontend-huon-mill-1").settings.host == "frontend-huon-mill-1");
    BOOST_TEST(loadWith(std::string(128, 'a')).faults.empty());
    for (const std::string name : { "mill 1", " mill", "mill ", "mill\\n1", "mill\\r\\nX: y", "a\\tb", "a\\u000bb",
             "a\\u0000", "a\\u007f", "-" }) {
        const GatewaySettingsResult result = loadWith(name);
        BOOST_TEST(result.faults.size() == 1U, name);
        for (const SettingsFault& fault : result.faults)
            BOOST_TEST(settingsFaultText(fault).find(":2: gateway.host: must") != std::string::npos);
    }
    BOOST_TEST(loadWith(std::string(129, 'a')).faults.size() == 1U);
    // Only texts of their own within messages between hosts.
    std::string text = complete;
    for (const std::string name : { R"("mill")", R"("huon")" }) {
        for (size_t at = text.find(name); at != std::string::npos; at = text.find(name, at))
            text.replace(at, name.size(), "\"m\u00fchle \\n" + name.substr(1));
    }
    BOOST_TEST(load(text).faults.empty());
    BOOST_TEST(load(text).settings.dataCentre == "m\u00fchle \nmill");
}
