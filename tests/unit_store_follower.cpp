#include "support_store_follower.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

// Pages are not one snapshot: the watch starts at the revision of the first page, so that changes between the pages are
// not missed.
BOOST_FIXTURE_TEST_CASE(pages_then_watch_from_the_first_page, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, { { "config", "7", 3, false } }, 10, true);
    BOOST_TEST(store.lists.back() == "config");
    store.answer(StoreOutcome::Ok, { { "s/a", "x", 4, false }, { "s/b", "broken", 5, false } }, 12, false);
    BOOST_TEST(listed == 1U);
    BOOST_TEST((versions == std::vector<uint64_t> { 7 }));
    BOOST_TEST((store.watches == std::vector<uint64_t> { 10 }));
}

// An unreadable entry of another writer adds no server and does not affect other entries.
BOOST_FIXTURE_TEST_CASE(events_are_applied, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, {}, 10);
    store.answer(StoreOutcome::Ok,
        { { "s/a", "broken", 11, false }, { "s/b", "x", 12, false }, { "s/c", "", 13, true },
            { "config", "no", 14, false }, { "config", "9", 15, false } },
        15);
    BOOST_TEST((written == std::vector<std::string> { "b" }));
    BOOST_TEST((erased == std::vector<std::string> { "a", "c" }));
    BOOST_TEST((versions == std::vector<uint64_t> { 9 }));
    runDelayedTask();
    BOOST_TEST(store.watches.back() == 15U);
}

// A listing's evacuations are known before a statement can go to its servers.
BOOST_FIXTURE_TEST_CASE(evacuations_are_passed_on, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, { { "e/mill", "{}", 3, false }, { "s/a", "x", 4, false } }, 10);
    BOOST_TEST((evacuations == std::vector<std::string> { "list", "+mill" }));
    BOOST_TEST(evacuationsWhenListed == 2U);
    store.answer(StoreOutcome::Ok, { { "e/quay", "{}", 11, false }, { "e/mill", "", 12, true } }, 12);
    BOOST_TEST((evacuations == std::vector<std::string> { "list", "+mill", "+quay", "-mill" }));
}

// Lost history and any failed call lead to a new listing; an unchanged configuration is not passed to the observer
// again.
BOOST_FIXTURE_TEST_CASE(lost_history_is_listed_again, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, { { "config", "7", 9, false } }, 10);
    store.answer(StoreOutcome::HistoryLost);
    BOOST_TEST(store.lists.size() == 2U);
    store.answer(StoreOutcome::Ok, { { "config", "7", 9, false } }, 30);
    BOOST_TEST(versions.size() == 1U);
    store.answer(StoreOutcome::Unreachable);
    BOOST_TEST((reachable == std::vector<bool> { true, false }));
    runDelayedTask();
    BOOST_TEST(store.lists.size() == 3U);
    store.answer(StoreOutcome::Ok, {}, 31);
    BOOST_TEST((reachable == std::vector<bool> { true, false, true }));
}

// Contiguous relayed changes are applied without a call. After a gap or a revision without its changes, the missing
// changes are read from the store.
BOOST_FIXTURE_TEST_CASE(relayed_changes_are_applied_and_gaps_are_read, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, {}, 10);
    follower.setSource(StoreSource::Relay);
    store.answer(StoreOutcome::Ok, {}, 10); // The call that was in progress when the source changed.
    runDelayedTask();
    const size_t calls = store.watches.size();
    follower.applyRelayed({ 10, 12, Duration(0), { { "s/a", "x", 12, false } } });
    BOOST_TEST((written == std::vector<std::string> { "a" }));
    runDelayedTask();
    BOOST_TEST(store.watches.size() == calls);
    follower.applyRelayed({ 14, 15, Duration(0), { { "s/c", "x", 15, false } } });
    BOOST_TEST(written.size() == 1U);
    BOOST_TEST(!follower.missingAfter().has_value());
    now += StoreFollowerSettings().peerRequestDelay;
    BOOST_TEST((follower.missingAfter() == std::optional<uint64_t>(12)));
    now += StoreFollowerSettings().catchUpDelay;
    runDelayedTask();
    BOOST_TEST(store.watches.size() == calls + 1);
    BOOST_TEST(store.watches.back() == 12U);
    store.answer(StoreOutcome::Ok, { { "s/b", "x", 14, false }, { "s/c", "x", 15, false } }, 15);
    BOOST_TEST((written == std::vector<std::string> { "a", "b", "c" }));
    follower.applyRelayed({ 12, 15, Duration(0), { { "s/b", "x", 14, false }, { "s/c", "x", 15, false } } });
    BOOST_TEST(written.size() == 3U);
}

