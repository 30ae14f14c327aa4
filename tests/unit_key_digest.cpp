#include "config_schema.h"
#include "filter_approval.h"
#include "filter_key.h"
#include "key_digest.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

class FakeConfig final : public ConfigView {
public:
    std::shared_ptr<const ConfigSnapshot> current() const override { return snapshot; }
    Duration age(Instant) const override { return configAge; }

    std::shared_ptr<const ConfigSnapshot> snapshot;
    Duration configAge {};
};

class LastFilter final : public Filter {
public:
    std::string_view name() const override { return "last"; }
    void handle(const RequestContextPtr& context, FilterChain&) override
    {
        receivedContext = context;
        context->finish(refusal(ResultCode::Ok));
    }
    RequestContextPtr receivedContext;
};

struct Fixture {
    Fixture()
    {
        const std::string members
            = "[[members]]\nname = \"m1\"\naddress = \"http://127.0.0.1:1\"\ndata_centre = \"d\"\nregion = \"r\"";
        builder.set("services/ledger/groups/g1", members);
        builder.set("services/ledger/approvals/hats", "approved = true");
        builder.set("teams/hats/services", "services = [\"ledger\"]");
        builder.set("teams/hats/keys/k1", "digest = \"" + keyDigest(key) + "\"");
        publish();
    }

    void publish() { config->snapshot = builder.build(++revision); }

    ResultCode run(const std::string& presentedKey, const std::function<void(RequestContext&)>& modify = {})
    {
        RequestContextPtr context = std::make_shared<RequestContext>();
        context->key = presentedKey;
        context->group = "g1";
        context->readOnly = true;
        if (modify)
            modify(*context);
        ResultCode code = ResultCode::Count;
        context->finish = [&](const MemberAnswer& answer) { code = answer.code; };
        FilterChain chain({ keyFilter, std::make_shared<ApprovalFilter>(), last });
        chain.next(context);
        return code;
    }

    std::string key = generateKey(keyPrefix, "k1");
    ConfigSnapshotBuilder builder;
    uint64_t revision = 0;
    std::shared_ptr<FakeConfig> config = std::make_shared<FakeConfig>();
    std::shared_ptr<KeyFilter> keyFilter = std::make_shared<KeyFilter>(config);
    std::shared_ptr<LastFilter> last = std::make_shared<LastFilter>();
};

} // namespace

// Guards against keys that repeat, do not parse or whose digest covers only part of them.
BOOST_AUTO_TEST_CASE(keys_are_random_and_parse)
{
    for (int n = 0; n < 200; ++n) {
        const std::string key = generateKey(keyPrefix, "k-1");
        const std::optional<KeyParts> parts = splitKey(keyPrefix, key);
        BOOST_REQUIRE(parts);
        BOOST_TEST(parts->id == "k-1");
        BOOST_TEST(parts->secret.size() == 43);
        BOOST_TEST(key != generateKey(keyPrefix, "k-1"));
    }
    BOOST_TEST(!splitKey(keyPrefix, "pw_k1_short"));
    BOOST_TEST(!splitKey(keyPrefix, generateKey(operatorPrefix, "k1")));
    BOOST_TEST(keyDigest("") == "0e5751c026e543b2e8ab2eb06099daa1d1e5df47778f7787faab45cdf12fe3a8");
    BOOST_TEST(!digestsEqual(absentDigest(), keyDigest("")));
}

// Guards against a key that is passed to later filters, and against accepting anything but the exact key.
BOOST_FIXTURE_TEST_CASE(only_the_exact_key_passes_and_is_removed, Fixture)
{
    BOOST_TEST((run(key) == ResultCode::Ok));
    BOOST_TEST(last->receivedContext->customer == "hats");
    BOOST_TEST(last->receivedContext->keyId == "k1");
    BOOST_TEST(last->receivedContext->service == "ledger");
    BOOST_TEST(last->receivedContext->key.empty());
    BOOST_TEST((run("") == ResultCode::KeyMissing));
    BOOST_TEST((run("nonsense") == ResultCode::KeyInvalid));
    BOOST_TEST((run(generateKey(keyPrefix, "k1")) == ResultCode::KeyInvalid));
    BOOST_TEST((run(generateKey(keyPrefix, "k2")) == ResultCode::KeyInvalid));
    BOOST_TEST((run(key + "x") == ResultCode::KeyInvalid));
    builder.set("teams/hats/keys/k1", "digest = \"" + keyDigest(key) + "\"\nwithdrawn = true");
    publish();
    BOOST_TEST((run(key) == ResultCode::KeyWithdrawn));
    BOOST_TEST((run(generateKey(keyPrefix, "k1")) == ResultCode::KeyInvalid));
    config->snapshot = nullptr;
    BOOST_TEST((run(key) == ResultCode::ConfigurationMissing));
}

// Guards against an open route that accepts writes, outcome lookups or wrong keys.
BOOST_FIXTURE_TEST_CASE(open_routes_are_for_reads_only, Fixture)
{
    builder.set("services/ledger/routes", "open = [\"read\"]");
    publish();
    BOOST_TEST((run("") == ResultCode::Ok));
    BOOST_TEST(last->receivedContext->customer.empty());
    BOOST_TEST((run("", [](RequestContext& context) { context.readOnly = false; }) == ResultCode::KeyMissing));
    BOOST_TEST((run("", [](RequestContext& context) { context.outcomeLookup = true; }) == ResultCode::KeyMissing));
    BOOST_TEST((run("", [](RequestContext& context) { context.group = "other"; }) == ResultCode::KeyMissing));
    BOOST_TEST((run(generateKey(keyPrefix, "k1")) == ResultCode::KeyInvalid));
}

// Guards against serving a customer although the service or the customer has not approved.
BOOST_FIXTURE_TEST_CASE(both_sides_must_approve, Fixture)
{
    BOOST_TEST((run(key, [](RequestContext& context) { context.group = "g2"; }) == ResultCode::GroupUnknown));
    const std::function<void(RequestContext&)> inTransaction = [](RequestContext& context) {
        context.step = TransactionStep::Continue;
        context.transaction = "host-1.m1.77";
    };
    BOOST_TEST((run(key, inTransaction) == ResultCode::Ok));
    builder.set("services/ledger/approvals/hats", "approved = false");
    publish();
    BOOST_TEST((run(key) == ResultCode::NotApproved));
    BOOST_TEST((run(key, inTransaction) == ResultCode::NotApproved));
    builder.set("services/ledger/approvals/hats", "approved = true");
    builder.set("teams/hats/services", "services = []");
    publish();
    BOOST_TEST((run(key) == ResultCode::NotApproved));
}

// Guards against serving a customer beyond its configured cutoff, and against a cutoff that the customer did not
// configure.
BOOST_FIXTURE_TEST_CASE(cutoff_applies_only_where_chosen, Fixture)
{
    config->configAge = std::chrono::seconds(61);
    BOOST_TEST((run(key) == ResultCode::Ok));
    builder.set("teams/hats/cutoff", "mode = \"refuse\"\nmax_age_s = 60");
    publish();
    BOOST_TEST((run(key) == ResultCode::ConfigurationTooOld));
    config->configAge = std::chrono::seconds(60);
    BOOST_TEST((run(key) == ResultCode::Ok));
}
