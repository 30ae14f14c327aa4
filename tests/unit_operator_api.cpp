// Must precede cpprestsdk, which defines a macro U that Boost uses as a name.
#include <boost/test/unit_test.hpp>

#include "cli_operator.h"
#include "cli_operator_client.h"
#include "controller_config.h"
#include "key_digest.h"
#include "operator_api.h"
#include <CLI/CLI.hpp>
#include <atomic>
#include <thread>

using namespace plantainwall;
using namespace std::chrono_literals;
using web::json::value;

namespace {

Instant steadyNow()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

class FakeStore final : public Store {
public:
    pplx::task<std::optional<StoreEntry>> get(std::string_view key) override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (down)
            return pplx::task_from_exception<std::optional<StoreEntry>>(CallFailed(SendState::NotSent, "down"));
        const auto it = m_entries.find(std::string(key));
        std::optional<StoreEntry> found;
        if (it != m_entries.end())
            found = it->second;
        return pplx::task_from_result(found);
    }

    pplx::task<StoreListing> list(std::string_view) override { return pplx::task_from_result(listing(0)); }

    pplx::task<SwapResult> compareAndSwap(
        std::string_view key, uint64_t expected, std::optional<std::string> newValue, std::string_view) override
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        ++swaps;
        StoreEntry& entry = m_entries[std::string(key)];
        if (entry.revision != expected)
            return pplx::task_from_result(SwapResult { false, entry.revision });
        if (consumeLoss(loseRequests))
            return pplx::task_from_exception<SwapResult>(CallFailed(SendState::MaybeSent, "lost"));
        ++applied;
        entry = { std::string(key), std::move(newValue), ++m_revision };
        const bool lost = consumeLoss(loseAnswers);
        const SwapResult result { true, entry.revision };
        down = down || (lost && failAfterLoss);
        lock.unlock();
        answerWatches();
        if (lost)
            return pplx::task_from_exception<SwapResult>(CallFailed(SendState::MaybeSent, "lost"));
        return pplx::task_from_result(result);
    }

    pplx::task<StoreListing> watch(std::string_view, uint64_t after, Duration) override
    {
        const pplx::task_completion_event<StoreListing> event;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_watches.emplace_back(after, event);
        }
        answerWatches();
        return pplx::create_task(event);
    }

    pplx::task<std::string> grantLease(Duration) override { return pplx::task_from_result(std::string()); }
    pplx::task<bool> renewLease(std::string_view) override { return pplx::task_from_result(false); }
    pplx::task<void> revokeLease(std::string_view) override { return pplx::task_from_result(); }
    pplx::task<std::vector<PlatformHost>> hosts() override
    {
        return pplx::task_from_result(std::vector<PlatformHost>());
    }

    std::atomic<bool> down { false };
    std::atomic<bool> failAfterLoss { false };
    std::atomic<int> loseRequests { 0 };
    std::atomic<int> loseAnswers { 0 };
    std::atomic<int> swaps { 0 };
    std::atomic<int> applied { 0 };

private:
    static bool consumeLoss(std::atomic<int>& count) { return count > 0 && count-- > 0; }

    StoreListing listing(uint64_t after)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        StoreListing result { m_revision, {} };
        for (const std::pair<const std::string, StoreEntry>& entry : m_entries) {
            if (entry.second.revision > after)
                result.entries.push_back(entry.second);
        }
        return result;
    }

    void answerWatches()
    {
        std::vector<std::pair<uint64_t, pplx::task_completion_event<StoreListing>>> due;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            const auto end = std::partition(m_watches.begin(), m_watches.end(),
                [this](const std::pair<uint64_t, pplx::task_completion_event<StoreListing>>& watch) {
                    return watch.first >= m_revision;
                });
            due.assign(end, m_watches.end());
            m_watches.erase(end, m_watches.end());
        }
        for (const std::pair<uint64_t, pplx::task_completion_event<StoreListing>>& watch : due)
            watch.second.set(listing(watch.first));
    }

    std::mutex m_mutex;
    std::map<std::string, StoreEntry> m_entries;
    uint64_t m_revision = 0;
    std::vector<std::pair<uint64_t, pplx::task_completion_event<StoreListing>>> m_watches;
};

