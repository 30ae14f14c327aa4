#include "plantainwall/plantainwall.h"
#include <boost/test/unit_test.hpp>
#include <set>

using namespace plantainwall;

// Guards against two codes with the same name, which callers could not tell apart.
BOOST_AUTO_TEST_CASE(names_are_unique_and_reversible)
{
    std::set<std::string_view> names;
    for (size_t i = 0; i < static_cast<size_t>(ResultCode::Count); ++i) {
        const ResultCode code = static_cast<ResultCode>(i);
        const ResultCodeInfo& info = resultCodeInfo(code);
        BOOST_TEST(names.insert(info.name).second);
        BOOST_TEST((resultCodeFromName(info.name) == code));
        BOOST_TEST(info.httpStatus >= 200);
    }
}
