#include "server_directory.h"
#include "support_log_capture.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ServerEntry entryOf(const std::string& id, const std::string& service = "orders")
{
    ServerEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = "127.0.0.1:1";
    return entry;
}

std::vector<std::string> lapsedIds(const ServerDirectory& directory, const std::string& service = "orders")
{
    std::vector<std::string> ids;
    for (const LapsedServer* const server : directory.lapsed(service))
        ids.push_back(server->entry.id);
    return ids;
}

using Ids = std::vector<std::string>;

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(Ids)

// A server that lost only the store is absent from the registry, but still receives and confirms commits.
BOOST_AUTO_TEST_CASE(server_stays_known_after_its_registration_ended)
{
    ServerDirectory directory;
    Instant now { seconds(100) };
    directory.registerServer(entryOf("a"));
    directory.registerServer(entryOf("b"));
    const Instant ended = now;
    BOOST_TEST(!directory.remove("a", now));
    BOOST_TEST(directory.lapsed("orders").empty());
    BOOST_TEST(directory.find("a") != nullptr);
    now += milliseconds(2600);
    BOOST_TEST(directory.expire(now) == Ids { "a" });
    BOOST_TEST(directory.find("a") == nullptr);
    BOOST_TEST(directory.members("orders").size() == 1U);
    BOOST_TEST(directory.primary("orders", now) == "b");
    BOOST_TEST(directory.size() == 1U);
    BOOST_REQUIRE(lapsedIds(directory) == Ids { "a" });
    BOOST_TEST((directory.lapsed("orders").front()->since == ended));
    BOOST_TEST(directory.lapsed("invoices").empty());
    directory.registerServer(entryOf("a"));
    BOOST_TEST(directory.lapsed("orders").empty());
    BOOST_TEST(directory.find("a") != nullptr);
}

// A draining server receives and confirms commits until its process ends, which may be long after its registration.
BOOST_AUTO_TEST_CASE(draining_server_lapses_at_once)
{
    for (const bool listed : { false, true }) {
        ServerDirectory directory;
        const Instant now { seconds(100) };
        ServerEntry entry = entryOf("a");
        entry.draining = true;
        directory.registerServer(entry);
        if (listed)
            BOOST_TEST(directory.replaceAll({}, now) == Ids { "a" });
        else
            BOOST_TEST(directory.remove("a", now));
        BOOST_TEST(directory.size() == 0U);
        BOOST_REQUIRE(lapsedIds(directory) == Ids { "a" });
        BOOST_TEST(directory.lapsed("orders").front()->entry.draining);
    }
}

BOOST_AUTO_TEST_CASE(servers_of_another_source_are_added_only_if_unknown)
{
    ServerDirectory directory;
    const Instant now { seconds(100) };
    directory.registerServer(entryOf("registered"));
    directory.registerServer(entryOf("missing"));
    directory.remove("missing", now);
    for (const char* const id : { "registered", "missing", "other" })
        directory.addLapsed(entryOf(id), now);
    BOOST_TEST(lapsedIds(directory) == Ids { "other" });
    directory.addLapsed(entryOf("other"), now + seconds(5));
    BOOST_TEST((directory.lapsed("orders").front()->since == now));
    BOOST_TEST(directory.find("other") == nullptr);
    directory.forgetLapsed("registered", 0);
    directory.forgetLapsed("other", 0);
    BOOST_TEST(directory.lapsed("orders").empty());
    BOOST_TEST(directory.size() == 2U);
}