// A host that receives no relayed state, or only outdated state, watches the store itself.
BOOST_FIXTURE_TEST_CASE(a_host_without_recent_relayed_state_watches_the_store, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, {}, 10);
    follower.setSource(StoreSource::Relay);
    store.answer(StoreOutcome::Ok, {}, 10);
    runDelayedTask();
    const size_t calls = store.watches.size();
    now += std::chrono::milliseconds(2000);
    follower.applyRelayed({ 10, 10, std::chrono::milliseconds(2400), {} });
    runDelayedTask();
    BOOST_TEST(store.watches.size() == calls);
    now += std::chrono::milliseconds(600);
    runDelayedTask();
    BOOST_TEST(store.watches.size() == calls + 1);
}

// Changes that a watching host has read are relayed with the revision after which they apply.
BOOST_FIXTURE_TEST_CASE(read_changes_are_relayed, FollowerFixture)
{
    follower.setSource(StoreSource::WatchForOthers);
    store.answer(StoreOutcome::Ok, {}, 10);
    store.answer(StoreOutcome::Ok, { { "s/a", "x", 12, false } }, 13);
    BOOST_REQUIRE(relayed.size() == 1U);
    BOOST_TEST(relayed[0].from == 10U);
    BOOST_TEST(relayed[0].to == 13U);
    BOOST_TEST(relayed[0].items.size() == 1U);
}

// A host that watches for others reports the age of its state. A watch that was held for its whole wait confirms that
// nothing changed until its end; an age counted from the sending of the watch exceeded the validity of relayed state
// every few seconds.
BOOST_FIXTURE_TEST_CASE(a_held_watch_confirms_its_whole_wait, FollowerFixture)
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

// Guards against a load peak when all hosts of a fleet start at once: the first listing is as recent as relayed state,
// so only the watching hosts call the store again immediately.
BOOST_FIXTURE_TEST_CASE(a_first_listing_needs_no_watch, FollowerFixture)
{
    const StoreFollowerSettings settings;
    follower.setSource(StoreSource::Relay);
    store.answer(StoreOutcome::Ok, {}, 10);
    runDelayedTask();
    BOOST_TEST(store.watches.empty());
    now += settings.relayedStateValidity;
    runDelayedTask();
    BOOST_TEST(store.watches.size() == 1U);
}

namespace {

/// A follower that knows of era 2 from a call that the store refused, and is calling again.
struct RefusedFixture : FollowerFixture {
    RefusedFixture()
    {
        store.answer(StoreOutcome::Ok, { { "config", "7", 20, false }, { "s/a", "x", 3, false } }, 20, false, 1);
        follower.setSource(StoreSource::Relay);
        store.answer(StoreOutcome::Refused, {}, 0, false, 2);
        runDelayedTask();
        BOOST_TEST(store.lists.size() == 2U);
    }

    /// Passes the time after which a listing is requested because another host has one.
    void missListing()
    {
        follower.applyRelayed({ 4, 5, Duration(0), {}, 2 });
        now += StoreFollowerSettings().listingRequestDelay;
    }
};

} // namespace

