#include "store_follower.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

/// A store whose calls the test answers by hand.
struct FakeStore final : MetadataStore {
    void list(const std::string&, const std::string& afterKey, std::function<void(StoreItems)> handler) override
    {
        lists.push_back(afterKey);
        pending = std::move(handler);
    }
    void watch(const std::string&, uint64_t after, Duration, std::function<void(StoreItems)> handler) override
    {
        watches.push_back(after);
        pending = std::move(handler);
    }
    void write(const StoreWrite&, std::function<void(StoreResult)>) override { }
    void createLease(Duration, std::function<void(StoreResult)>) override { }
    void keepLease(uint64_t, std::function<void(StoreResult)>) override { }
    void endLease(uint64_t, std::function<void(StoreResult)>) override { }

    void answer(StoreOutcome outcome, std::vector<StoreItem> items = {}, uint64_t asOf = 0, bool more = false)
    {
        const std::function<void(StoreItems)> handler = std::move(pending);
        handler({ outcome, std::move(items), more, asOf });
    }

    std::vector<std::string> lists;
    std::vector<uint64_t> watches;
    std::function<void(StoreItems)> pending;
};

struct FakeDecoder final : StoreDecoder {
    bool isConfiguration(std::string_view key) const override { return key == "config"; }
    bool isServer(std::string_view key) const override { return key.substr(0, 2) == "s/"; }
    std::shared_ptr<const GatewayConfiguration> configuration(const StoreItem& item) const override
    {
        const std::shared_ptr<GatewayConfiguration> result = std::make_shared<GatewayConfiguration>();
        result->version = std::stoul(item.value);
        return result;
    }
    std::string serverId(std::string_view key) const override { return std::string(key.substr(2)); }
    ServerEntry server(const StoreItem& item) const override
    {
        if (item.value == "broken")
            throw std::runtime_error("unreadable");
        ServerEntry entry;
        entry.id = serverId(item.key);
        return entry;
    }
};

struct Fixture : StoreObserver {
    Fixture()
        : follower(
            store, decoder, *this, [this](Duration, std::function<void()> task) { later = std::move(task); },
            [this] { return now; })
    {
        follower.start();
    }

    void configurationRead(std::shared_ptr<const GatewayConfiguration> next) override
    {
        versions.push_back(next->version);
    }
    void serversListed(const std::vector<ServerEntry>& servers) override { listed = servers.size(); }
    void serverWritten(const ServerEntry& entry) override { written.push_back(entry.id); }
    void serverErased(const std::string& id) override { erased.push_back(id); }
    void ownItemsChanged() override { }
    void storeReachable(bool value) override { reachable.push_back(value); }
    void eventsRead(const StoreEvents& events) override { passedOn.push_back(events); }

    void runLater()
    {
        const std::function<void()> task = std::move(later);
        task();
    }

    Instant now { std::chrono::seconds(1000) };
    FakeStore store;
    FakeDecoder decoder;
    std::function<void()> later;
    std::vector<StoreEvents> passedOn;
    std::vector<uint64_t> versions;
    std::vector<std::string> written;
    std::vector<std::string> erased;
    std::vector<bool> reachable;
    size_t listed = 0;
    StoreFollower follower;
};

} // namespace

// Pages are no snapshot: the watch starts at the first page's revision, so that nothing between the pages is missed.
BOOST_FIXTURE_TEST_CASE(pages_then_watch_from_the_first_page, Fixture)
{
    store.answer(StoreOutcome::Ok, { { "config", "7", 3, false } }, 10, true);
    BOOST_TEST(store.lists.back() == "config");
    store.answer(StoreOutcome::Ok, { { "s/a", "x", 4, false }, { "s/b", "broken", 5, false } }, 12, false);
    BOOST_TEST(listed == 1U);
    BOOST_TEST((versions == std::vector<uint64_t> { 7 }));
    BOOST_TEST((store.watches == std::vector<uint64_t> { 10 }));
}

// An unreadable entry of another writer names no server and hides no other.
BOOST_FIXTURE_TEST_CASE(events_are_applied, Fixture)
{
    store.answer(StoreOutcome::Ok, {}, 10);
    store.answer(StoreOutcome::Ok,
        { { "s/a", "broken", 11, false }, { "s/b", "x", 12, false }, { "s/c", "", 13, true },
            { "config", "no", 14, false }, { "config", "9", 15, false } },
        15);
    BOOST_TEST((written == std::vector<std::string> { "b" }));
    BOOST_TEST((erased == std::vector<std::string> { "a", "c" }));
    BOOST_TEST((versions == std::vector<uint64_t> { 9 }));
    runLater();
    BOOST_TEST(store.watches.back() == 15U);
}