// A log that may be needed was forgotten silently when many servers had lapsed.
BOOST_AUTO_TEST_CASE(lapsed_servers_of_a_service_are_bounded_and_needed_ones_dropped_last)
{
    DirectorySettings settings;
    settings.maxLapsedPerService = 3;
    ServerDirectory directory(settings);
    const Instant now { seconds(100) };
    const CerrCapture capture;
    const auto add = [&](const char* id, int passed) { directory.addLapsed(entryOf(id), now + seconds(passed)); };
    directory.addLapsed(entryOf("a", "invoices"), now);
    add("e", 1);
    add("d", 2);
    add("c", 3);
    directory.noteSettled("c", 0, now + seconds(3));
    directory.noteSettled("d", 0, now + seconds(4));
    add("b", 4);
    BOOST_TEST(lapsedIds(directory) == (Ids { "b", "c", "e" }));
    add("f", 5);
    BOOST_TEST(lapsedIds(directory) == (Ids { "b", "e", "f" }));
    BOOST_TEST(capture.text.str().empty());
    add("g", 6);
    BOOST_TEST(lapsedIds(directory) == (Ids { "b", "f", "g" }));
    BOOST_TEST(capture.text.str().find(R"("server":"e")") != std::string::npos);
    BOOST_TEST(lapsedIds(directory, "invoices") == Ids { "a" });
}

// A copy of the store lists a server as ready that has left since.
BOOST_AUTO_TEST_CASE(left_server_in_a_restored_copy_stays_leaving)
{
    ServerDirectory directory;
    ServerEntry entry = entryOf("a");
    entry.startedUnixMs = 1760000000123;
    entry.sequence = 7;
    directory.registerServer(entry);
    entry.draining = true;
    entry.sequence = 9;
    directory.registerServer(entry);
    BOOST_TEST(directory.remove("a", Instant(seconds(100))));
    entry.draining = false;
    entry.sequence = 8;
    directory.registerServer(entry);
    BOOST_REQUIRE(directory.find("a") != nullptr);
    BOOST_TEST(directory.find("a")->draining);
    BOOST_TEST(directory.lapsed().empty());
    entry.sequence = 10;
    directory.registerServer(entry);
    BOOST_TEST(!directory.find("a")->draining);
}

// A copy of the store lists the process that a server had before it started again. The running one must not count as
// ended, nor the earlier one as primary.
BOOST_AUTO_TEST_CASE(earlier_process_in_a_restored_copy_changes_nothing)
{
    for (const bool registered : { true, false }) {
        for (const uint64_t sequence : { 7U, 8U }) {
            ServerDirectory directory;
            Instant now { seconds(100) };
            ServerEntry earlier = entryOf("a");
            earlier.startedUnixMs = 1760000000123;
            earlier.primary = true;
            earlier.sequence = 8;
            directory.registerServer(earlier);
            ServerEntry running = entryOf("a");
            running.startedUnixMs = earlier.startedUnixMs + 9000;
            running.draining = true;
            running.sequence = 2;
            directory.registerServer(running);
            directory.registerServer(entryOf("b"));
            BOOST_TEST(directory.notePrimary("orders", "b", 3));
            if (!registered)
                BOOST_TEST(directory.remove("a", now));
            directory.expire(now);
            directory.storeRestored(now);
            earlier.sequence = sequence;
            now += milliseconds(400);
            directory.expire(now);
            BOOST_TEST(directory.replaceAll({ earlier, entryOf("b") }, now).empty());
            BOOST_TEST(directory.primary("orders", now) == "b");
            BOOST_TEST(directory.provenPrimary("orders").second == 3U);
            BOOST_TEST((directory.find("a") != nullptr) == registered);
            if (registered)
                BOOST_TEST(directory.find("a")->draining);
            for (const LapsedServer* const server : directory.lapsed())
                BOOST_TEST(server->ended == (server->entry.startedUnixMs == earlier.startedUnixMs));
            BOOST_TEST(directory.lapsed().size() == (registered ? 1U : 2U));
            // Registrations of the copy have been renewed or have ended by then.
            now += milliseconds(2500);
            directory.expire(now);
            directory.registerServer(earlier);
            BOOST_REQUIRE(directory.find("a") != nullptr);
            BOOST_TEST(directory.find("a")->startedUnixMs == earlier.startedUnixMs);
        }
    }
}