// A host that the store refuses requests a listing only if another host has one, and if the store had time to answer.
BOOST_FIXTURE_TEST_CASE(a_missing_listing_is_requested, RefusedFixture)
{
    now += StoreFollowerSettings().listingRequestDelay;
    BOOST_TEST(!follower.missingAfter().has_value());
    follower.applyRelayed({ 4, 5, Duration(0), { { "s/b", "x", 5, false } }, 2 });
    BOOST_TEST(!follower.missingAfter().has_value());
    BOOST_TEST(follower.listing().to == 0U);
    now += StoreFollowerSettings().listingRequestDelay;
    BOOST_TEST((follower.missingAfter() == std::optional<uint64_t>(0)));
    store.answer(StoreOutcome::Ok, { { "config", "7", 2, false } }, 5, true, 2);
    BOOST_TEST(!follower.missingAfter().has_value()); // The store serves this host.
    follower.applyRelayedListing({ 0, 6, Duration(0), {}, 2 });
    BOOST_TEST(!follower.listed());
    store.answer(StoreOutcome::Ok, { { "s/b", "x", 5, false } }, 6, false, 2);
    BOOST_TEST(follower.listedFromStore());
    BOOST_TEST(follower.knownState().to == 5U);
}

// A listing of another host replaces all that was known; its changes follow it. An answer of the store that is older is
// dropped.
BOOST_FIXTURE_TEST_CASE(a_relayed_listing_is_applied, RefusedFixture)
{
    missListing();
    follower.applyRelayedListing({ 0, 6, Duration(0),
        { { "config", "8", 4, false }, { "plantainwall/x", "x", 5, false }, { "s/b", "x", 6, false },
            { "s/c", "x", 3, false } },
        2 });
    BOOST_TEST((versions == std::vector<uint64_t> { 7, 8 }));
    BOOST_TEST(listed == 2U);
    BOOST_TEST(follower.items().count("plantainwall/x") == 1U);
    BOOST_TEST(follower.items().count("s/a") == 0U);
    BOOST_TEST(follower.listed());
    BOOST_TEST(!follower.listedFromStore());
    BOOST_TEST(!follower.reachable());
    store.answer(StoreOutcome::Ok, {}, 5, false, 2);
    BOOST_TEST(follower.knownState().to == 6U);
    follower.applyRelayed({ 6, 8, Duration(0), { { "plantainwall/x", "", 7, true }, { "s/d", "x", 8, false } }, 2 });
    BOOST_TEST((written == std::vector<std::string> { "d" }));
    const StoreEvents listing = follower.listing();
    BOOST_TEST(listing.from == 0U);
    BOOST_TEST(listing.to == 8U);
    BOOST_TEST(listing.era == 2U);
    BOOST_TEST(listing.items.size() == 4U);
    runDelayedTask();
    store.answer(StoreOutcome::Ok, { { "config", "9", 9, false } }, 9, false, 2);
    BOOST_TEST(follower.listedFromStore());
    BOOST_TEST(versions.back() == 9U);
}

// Only the first listing of the newest era is applied, and no configuration goes back with it.
BOOST_FIXTURE_TEST_CASE(an_older_relayed_listing_changes_nothing, RefusedFixture)
{
    missListing();
    follower.applyRelayedListing({ 0, 30, Duration(0), { { "config", "9", 30, false } }, 1 });
    BOOST_TEST(!follower.listed());
    follower.applyRelayedListing({ 0, 6, Duration(0), { { "config", "6", 4, false } }, 2 });
    BOOST_TEST(follower.listed());
    follower.applyRelayed({ 6, 7, Duration(0), { { "s/b", "x", 7, false } }, 2 });
    follower.applyRelayedListing({ 0, 6, Duration(0), { { "config", "8", 4, false } }, 2 });
    follower.applyRelayedListing({ 0, 8, Duration(0), { { "config", "8", 8, false } }, 2 }); // None is missing.
    BOOST_TEST((versions == std::vector<uint64_t> { 7 }));
    BOOST_TEST(follower.knownState().to == 7U);
    BOOST_TEST(follower.items().count("s/b") == 1U);
}