/// A cluster of two hosts in one data centre; "a" is the only relay.
class FakeCluster final : public ClusterView {
public:
    explicit FakeCluster(std::string self)
        : m_self(std::move(self))
    {
    }
    std::string_view selfName() const override { return m_self; }
    std::vector<HostInfo> hosts() const override { return { host("a"), host("b") }; }
    std::optional<HostInfo> ownerOf(std::string_view, const MemberConfig&) const override { return std::nullopt; }
    std::optional<HostInfo> hostFor(std::string_view, std::string_view) const override { return host("a"); }

private:
    static HostInfo host(const std::string& name)
    {
        HostInfo info;
        info.config.name = name;
        info.config.dataCentre = "mill";
        return info;
    }
    std::string m_self;
};

class FakePeers final : public ConfigPeers {
public:
    pplx::task<std::string> fetchSince(std::string_view host, std::string request) override
    {
        const std::shared_ptr<ConfigController> peer = find(host);
        return pplx::create_task([peer, request] {
            if (!peer)
                throw std::runtime_error("no such host");
            return peer->handleFetch(request);
        });
    }
    pplx::task<void> push(std::string_view host, std::string request) override
    {
        const std::shared_ptr<ConfigController> peer = find(host);
        return pplx::create_task([peer, request] {
            if (peer)
                peer->handlePush(request);
        });
    }

    std::map<std::string, std::weak_ptr<ConfigController>, std::less<>> controllers;

private:
    std::shared_ptr<ConfigController> find(std::string_view host)
    {
        const auto it = controllers.find(host);
        return it == controllers.end() ? nullptr : it->second.lock();
    }
};

/// Calls the operator interface in the same process; drops the next loseAnswers answers.
class ApiCaller final : public HttpCaller {
public:
    explicit ApiCaller(std::shared_ptr<OperatorApi> api)
        : m_api(std::move(api))
    {
    }
    pplx::task<HttpReply> call(HttpCall call) override
    {
        OperatorApi::Headers headers;
        headers["authorization"] = call.headers["Authorization"];
        const OperatorReply reply = m_api->handle(call.method, call.path, headers, call.body).get();
        HttpReply result;
        if (loseAnswers > 0) {
            --loseAnswers;
            result.sendState = SendState::MaybeSent;
            result.error = "connection lost";
            return pplx::task_from_result(result);
        }
        result.sendState = SendState::Answered;
        result.status = reply.status;
        result.body = reply.body;
        return pplx::task_from_result(result);
    }
    int loseAnswers = 0;

private:
    std::shared_ptr<OperatorApi> m_api;
};

struct CommandResult {
    int exitCode = 0;
    std::string out;
    std::string error;
};

struct Fixture {
    Fixture()
    {
        a = makeController("a");
        b = makeController("b");
        peers->controllers["a"] = a;
        peers->controllers["b"] = b;
        b->onSnapshot([this](const ConfigChange& change) {
            std::lock_guard<std::mutex> lock(changeMutex);
            for (const CustomerKey& key : change.keysWithdrawn)
                withdrawn.push_back(key.customer + "/" + key.keyId);
            for (const CustomerService& approval : change.approvalsWithdrawn)
                withdrawn.push_back(approval.customer + "->" + approval.service);
        });
        a->start();
        b->start();
        OperatorApiOptions options;
        options.bootstrapDigest = keyDigest(bootstrap);
        options.clock = steadyNow;
        options.retryDelay = 1ms;
        options.audit = [this](const AuditRecord& record) {
            audited.push_back(record.author + " " + record.action + " " + record.path);
        };
        api = std::make_shared<OperatorApi>(options, store, b, scheduler);
        caller = std::make_shared<ApiCaller>(api);
        BOOST_REQUIRE(eventually([this] { return a->current() && b->current(); }));
    }

    ~Fixture()
    {
        a->stop();
        b->stop();
    }

    std::shared_ptr<ConfigController> makeController(const std::string& name)
    {
        ConfigControllerOptions options;
        options.dataCentre = "mill";
        options.clock = steadyNow;
        return std::make_shared<ConfigController>(
            options, store, peers, std::make_shared<FakeCluster>(name), scheduler);
    }

    static bool eventually(const std::function<bool()>& condition)
    {
        for (int n = 0; n < 300 && !condition(); ++n)
            std::this_thread::sleep_for(10ms);
        return condition();
    }

    value request(const std::string& method, const std::string& target, const std::string& body, int status,
        const std::string& credential)
    {
        const OperatorReply reply
            = api->handle(method, "/operator/v1/" + target, { { "authorization", "Bearer " + credential } }, body)
                  .get();
        BOOST_TEST(reply.status == status, method << " " << target << ": " << reply.body);
        return value::parse(reply.body);
    }