// Without a known primary, a guess prevented that the primary reported by another host was used.
BOOST_AUTO_TEST_CASE(reported_primary_replaces_a_guess)
{
    ServerDirectory directory;
    const Instant now { seconds(100) };
    directory.registerServer(entryOf("a"));
    directory.registerServer(entryOf("b"));
    directory.noteTerm("orders", 2);
    BOOST_REQUIRE(directory.primary("orders", now) == "a");
    BOOST_TEST(!directory.noteReportedPrimary("orders", "b", 1));
    BOOST_TEST(directory.noteReportedPrimary("orders", "b", 2));
    BOOST_TEST(directory.primary("orders", now) == "b");
    BOOST_TEST(!directory.noteReportedPrimary("orders", "a", 2));
    BOOST_TEST(directory.primary("orders", now) == "b");
}

// A record does not say which of two processes with an id has ended.
BOOST_AUTO_TEST_CASE(recorded_process_before_a_lapsed_one_has_ended)
{
    ServerDirectory directory;
    const Instant now { seconds(100) };
    ServerEntry entry = entryOf("a");
    entry.startedUnixMs = 200;
    directory.addLapsed(entry, now);
    entry.startedUnixMs = 300;
    directory.addLapsed(entry, now);
    const std::vector<const LapsedServer*> lapsed = directory.lapsed("orders");
    BOOST_REQUIRE(lapsed.size() == 2U);
    BOOST_TEST(lapsed[0]->entry.startedUnixMs == 200U);
    BOOST_TEST(lapsed[0]->ended);
    BOOST_TEST(!lapsed[1]->ended);
}

// The clock of a server's machine went back between two starts.
BOOST_AUTO_TEST_CASE(recorded_process_with_a_later_start_than_the_registered_one)
{
    ServerDirectory directory;
    ServerEntry entry = entryOf("a");
    entry.startedUnixMs = 150;
    directory.registerServer(entry);
    entry.startedUnixMs = 200;
    directory.addLapsed(entry, Instant(seconds(100)));
    BOOST_REQUIRE(lapsedIds(directory) == Ids { "a" });
    BOOST_TEST(directory.lapsed().front()->ended);
}

// Servers that are not needed take no place of one that is.
BOOST_AUTO_TEST_CASE(needed_lapsed_server_is_kept_before_settled_ones)
{
    DirectorySettings settings;
    settings.maxLapsedPerService = 3;
    ServerDirectory directory(settings);
    Instant now { seconds(100) };
    directory.addLapsed(entryOf("needed"), now);
    for (const char* const id : { "b", "c", "d" }) {
        now += seconds(1);
        directory.addLapsed(entryOf(id), now);
        directory.noteSettled(id, 0, now);
    }
    const Ids ids = lapsedIds(directory);
    BOOST_TEST(std::count(ids.begin(), ids.end(), "needed") == 1);
}

// A coordinator has found a settled server running again, and the next one must not take its log for harmless.
BOOST_AUTO_TEST_CASE(settled_server_that_is_listed_again_is_needed)
{
    ServerDirectory directory;
    const Instant now { seconds(100) };
    directory.addLapsed(entryOf("a"), now);
    directory.noteSettled("a", 0, now + seconds(1));
    directory.addLapsed(entryOf("a"), now + seconds(2), false, true);
    BOOST_TEST(directory.lapsed().front()->settledAt.has_value());
    directory.addLapsed(entryOf("a"), now + seconds(2));
    BOOST_TEST(!directory.lapsed().front()->settledAt);
}

// An entry without a start, as another writer's may be, says nothing about the process that runs.
BOOST_AUTO_TEST_CASE(entry_without_a_start_ends_no_process)
{
    ServerDirectory directory;
    ServerEntry entry = entryOf("a");
    entry.startedUnixMs = 200;
    entry.sequence = 5;
    directory.registerServer(entry);
    entry.startedUnixMs = 0;
    entry.sequence = 0;
    directory.registerServer(entry);
    BOOST_TEST(directory.lapsed().empty());
    BOOST_REQUIRE(directory.find("a") != nullptr);
    BOOST_TEST(directory.find("a")->startedUnixMs == 200U);
    directory.remove("a", Instant(seconds(100)));
    directory.expire(Instant(seconds(103)));
    directory.registerServer(entry); // As the first entry of a lapsed server.
    BOOST_TEST(directory.lapsed().empty());
    BOOST_REQUIRE(directory.find("a") != nullptr);
    BOOST_TEST(directory.find("a")->startedUnixMs == 200U);
}

