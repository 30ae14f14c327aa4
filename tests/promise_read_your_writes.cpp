#include "support_entry_host.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall::test;

// Guards against a session that reads data older than its own write after it moved to another entry host.
BOOST_AUTO_TEST_CASE(after_moving_with_lagging_replicas)
{
    Fleet::Options options;
    options.group.lagMs = 100;
    Fleet fleet(options);
    Caller caller = fleet.caller();
    for (int i = 0; i < 30; ++i) {
        const std::string text = std::to_string(i);
        const CallerReply written = caller.query(fleet.at(i % 3), "g", { "PUT k " + text });
        BOOST_REQUIRE_MESSAGE(written.ok(), written.http.text + written.http.error);
        for (size_t host = 0; host < 3; ++host) {
            const CallerReply read = caller.read(fleet.at(host), "g", "GET k");
            BOOST_REQUIRE_MESSAGE(read.ok(), read.http.text + read.http.error);
            BOOST_TEST(read.result().value_or("none") == text);
        }
    }
}