// Guards against a gap in the changes that a host keeps for others, when one of them relays a change before the host's
// own watch returns it.
BOOST_FIXTURE_TEST_CASE(applied_changes_have_no_gap, FollowerFixture)
{
    follower.setSource(StoreSource::WatchForOthers);
    store.answer(StoreOutcome::Ok, {}, 10);
    follower.applyRelayed({ 10, 12, Duration(0), { { "s/a", "x", 12, false } } });
    store.answer(StoreOutcome::Ok, { { "s/a", "x", 12, false }, { "s/b", "x", 13, false } }, 13);
    uint64_t revision = 10;
    std::vector<std::string> keys;
    for (const StoreEvents& changes : applied) {
        BOOST_TEST(changes.from == revision);
        revision = changes.to;
        for (const StoreItem& item : changes.items)
            keys.push_back(item.key);
    }
    BOOST_TEST(revision == 13U);
    BOOST_TEST((keys == std::vector<std::string> { "s/a", "s/b" }));
}

// Changes that no host has kept are replaced by a listing on a host that does not reach the store.
BOOST_FIXTURE_TEST_CASE(missing_changes_are_replaced_by_a_listing, FollowerFixture)
{
    const StoreFollowerSettings settings;
    store.answer(StoreOutcome::Ok, { { "config", "7", 20, false } }, 20);
    follower.setSource(StoreSource::Relay);
    store.answer(StoreOutcome::Unreachable);
    follower.applyRelayed({ 24, 25, Duration(0), { { "s/b", "x", 25, false } } });
    now += settings.listingFallbackDelay - settings.peerRequestDelay;
    BOOST_TEST((follower.missingAfter() == std::optional<uint64_t>(20)));
    now += settings.peerRequestDelay;
    BOOST_TEST((follower.missingAfter() == std::optional<uint64_t>(0)));
    follower.applyRelayedListing({ 0, 20, Duration(0), { { "s/c", "x", 25, false } } });
    BOOST_TEST(listed == 0U);
    follower.applyRelayedListing({ 0, 24, Duration(0), { { "config", "8", 22, false }, { "s/a", "x", 24, false } } });
    BOOST_TEST((versions == std::vector<uint64_t> { 7, 8 }));
    BOOST_TEST(listed == 1U);
    BOOST_TEST(!follower.missingAfter().has_value());
    now += settings.peerRequestDelay;
    BOOST_TEST((follower.missingAfter() == std::optional<uint64_t>(24)));
    follower.applyRelayed({ 24, 25, Duration(0), { { "s/b", "x", 25, false } } });
    BOOST_TEST((written == std::vector<std::string> { "b" }));
}

// An era in a relayed datagram that the store never had does not keep a host from the store's own answers.
BOOST_FIXTURE_TEST_CASE(relayed_era_that_the_store_does_not_confirm, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, { { "config", "7", 9, false } }, 10, false, 1);
    StoreEvents events;
    events.from = 10;
    events.to = 10;
    events.era = uint64_t(1) << 40;
    follower.applyRelayed(events);
    for (int i = 0; i < 20; ++i) {
        if (delayedTask)
            runDelayedTask();
        if (store.pending)
            store.answer(StoreOutcome::Ok, { { "config", "8", 11, false } }, 11, false, 1);
    }
    BOOST_TEST(follower.listed());
    BOOST_TEST((versions == std::vector<uint64_t> { 7, 8 }));
}

