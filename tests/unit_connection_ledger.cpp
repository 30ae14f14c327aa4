#include "connection_ledger.h"
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace plantainwall;

// Guards against more connections than half of the limit, one connection granted to two requests, a connection in an
// uncertain state granted again, and waiters that are not served although a connection is free.
BOOST_AUTO_TEST_CASE(connections_are_limited_and_exclusive)
{
    const bool held = rc::check("limit and exclusive use under any order of events", [] {
        ConnectionLedger ledger;
        const unsigned limit = *rc::gen::inRange(2U, 9U);
        ledger.setLimit(limit);
        Instant now(std::chrono::seconds(1));
        size_t opening = 0;
        std::set<std::string> existing;
        std::map<std::string, uint64_t> used;
        std::set<std::string> doubtful;
        std::set<uint64_t> waiting;
        uint64_t next = 0;
        const auto apply = [&](const ConnectionLedger::Actions& actions) {
            for (const ConnectionLedger::Action& action : actions) {
                if (std::holds_alternative<ConnectionLedger::Open>(action))
                    ++opening;
                if (const ConnectionLedger::Close* close = std::get_if<ConnectionLedger::Close>(&action)) {
                    RC_ASSERT(used.count(close->connection) == 0U);
                    existing.erase(close->connection);
                }
                if (const ConnectionLedger::Grant* grant = std::get_if<ConnectionLedger::Grant>(&action)) {
                    RC_ASSERT(used.emplace(grant->connection, grant->waiter).second);
                    RC_ASSERT(doubtful.count(grant->connection) == 0U);
                    RC_ASSERT(waiting.erase(grant->waiter) == 1U);
                }
                if (const ConnectionLedger::Expire* expire = std::get_if<ConnectionLedger::Expire>(&action))
                    RC_ASSERT(waiting.erase(expire->waiter) == 1U);
            }
            RC_ASSERT(existing.size() + opening <= limit / 2);
            RC_ASSERT(ledger.inUse() == used.size());
            RC_ASSERT(waiting.empty() || ledger.open() == ledger.inUse());
        };
        for (const int step : *rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 6))) {
            now += std::chrono::milliseconds(20);
            if (step <= 1) {
                waiting.insert(++next);
                apply(ledger.acquire(next, now + std::chrono::seconds(1), now));
            } else if (step == 2 && opening > 0) {
                --opening;
                const std::string connection = "c" + std::to_string(++next);
                existing.insert(connection);
                apply(ledger.opened(connection, now));
            } else if (step == 3 && opening > 0) {
                --opening;
                apply(ledger.openFailed(now));
            } else if (step == 4 && !used.empty()) {
                const std::string connection = used.begin()->first;
                const uint64_t holder = used.begin()->second;
                const bool reusable = *rc::gen::arbitrary<bool>();
                used.erase(connection);
                if (!reusable)
                    doubtful.insert(connection);
                apply(ledger.release(holder, connection, reusable, now));
                apply(ledger.release(holder, connection, true, now)); // A second release must have no effect.
            } else {
                apply(ledger.tick(now));
            }
        }
        now += std::chrono::seconds(10);
        apply(ledger.tick(now));
        RC_ASSERT(waiting.empty());
    });
    BOOST_TEST(held);
}
