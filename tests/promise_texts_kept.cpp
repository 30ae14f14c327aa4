#include "support_entry_host.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall::test;

// Guards against a body that no caller may send ending the host that reads it.
BOOST_AUTO_TEST_CASE(bodies_that_are_no_unicode)
{
    Fleet fleet;
    for (size_t i = 0; i < fleet.size(); ++i) {
        for (const char* text : { R"(\ud800\u0041)", R"(\udc00)", "\xfe" }) {
            const HttpResult reply = callHttp("POST", fleet.at(i), "/v1/groups/g/query",
                "{\"statements\":[\"PUT a " + std::string(text) + "\"]}",
                { { "Authorization", "Bearer " + fleet.key() }, { "Content-Type", "application/json" } });
            BOOST_TEST(reply.status == 400, reply.text << reply.error);
            BOOST_TEST(fleet.host(i).process().running());
        }
    }
}