// Load pattern: the store drops its history. What the listing of a watching host changes is passed on, so that the
// other hosts need no listing of their own.
BOOST_FIXTURE_TEST_CASE(a_listing_after_lost_history_is_passed_on_as_changes, FollowerFixture)
{
    store.answer(
        StoreOutcome::Ok, { { "s/a", "x", 4, false }, { "s/b", "x", 5, false }, { "s/c", "x", 6, false } }, 10);
    BOOST_TEST(applied.empty());
    store.answer(StoreOutcome::HistoryLost);
    store.answer(
        StoreOutcome::Ok, { { "s/a", "y", 14, false }, { "s/c", "x", 6, false }, { "s/d", "x", 12, false } }, 20);
    BOOST_REQUIRE(applied.size() == 1U);
    const StoreEvents& changes = applied.front();
    BOOST_TEST(changes.from == 10U);
    BOOST_TEST(changes.to == 20U);
    BOOST_REQUIRE(changes.items.size() == 3U);
    BOOST_TEST(changes.items[0].key == "s/d");
    BOOST_TEST(changes.items[1].key == "s/a");
    BOOST_TEST(changes.items[2].key == "s/b");
    BOOST_TEST(changes.items[2].removed);
    BOOST_TEST(changes.items[2].revision == 20U);
    BOOST_TEST(relayed.size() == 1U);
}

// Guards against hosts that all read a large configuration from the store while others are sending it, and against one
// that waits for others for longer than a configuration may take.
BOOST_FIXTURE_TEST_CASE(changes_that_another_host_sends_are_awaited_for_a_limited_time, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, {}, 10);
    follower.setSource(StoreSource::Relay);
    store.answer(StoreOutcome::Ok, {}, 10); // The call that was in progress when the source changed.
    follower.applyRelayed({ 12, 12, Duration(0), {} });
    const Instant missingSince = now;
    const size_t calls = store.watches.size();
    while (store.watches.size() == calls && now - missingSince < std::chrono::seconds(10)) {
        now += std::chrono::milliseconds(100);
        follower.notePeerProgress();
        runDelayedTask();
    }
    BOOST_TEST((now - missingSince > std::chrono::seconds(2)));
    BOOST_TEST((now - missingSince <= std::chrono::milliseconds(2500)));
    BOOST_TEST(store.watches.back() == 10U);
}

// Guards against a host that waits for ever for changes that the store never had, because one host reported a revision
// that does not exist.
BOOST_FIXTURE_TEST_CASE(a_reported_revision_that_the_store_does_not_know_is_dropped, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, {}, 10);
    follower.setSource(StoreSource::Relay);
    store.answer(StoreOutcome::Ok, {}, 10);
    runDelayedTask();
    follower.applyRelayed({ 5000000, 6000000, Duration(0), {} });
    now += StoreFollowerSettings().maxCatchUpDelay;
    BOOST_TEST(follower.missingAfter().has_value());
    runDelayedTask();
    store.answer(StoreOutcome::HistoryLost);
    store.answer(StoreOutcome::Ok, {}, 12); // The listing.
    now += StoreFollowerSettings().maxCatchUpDelay;
    BOOST_TEST(!follower.missingAfter().has_value());
    // A report that may be newer than the listing counts.
    follower.applyRelayed({ 14, 15, Duration(0), {} });
    now += StoreFollowerSettings().peerRequestDelay;
    BOOST_TEST((follower.missingAfter() == std::optional<uint64_t>(12)));
}

// The same for a report that claims to hold all changes up to such a revision: every true change would be ignored as
// older.
BOOST_FIXTURE_TEST_CASE(a_revision_that_the_store_has_not_reached_is_given_up, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, {}, 10);
    BOOST_REQUIRE(store.watches.size() == 1U);
    follower.applyRelayed({ 10, 6000000, Duration(0), {} });
    store.answer(StoreOutcome::Ok, { { "config", "9", 11, false } }, 11); // The watch in progress.
    runDelayedTask();
    BOOST_TEST(store.watches.back() == 6000000U);
    store.answer(StoreOutcome::Ok, {}, 11);
    BOOST_REQUIRE(store.lists.size() == 2U);
    store.answer(StoreOutcome::Ok, { { "config", "9", 11, false } }, 11);
    BOOST_TEST((versions == std::vector<uint64_t> { 9 }));
    BOOST_TEST(store.watches.back() == 11U);
}