    value put(const std::string& path, uint64_t revision, const std::string& changeId, int status,
        const std::string& text = "rate_per_s = 5\nburst = 10", const std::string& credential = {})
    {
        value body = value::object();
        body["value"] = value::string(text);
        body["expected_revision"] = value::number(revision);
        body["change_id"] = value::string(changeId);
        return request("PUT", "config/" + path, body.serialize(), status, credential.empty() ? bootstrap : credential);
    }

    CommandResult run(const std::vector<std::string>& arguments, const std::string& credential = {})
    {
        setenv("PLANTAINWALL_OPERATOR", (credential.empty() ? bootstrap : credential).c_str(), 1);
        setenv("PLANTAINWALL_SERVER", "http://127.0.0.1:1", 1);
        CLI::App app;
        std::ostringstream out;
        std::ostringstream error;
        addOperatorCommands(app, { [this](const std::string&) { return caller; }, [](Duration) {}, &out, &error });
        std::vector<const char*> argv { "plantainwall" };
        for (const std::string& argument : arguments)
            argv.push_back(argument.c_str());
        const int exitCode = runCommandLine(app, static_cast<int>(argv.size()), argv.data());
        return { exitCode, out.str(), error.str() };
    }

    OperatorClient client()
    {
        return { caller, bootstrap, [](Duration) {} };
    }

    std::string bootstrap = generateKey(operatorPrefix, "root");
    std::shared_ptr<Scheduler> scheduler = makeScheduler();
    std::shared_ptr<FakeStore> store = std::make_shared<FakeStore>();
    std::shared_ptr<FakePeers> peers = std::make_shared<FakePeers>();
    std::shared_ptr<ConfigController> a;
    std::shared_ptr<ConfigController> b;
    std::shared_ptr<OperatorApi> api;
    std::shared_ptr<ApiCaller> caller;
    std::vector<std::string> audited;
    std::mutex changeMutex;
    std::vector<std::string> withdrawn;
};

} // namespace

// Guards against two concurrent changes of a path where the second overwrites the first, or where its refusal does not
// name the revision and author that won.
BOOST_FIXTURE_TEST_CASE(a_conflict_names_the_winner, Fixture)
{
    const value first = put("teams/hats/limits", 0, "c1", 200);
    const value second = put("teams/hats/limits", 0, "c2", 409);
    BOOST_TEST(second.at("winning_revision").as_integer() == first.at("revision").as_integer());
    BOOST_TEST(second.at("winning_author").as_string() == "bootstrap");
    BOOST_TEST(eventually([this] { return a->current()->customers.count("hats") == 1; }));
}

// Guards against a change whose store answer was lost being reported as failed or applied twice.
BOOST_FIXTURE_TEST_CASE(a_lost_store_answer_is_looked_up, Fixture)
{
    store->loseAnswers = 1;
    BOOST_TEST(put("teams/hats/limits", 0, "c1", 200).at("applied").as_bool());
    BOOST_TEST(store->applied == 1);
    store->loseRequests = 1;
    BOOST_TEST(put("teams/gnomes/limits", 0, "c2", 200).at("applied").as_bool());
    BOOST_TEST(store->applied == 2);
    // The operator's tool retries a change whose answer was lost, after another change of the same path.
    const uint64_t revision = put("teams/hats/limits", 1, "c3", 200).at("revision").as_number().to_uint64();
    BOOST_TEST(put("teams/hats/limits", 0, "c1", 200).at("revision").as_number().to_uint64() == revision);
    BOOST_TEST(store->applied == 3);
    BOOST_TEST(audited.size() == 3);
    // The store fails before the change id can be looked up, so the answer must report an unknown outcome.
    store->failAfterLoss = true;
    store->loseAnswers = 1;
    const value unknown = put("teams/other/limits", 0, "c4", 503);
    BOOST_TEST(unknown.at("applied").is_null());
    BOOST_TEST(unknown.at("run").as_string() == "unknown");
    BOOST_TEST(put("teams/third/limits", 0, "c5", 503).at("run").as_string() == "not_run");
    store->down = false;
    BOOST_TEST(request("GET", "config/teams/other/limits?change_id=c4", "", 200, bootstrap).at("applied").as_bool());
}