// A copy of the store contains the entry of the process before the running one.
BOOST_AUTO_TEST_CASE(restored_copy_does_not_end_a_running_process)
{
    ServerDirectory directory;
    ServerEntry entry = entryOf("a");
    entry.startedUnixMs = 100;
    entry.sequence = 9;
    entry.primary = true;
    directory.registerServer(entry);
    ServerEntry restarted = entry;
    restarted.startedUnixMs = 200;
    restarted.sequence = 1;
    restarted.primary = false;
    directory.registerServer(restarted);
    directory.notePrimary("orders", "b", 2);
    directory.storeRestored(Instant(seconds(100)));
    directory.replaceAll({ entry }, Instant(seconds(100)));
    BOOST_TEST(directory.knownPrimary("orders") == "b");
    for (const LapsedServer* const server : directory.lapsed("orders"))
        BOOST_TEST(server->entry.startedUnixMs != 200U, "the running process counts as ended");
}

// A process that started before the known one, by a clock that went back, is not mistaken for one of a copy for good.
BOOST_AUTO_TEST_CASE(earlier_process_in_a_restored_store_is_used_once_it_must_run)
{
    ServerEntry known = entryOf("a");
    known.startedUnixMs = 200;
    known.sequence = 9;
    ServerEntry earlier = known;
    earlier.startedUnixMs = 100;
    earlier.sequence = 3;
    Instant now { seconds(100) };
    const auto restored = [&](bool lapsed) {
        ServerDirectory directory;
        directory.registerServer(known);
        if (lapsed) {
            directory.remove("a", now - seconds(10));
            directory.expire(now - seconds(7));
        }
        directory.storeRestored(now);
        directory.replaceAll({ earlier }, now);
        directory.replaceAll({ earlier }, now + seconds(4));
        BOOST_TEST(!directory.registerDeferred(now + seconds(4)));
        BOOST_TEST((directory.find("a") == nullptr) == lapsed);
        for (const LapsedServer* const server : directory.lapsed())
            BOOST_TEST(!server->ended);
        return directory;
    };
    const auto startOf = [](const ServerDirectory& directory) {
        return directory.find("a") == nullptr ? 0 : directory.find("a")->startedUnixMs;
    };
    for (const bool lapsed : { false, true }) {
        ServerDirectory written = restored(lapsed);
        written.registerServer(earlier);
        BOOST_TEST(startOf(written) == 100U);
        BOOST_REQUIRE(lapsedIds(written) == Ids { "a" });
        BOOST_TEST(written.lapsed().front()->ended);
        ServerDirectory kept = restored(lapsed);
        BOOST_TEST(kept.registerDeferred(now + seconds(5)));
        BOOST_TEST(startOf(kept) == 100U);
        BOOST_REQUIRE(lapsedIds(kept) == Ids { "a" });
        BOOST_TEST(kept.lapsed().front()->ended);
        ServerDirectory removed = restored(lapsed);
        removed.remove("a", now + seconds(4));
        BOOST_TEST(!removed.registerDeferred(now + seconds(5)));
        removed.expire(now + seconds(7));
        BOOST_REQUIRE(lapsedIds(removed) == Ids { "a" });
        BOOST_TEST(!removed.lapsed().front()->ended);
    }
}

