#include "server_directory.h"
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

BOOST_AUTO_TEST_CASE(oldest_lapsed_servers_of_a_service_are_dropped)
{
    DirectorySettings settings;
    settings.maxLapsedPerService = 3;
    ServerDirectory directory(settings);
    const Instant now { seconds(100) };
    directory.addLapsed(entryOf("a", "invoices"), now);
    int passed = 0;
    for (const char* const id : { "e", "d", "c", "b" })
        directory.addLapsed(entryOf(id), now + seconds(++passed));
    BOOST_TEST(lapsedIds(directory) == (Ids { "b", "c", "d" }));
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