// Guards against the acceptance of values that hosts cannot use.
BOOST_FIXTURE_TEST_CASE(values_are_checked_before_acceptance, Fixture)
{
    const value refused = put("teams/hats/limits", 0, "c1", 422, "rate_per_s = -1\nburst = 0");
    BOOST_TEST(refused.at("faults").size() == 2);
    put("teams/../limits", 0, "c1", 422);
    put("teams/hats/limits", 0, "bad id", 400);
    request("PUT", "config/teams/hats/limits", "{", 400, bootstrap);
    request(
        "PUT", "config/teams/hats/limits", R"({"value":"x","change_id":"c","expected_revision":-1})", 400, bootstrap);
    BOOST_TEST(store->swaps == 0);
}

// Guards against operators with access beyond their roles, and against a bootstrap credential that stays valid after
// the first operator exists.
BOOST_FIXTURE_TEST_CASE(roles_limit_operators, Fixture)
{
    const std::string hats = generateKey(operatorPrefix, "ana");
    const std::string ledger = generateKey(operatorPrefix, "ben");
    put("operators/ana", 0, "c1", 200, "digest = \"" + keyDigest(hats) + "\"\nroles = [\"team:hats\"]");
    BOOST_REQUIRE(eventually([this] { return b->current()->operators.size() == 1; }));
    put("operators/ben", 0, "c2", 401);
    put("teams/hats/limits", 0, "c3", 200, "rate_per_s = 5\nburst = 10", hats);
    put("teams/hats2/limits", 0, "c4", 403, "rate_per_s = 5\nburst = 10", hats);
    put("services/ledger/approvals/hats", 0, "c5", 403, "approved = true", hats);
    put("operators/ana", 1, "c6", 403, "digest = \"" + keyDigest(hats) + "\"\nroles = [\"platform\"]", hats);
    request("GET", "config/fleet/token_keys", "", 403, hats);
    request("GET", "config/teams/hats/limits", "", 401, ledger);
    request("GET", "config/teams/hats/limits", "", 401, generateKey(operatorPrefix, "ana"));
    BOOST_TEST(request("GET", "list?prefix=", "", 200, hats).at("entries").size() == 1);
    BOOST_TEST(audited.back() == "ana set teams/hats/limits");
}

// Guards against the operator interface returning the secrets of token keys.
BOOST_FIXTURE_TEST_CASE(secrets_are_not_shown, Fixture)
{
    const std::string secret(64, 'e');
    put("fleet/token_keys", 0, "c1", 200, "[[keys]]\nid = 1\nsecret = \"" + secret + "\"");
    BOOST_REQUIRE(eventually([this] { return b->current()->tokenKeys.size() == 1; }));
    BOOST_TEST(
        request("GET", "config/fleet/token_keys", "", 200, bootstrap).serialize().find(secret) == std::string::npos);
    BOOST_TEST(request("GET", "list?prefix=", "", 200, bootstrap).serialize().find(secret) == std::string::npos);
}

// Guards against an argument that is read as more than one role or service.
BOOST_FIXTURE_TEST_CASE(texts_of_commands_stay_one_value, Fixture)
{
    BOOST_TEST(
        run({ "team", "create", "hats", "--rate", "50", "--burst", "100", "--service", "ledger" }).exitCode == 0);
    for (const std::string text : { "ledger\", \"vault", "ledger\"]\n#", "ledger\\", "ledger\n", "" })
        BOOST_TEST(run({ "team", "services", "hats", text }).exitCode == 1, text);
    BOOST_TEST(run({ "operator", "create", "eve", "--role", "team:hats\", \"platform" }).exitCode == 1);
    BOOST_TEST(client().get("operators/eve").at("value").is_null());
    BOOST_TEST(client().get("teams/hats/services").at("value").as_string().find("vault") == std::string::npos);
    BOOST_TEST(run({ "operator", "create", "ana", "--role", "team:hats", "--role", "service:ledger" }).exitCode == 0);
}

// Guards against a name that leads to another path.
BOOST_FIXTURE_TEST_CASE(names_of_commands_stay_one_part_of_a_path, Fixture)
{
    BOOST_TEST(
        run({ "team", "create", "hats", "--rate", "50", "--burst", "100", "--service", "ledger" }).exitCode == 0);
    BOOST_TEST(run({ "key", "create", "hats", "--id", "k1" }).exitCode == 0);
    BOOST_TEST(run({ "approve", "add", "ledger", "hats" }).exitCode == 0);
    BOOST_REQUIRE(eventually([this] { return b->current()->customers.count("hats") != 0; }));
    const int changes = store->applied;
    for (const std::string name : { "hats/keys", "hats/", "/hats", "", "..", "Hats", "hats?", "ha ts" }) {
        for (const std::vector<std::string>& command : { std::vector<std::string> { "team", "delete", name },
                 { "team", "show", name }, { "team", "services", name, "ledger" }, { "key", "create", name },
                 { "key", "create", "hats", "--id", name }, { "key", "withdraw", "hats", name },
                 { "key", "list", name }, { "approve", "add", "ledger", name }, { "approve", "remove", name, "hats" },
                 { "approve", "list", name }, { "limits", "set", name, "--rate", "1" }, { "limits", "show", name },
                 { "operator", "create", name, "--role", "platform" }, { "operator", "credential", name } })
            BOOST_TEST(run(command).exitCode == 2, command[0] << " " << command[1] << " " << name);
    }
    BOOST_TEST(store->applied == changes);
    BOOST_TEST(!client().get("teams/hats/keys/k1").at("value").is_null());
}