// The copy's entry of an ended process, whose clock was ahead, does not replace the process that runs.
BOOST_AUTO_TEST_CASE(restored_copy_does_not_bring_back_a_process_that_has_ended)
{
    ServerDirectory directory;
    ServerEntry ended = entryOf("a");
    ended.startedUnixMs = 200;
    directory.registerServer(ended);
    ServerEntry running = ended;
    running.startedUnixMs = 100;
    directory.registerServer(running);
    directory.storeRestored(Instant(seconds(100)));
    directory.replaceAll({ ended }, Instant(seconds(100)));
    BOOST_REQUIRE(directory.find("a") != nullptr);
    BOOST_TEST(directory.find("a")->startedUnixMs == 100U);
}

// The record in a copy may be older than a process that lapsed since.
BOOST_AUTO_TEST_CASE(record_of_a_restored_copy_does_not_end_a_lapsed_process)
{
    ServerDirectory directory;
    const Instant now { seconds(100) };
    ServerEntry entry = entryOf("a");
    entry.startedUnixMs = 200;
    directory.addLapsed(entry, now);
    directory.storeRestored(now);
    entry.startedUnixMs = 100;
    directory.addLapsed(entry, now);
    const std::vector<const LapsedServer*> lapsed = directory.lapsed();
    BOOST_REQUIRE(lapsed.size() == 2U);
    BOOST_TEST(lapsed[0]->ended);
    BOOST_TEST(!lapsed[1]->ended);
}

// A copy of the store lists a server that was down and not needed; taken for running, it blocked the next change.
BOOST_AUTO_TEST_CASE(gone_server_in_a_restored_copy_stays_settled)
{
    ServerEntry entry = entryOf("a");
    entry.startedUnixMs = 200;
    entry.sequence = 9;
    ServerEntry newer = entry;
    newer.sequence = 10;
    const Instant now { seconds(100) };
    for (const bool recorded : { false, true }) {
        ServerDirectory directory;
        if (recorded) {
            ServerEntry unsequenced = entry;
            unsequenced.sequence = 0;
            directory.addLapsed(unsequenced, now - seconds(7));
        } else {
            directory.registerServer(entry);
            directory.remove("a", now - seconds(10));
            directory.expire(now - seconds(7));
        }
        directory.noteSettled("a", 200, now - seconds(1));
        directory.storeRestored(now);
        directory.replaceAll({ entry }, now);
        BOOST_TEST(directory.find("a") == nullptr);
        BOOST_REQUIRE(lapsedIds(directory) == Ids { "a" });
        BOOST_TEST(directory.lapsed().front()->settledAt.has_value());
        ServerDirectory kept = directory;
        BOOST_TEST(kept.registerDeferred(now + seconds(5)));
        BOOST_TEST(kept.find("a") != nullptr);
        ServerDirectory removed = directory;
        removed.remove("a", now + seconds(2));
        BOOST_TEST(!removed.registerDeferred(now + seconds(5)));
        BOOST_TEST(removed.find("a") == nullptr);
        ServerDirectory written = directory;
        written.registerServer(newer);
        BOOST_TEST(written.find("a") != nullptr);
        BOOST_TEST(!written.registerDeferred(now + seconds(5)));
        directory.replaceAll({ newer }, now + seconds(1));
        BOOST_TEST((directory.find("a") == nullptr) == recorded);
    }
}

// A primary that restarted without its log denies being primary. That its process before led must stay known.
BOOST_AUTO_TEST_CASE(led_term_stays_known_after_a_denial)
{
    ServerDirectory directory;
    directory.registerServer(entryOf("a"));
    directory.registerServer(entryOf("b"));
    BOOST_TEST(directory.ledTerm("orders", "a") == 0U);
    directory.notePrimary("orders", "a", 3);
    directory.noteNotPrimary("orders", "a", Instant(seconds(100)));
    BOOST_TEST(directory.provenPrimary("orders").first.empty());
    BOOST_TEST(directory.ledTerm("orders", "a") == 3U);
    directory.notePrimary("orders", "b", 4);
    BOOST_TEST(directory.ledTerm("orders", "a") == 0U);
    BOOST_TEST(directory.ledTerm("orders", "b") == 4U);
}
