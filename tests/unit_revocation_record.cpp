#include "log_event.h"
#include "revocation_record.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration lifetime = seconds(6);
const RecordedRevocation recorded { { 2, RevocationScope::AllCommits, "", true }, 7, 11 };

/// A store and the records of a coordinator.
struct RecordsFixture {
    RecordsFixture() { setLogLevel("error"); }

    /// Makes the writes that are due. Returns how many there were.
    size_t write(StoreOutcome outcome = StoreOutcome::Ok)
    {
        const std::vector<StoreWrite> writes = records.due(known, now);
        for (const StoreWrite& write : writes) {
            const auto it = items.find(write.key);
            const bool expected = (it == items.end() ? 0 : it->second.revision) == write.expectedRevision;
            if (outcome == StoreOutcome::Ok && expected) {
                ++revision;
                if (write.removes)
                    items.erase(write.key);
                else
                    items[write.key] = { write.key, write.value, revision };
            }
            records.written(
                write.key, { expected ? outcome : StoreOutcome::Conflict, expected ? revision : 0, 1 }, now);
        }
        return writes.size();
    }

    const std::string key = RevocationRecords::prefix + "orders";
    Instant now { seconds(100) };
    std::map<std::string, StoreItem> items;
    std::map<std::string, StoreItem> known; ///< What the coordinator has read.
    uint64_t revision = 20;
    RevocationRecords records;
};

} // namespace

BOOST_AUTO_TEST_CASE(encoded_revocation_is_decoded)
{
    BOOST_TEST((decodeRevocation(encodeRevocation(recorded)) == recorded));
    const RecordedRevocation greatest { { maxLogNumber, RevocationScope::NewCommits, "", false }, UINT64_MAX,
        UINT64_MAX };
    BOOST_TEST((decodeRevocation(encodeRevocation(greatest)) == greatest));
    for (const char* text : { "", "{}", R"({"token":1,"number":1,"below_term":0,"scope":0,"ordered":true})",
             R"({"token":1,"number":1,"below_term":2,"scope":2,"ordered":true})",
             R"({"token":-1,"number":1,"below_term":2,"scope":0,"ordered":true})", R"([["token"]])" })
        BOOST_CHECK_THROW(decodeRevocation(text), std::exception);
}

// A revocation is written once and removed once, also if what was read is older than the own writes.
BOOST_FIXTURE_TEST_CASE(revocation_is_written_and_removed, RecordsFixture)
{
    records.set("orders", recorded);
    BOOST_TEST(!records.recordedAt("orders"));
    BOOST_TEST(write() == 1U);
    BOOST_TEST((records.recordedAt("orders") == now));
    BOOST_TEST((decodeRevocation(items.at(key).value) == recorded));
    BOOST_TEST(write() == 0U);
    records.set("orders", std::nullopt);
    BOOST_TEST(write() == 1U);
    BOOST_TEST(items.empty());
    BOOST_TEST(write() == 0U);
    BOOST_TEST(!records.recordedAt("orders"));
    known[key] = { key, encodeRevocation(recorded), 21 };
    records.set("orders", recorded);
    BOOST_TEST(write() == 1U);
    BOOST_TEST(items.size() == 1U);
}

// A write without an answer may have been carried out; it is repeated with what is read since.
BOOST_FIXTURE_TEST_CASE(failed_write_is_repeated, RecordsFixture)
{
    records.set("orders", recorded);
    BOOST_TEST(write(StoreOutcome::Unreachable) == 1U);
    BOOST_TEST(!records.recordedAt("orders"));
    BOOST_TEST(write() == 0U);
    now += milliseconds(200);
    items[key] = { key, "late", 21 };
    BOOST_TEST(write() == 1U);
    BOOST_TEST(!records.recordedAt("orders"));
    now += milliseconds(200);
    known = items;
    BOOST_TEST(write() == 1U);
    BOOST_TEST((records.recordedAt("orders") == now));
}

// What a coordinator that ended has left is removed, or replaced, by the next one.
BOOST_FIXTURE_TEST_CASE(item_of_an_earlier_coordinator_is_removed, RecordsFixture)
{
    items[key] = { key, encodeRevocation(recorded), 21 };
    known = items;
    records.set("orders", std::nullopt);
    BOOST_TEST(write() == 1U);
    BOOST_TEST(items.empty());
    records.set("other", std::nullopt);
    BOOST_TEST(write() == 0U);
}

// Guards against a revocation that ends although the coordinator has renewed it since, or that lasts without end.
BOOST_FIXTURE_TEST_CASE(items_revoke_until_they_are_removed, RecordsFixture)
{
    PrimaryRevocations revocations;
    items[key] = { key, encodeRevocation(recorded), 21 };
    records.itemsRead(items, true, revocations, now, lifetime);
    BOOST_TEST(revocations.withholdsCommits("orders", "p", 1, now));
    BOOST_TEST(!revocations.withholdsCommits("orders", "p", 1, now + lifetime));
    // A read beside those that are followed may be an older one.
    records.itemsRead({}, false, revocations, now, lifetime);
    BOOST_TEST(revocations.isRevoked("orders", "p", 1, now));
    records.itemsRead({}, true, revocations, now, lifetime);
    BOOST_TEST(!revocations.isRevoked("orders", "p", 1, now));
    // The coordinator has withdrawn it by a message, and the item is read once more before its removal.
    revocations.revoke("orders", recorded.revocation, 7, now, lifetime, 12);
    revocations.withdraw("orders", 7, 13);
    records.itemsRead(items, true, revocations, now, lifetime);
    BOOST_TEST(!revocations.isRevoked("orders", "p", 1, now));
    // It has revoked again before the removal is read.
    revocations.revoke("orders", recorded.revocation, 7, now, lifetime, 14);
    records.itemsRead({}, true, revocations, now, lifetime);
    BOOST_TEST(revocations.isRevoked("orders", "p", 1, now));
    // An item of an earlier coordinator changes nothing.
    items[key].value = encodeRevocation({ { 9, RevocationScope::AllCommits, "", false }, 6, 99 });
    records.itemsRead(items, true, revocations, now, lifetime);
    BOOST_REQUIRE(revocations.unfinished("orders", 8, now).has_value());
    BOOST_TEST(revocations.unfinished("orders", 8, now)->term == 2U);
}

// A malformed item of another writer changes nothing, and neither does a copy of the store that lacks an item.
BOOST_FIXTURE_TEST_CASE(malformed_and_lost_items_change_nothing, RecordsFixture)
{
    PrimaryRevocations revocations;
    items[key] = { key, encodeRevocation(recorded), 21 };
    items[RevocationRecords::prefix + "a"] = { RevocationRecords::prefix + "a", "{", 22 };
    records.itemsRead(items, true, revocations, now, lifetime);
    BOOST_TEST(revocations.isRevoked("orders", "p", 1, now));
    BOOST_TEST(!revocations.isRevoked("a", "p", 1, now));
    records.storeRestored();
    records.itemsRead({}, true, revocations, now, lifetime);
    BOOST_TEST(revocations.isRevoked("orders", "p", 1, now));
}