// Guards against withdrawals of keys and approvals that do not reach every host in time, and against commands that
// overwrite fields they do not change.
BOOST_FIXTURE_TEST_CASE(commands_reach_every_host, Fixture)
{
    BOOST_TEST(
        run({ "team", "create", "hats", "--rate", "50", "--burst", "100", "--service", "ledger" }).exitCode == 0);
    BOOST_TEST(run({ "approve", "add", "ledger", "hats" }).exitCode == 0);
    const CommandResult created = run({ "key", "create", "hats", "--id", "k1" });
    BOOST_TEST(created.exitCode == 0, created.error);
    const std::string key = created.out.substr(0, created.out.find('\n'));
    BOOST_TEST(splitKey(keyPrefix, key).has_value());
    BOOST_REQUIRE(eventually([this] {
        return b->current()->customers.count("hats") && b->current()->customers.at("hats").keys.size() == 1;
    }));
    BOOST_TEST(b->current()->customers.at("hats").keys.at("k1").digest == keyDigest(key));
    BOOST_TEST(run({ "limits", "set", "hats", "--rate", "70" }).exitCode == 0);
    BOOST_TEST(run({ "key", "list", "hats" }).out.find("active") != std::string::npos);
    BOOST_TEST(run({ "key", "withdraw", "hats", "k1" }).exitCode == 0);
    BOOST_TEST(run({ "approve", "remove", "ledger", "hats" }).exitCode == 0);
    BOOST_TEST(eventually([this] {
        std::lock_guard<std::mutex> lock(changeMutex);
        return withdrawn == std::vector<std::string> { "hats/k1", "hats->ledger" };
    }));
    BOOST_TEST(eventually([this] { return a->current()->customers.at("hats").keys.at("k1").withdrawn; }));
    BOOST_TEST(a->current()->customers.at("hats").ratePerSecond == 70);
    BOOST_TEST(a->current()->customers.at("hats").burst == 100);
    BOOST_TEST(run({ "config", "watch", "teams/hats/", "--count", "1" }).out.find("[teams/hats/") == 0);
    BOOST_TEST(run({ "team", "delete", "hats" }).exitCode == 0);
    BOOST_TEST(eventually([this] { return a->current()->customers.empty() && b->current()->customers.empty(); }));
    BOOST_TEST(run({ "team", "create", "hats", "--rate", "5", "--burst", "1" }).exitCode == 0);
}

// Guards against exit codes that hide a refusal or an unknown outcome, and against a retried change that is applied
// twice.
BOOST_FIXTURE_TEST_CASE(commands_report_the_outcome, Fixture)
{
    BOOST_TEST(run({ "team", "create", "hats" }).exitCode == 2);
    BOOST_TEST(run({ "team" }).exitCode == 2);
    BOOST_TEST(run({ "config", "get", "teams/none/limits" }).exitCode == 1);
    const CommandResult refused = run({ "config", "set", "teams/hats/limits", "burst = 0" });
    BOOST_TEST(refused.exitCode == 1);
    BOOST_TEST(refused.error.find("burst: must be from 1") != std::string::npos);
    OperatorClient client(caller, bootstrap, [](Duration) {});
    caller->loseAnswers = 3;
    BOOST_TEST(client.change("teams/hats/limits", "rate_per_s = 1\nburst = 1", 0).at("applied").as_bool());
    BOOST_TEST(store->applied == 1);
    caller->loseAnswers = 5;
    try {
        client.change("teams/hats/limits", "rate_per_s = 2\nburst = 1", 1);
        BOOST_ERROR("change() must throw if no answer arrives");
    } catch (const OperatorCallFailed& failure) {
        BOOST_TEST((failure.exitCode() == OperatorExit::OutcomeUnknown));
    }
    BOOST_TEST(store->applied == 2);
}