// Lost history, and any failure, leads to a new listing; an old copy of the configuration is not handed on again.
BOOST_FIXTURE_TEST_CASE(lost_history_is_listed_again, Fixture)
{
    store.answer(StoreOutcome::Ok, { { "config", "7", 9, false } }, 10);
    store.answer(StoreOutcome::HistoryLost);
    BOOST_TEST(store.lists.size() == 2U);
    store.answer(StoreOutcome::Ok, { { "config", "7", 9, false } }, 30);
    BOOST_TEST(versions.size() == 1U);
    store.answer(StoreOutcome::Unreachable);
    BOOST_TEST((reachable == std::vector<bool> { true, false }));
    runLater();
    BOOST_TEST(store.lists.size() == 3U);
    store.answer(StoreOutcome::Ok, {}, 31);
    BOOST_TEST((reachable == std::vector<bool> { true, false, true }));
}

// Contiguous changes told by another host are applied without a call; a gap, or a revision without its changes, is read
// from the store.
BOOST_FIXTURE_TEST_CASE(told_changes_are_applied_and_gaps_are_read, Fixture)
{
    store.answer(StoreOutcome::Ok, {}, 10);
    follower.setSource(StoreSource::Relay);
    store.answer(StoreOutcome::Ok, {}, 10); // The call that was in progress when the source changed.
    runLater();
    const size_t calls = store.watches.size();
    follower.applyRelayed({ 10, 12, Duration(0), { { "s/a", "x", 12, false } } });
    BOOST_TEST((written == std::vector<std::string> { "a" }));
    runLater();
    BOOST_TEST(store.watches.size() == calls);
    follower.applyRelayed({ 14, 15, Duration(0), { { "s/c", "x", 15, false } } });
    BOOST_TEST(written.size() == 1U);
    BOOST_TEST(!follower.missingAfter().has_value());
    now += StoreFollowerSettings().missingAfter;
    BOOST_TEST((follower.missingAfter() == std::optional<uint64_t>(12)));
    now += StoreFollowerSettings().catchUpAfter;
    runLater();
    BOOST_TEST(store.watches.size() == calls + 1);
    BOOST_TEST(store.watches.back() == 12U);
    store.answer(StoreOutcome::Ok, { { "s/b", "x", 14, false }, { "s/c", "x", 15, false } }, 15);
    BOOST_TEST((written == std::vector<std::string> { "a", "b", "c" }));
    follower.applyRelayed({ 12, 15, Duration(0), { { "s/b", "x", 14, false }, { "s/c", "x", 15, false } } });
    BOOST_TEST(written.size() == 3U);
}

// A host that hears nothing of the store any more, or only of old knowledge, asks the store itself.
BOOST_FIXTURE_TEST_CASE(silence_of_the_others_leads_to_the_store, Fixture)
{
    store.answer(StoreOutcome::Ok, {}, 10);
    follower.setSource(StoreSource::Relay);
    store.answer(StoreOutcome::Ok, {}, 10);
    runLater();
    const size_t calls = store.watches.size();
    now += std::chrono::milliseconds(2000);
    follower.applyRelayed({ 10, 10, std::chrono::milliseconds(2400), {} });
    runLater();
    BOOST_TEST(store.watches.size() == calls);
    now += std::chrono::milliseconds(600);
    runLater();
    BOOST_TEST(store.watches.size() == calls + 1);
}

// What a host that watches for others reads is passed on with where it joins.
BOOST_FIXTURE_TEST_CASE(read_changes_are_passed_on, Fixture)
{
    follower.setSource(StoreSource::WatchForOthers);
    store.answer(StoreOutcome::Ok, {}, 10);
    store.answer(StoreOutcome::Ok, { { "s/a", "x", 12, false } }, 13);
    BOOST_REQUIRE(passedOn.size() == 1U);
    BOOST_TEST(passedOn[0].from == 10U);
    BOOST_TEST(passedOn[0].to == 13U);
    BOOST_TEST(passedOn[0].items.size() == 1U);
}

// A host that watches for others tells how old its knowledge is. A watch that was held for its whole wait proves that
// nothing had changed by its end; counted from its sending, the age exceeded what others accept every few seconds.
BOOST_FIXTURE_TEST_CASE(a_held_watch_proves_its_whole_time, Fixture)
{
    const StoreFollowerSettings settings;
    follower.setSource(StoreSource::WatchForOthers);
    store.answer(StoreOutcome::Ok, {}, 10);
    now += settings.relayWatchWait + std::chrono::milliseconds(60);
    store.answer(StoreOutcome::Ok, {}, 10);
    BOOST_TEST((follower.knownState().age == std::chrono::milliseconds(60)));
    now += settings.relayWatchWait / 2;
    store.answer(StoreOutcome::Ok, { { "s/a", "x", 11, false } }, 11); // Ended early by a change.
    BOOST_TEST((follower.knownState().age == settings.relayWatchWait / 2));
}

// Load pattern: all hosts of a fleet start and read their first listing. It is as good as what others tell, so that no
// host but those that watch asks again at once.
BOOST_FIXTURE_TEST_CASE(a_first_listing_needs_no_watch, Fixture)
{
    const StoreFollowerSettings settings;
    follower.setSource(StoreSource::Relay);
    store.answer(StoreOutcome::Ok, {}, 10);
    runLater();
    BOOST_TEST(store.watches.empty());
    now += settings.relayedStateValidity;
    runLater();
    BOOST_TEST(store.watches.size() == 1U);
}
