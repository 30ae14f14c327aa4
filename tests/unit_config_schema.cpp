#include "config_schema.h"
#include "config_schema_envelope.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

const std::string digest(64, 'a');

size_t faultCount(std::string_view path, const std::string& toml) { return parseConfig(path, toml).faults.size(); }

} // namespace

// Guards against a valid value being rejected and against only the first fault of a value being reported.
BOOST_AUTO_TEST_CASE(values_are_checked_completely)
{
    BOOST_TEST(faultCount("teams/hats/limits", "rate_per_s = 50\nburst = 100") == 0);
    BOOST_TEST(faultCount("teams/hats/limits", "rate_per_s = -1\nburst = 0\nwieght = 2") == 3);
    BOOST_TEST(faultCount("teams/hats/limits", "rate_per_s = ") == 1);
    BOOST_TEST(faultCount("teams/hats/limits", "rate_per_s = nan\nburst = inf") == 2);
    BOOST_TEST(faultCount("teams/hats/keys/k1", "digest = \"" + digest + "\"") == 0);
    BOOST_TEST(faultCount("teams/hats/keys/k1", "digest = \"AA\"\nwithdrawn = 1") == 2);
    BOOST_TEST(faultCount("teams/hats/services", "services = [\"ledger\", \"Bad Name\"]") == 1);
    BOOST_TEST(faultCount("teams/hats/cutoff", "mode = \"refuse\"") == 1);
    BOOST_TEST(faultCount("teams/hats/cutoff", "mode = \"refuse\"\nmax_age_s = 1") == 1);
    BOOST_TEST(faultCount("teams/hats/cutoff", "mode = \"serve\"") == 0);
    BOOST_TEST(faultCount("services/ledger/routes", "open = [\"write\"]") == 1);
    BOOST_TEST(faultCount("operators/ana", "digest = \"" + digest + "\"\nroles = [\"platform\", \"team:hats\"]") == 0);
    BOOST_TEST(faultCount("operators/ana", "digest = \"" + digest + "\"\nroles = [\"team:\"]") == 1);
    BOOST_TEST(faultCount("fleet/token_keys", "[[keys]]\nid = 1\nsecret = \"" + digest + "\"") == 0);
    BOOST_TEST(faultCount("services/ledger/groups/g1",
                   "[[members]]\nname = \"m\"\naddress = \"localhost:1\"\ndata_centre = \"d\"\nregion = \"r\"")
        == 1);
}

// Guards against names that add or change segments of a path.
BOOST_AUTO_TEST_CASE(paths_are_checked)
{
    for (const std::string path : { "teams/a/../limits", "teams//limits", "teams/A/limits", "teams/a/limits/x", "",
             "teams/a_b/limits", "fleet/other" })
        BOOST_TEST(checkConfigPath(path).size() == 1, path);
    BOOST_TEST(checkConfigPath("teams/" + std::string(65, 'a') + "/limits").size() == 1);
    BOOST_TEST(checkConfigPath("teams/" + std::string(64, 'a') + "/limits").empty());
}

// Guards against one unreadable entry invalidating the whole configuration or the previous value of its path.
BOOST_AUTO_TEST_CASE(a_faulty_entry_leaves_the_previous_value)
{
    ConfigSnapshotBuilder builder;
    builder.set("teams/hats/limits", "rate_per_s = 50\nburst = 100");
    builder.set("teams/gnomes/limits", "rate_per_s = 5\nburst = 10");
    builder.set("teams/hats/limits", "rate_per_s = \"many\"\nburst = 100");
    BOOST_TEST(builder.build(7)->customers.at("hats").ratePerSecond == 50);
    BOOST_TEST(builder.build(7)->customers.at("gnomes").burst == 10);
    BOOST_TEST(builder.faults().size() == 1);
    builder.set("teams/hats/limits", std::nullopt);
    BOOST_TEST(builder.build(8)->customers.count("hats") == 0);
    BOOST_TEST(builder.faults().empty());
}

// Guards against a group name, member name or key id that is used twice.
BOOST_AUTO_TEST_CASE(names_used_elsewhere_are_rejected)
{
    const std::string members
        = "[[members]]\nname = \"m1\"\naddress = \"http://127.0.0.1:1\"\ndata_centre = \"d\"\nregion = \"r\"";
    ConfigSnapshotBuilder builder;
    builder.set("services/ledger/groups/g1", members);
    builder.set("teams/hats/keys/k1", "digest = \"" + digest + "\"");
    const std::shared_ptr<const ConfigSnapshot> snapshot = builder.build(1);
    const ParsedConfig group = parseConfig("services/ledger/groups/g2", members);
    BOOST_TEST(checkAgainst(*snapshot, "services/ledger/groups/g2", *group.value).size() == 1);
    BOOST_TEST(
        checkAgainst(*snapshot, "services/ledger/groups/g1", *parseConfig("services/ledger/groups/g1", members).value)
            .empty());
    const ParsedConfig key = parseConfig("teams/gnomes/keys/k1", "digest = \"" + digest + "\"");
    BOOST_TEST(checkAgainst(*snapshot, "teams/gnomes/keys/k1", *key.value).size() == 1);
}

// Guards against the encoding of envelopes and batches losing a deletion or a revision.
BOOST_AUTO_TEST_CASE(envelopes_and_batches_are_reversible)
{
    ConfigEnvelope envelope { std::nullopt, "c1", "ana", "2026-01-01T00:00:00Z", 1ULL << 60, { "c1", "c0" } };
    const std::optional<ConfigEnvelope> decoded = decodeEnvelope(encodeEnvelope(envelope));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(!decoded->value);
    BOOST_TEST(decoded->baseRevision == 1ULL << 60);
    BOOST_TEST(decoded->contains("c0"));
    BOOST_TEST(!decodeEnvelope("{}"));
    ConfigBatch batch { 3, 9, true, Duration(5), { { "config/x", std::nullopt, 7 }, { "config/y", "v", 9 } } };
    const ConfigBatch copy = decodeBatch(encodeBatch(batch));
    BOOST_TEST(copy.entries.size() == 2);
    BOOST_TEST(!copy.entries[0].value);
    BOOST_TEST(copy.entries[1].revision == 9);
    BOOST_TEST(copy.full);
    BOOST_CHECK_THROW(decodeBatch("{\"from\":\"x\"}"), std::runtime_error);
}
