#include "status_report.h"
#include "support_odd_texts.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace plantainwall;
using test::printable;

namespace {

StatusReport reportOf(const std::string& text)
{
    StatusReport report;
    report.host = text;
    report.configFaults = { text };
    HostInfo host;
    host.config.name = host.config.dataCentre = text;
    report.hosts = { host };
    MemberReport member;
    member.name = member.owner = text;
    GroupReport group;
    group.name = group.primary = group.phase = text;
    group.members = { member };
    report.groups = { group };
    report.shares = { { text, 0.5 } };
    return report;
}

} // namespace

// Guards against texts of others that show as lines of their own or reach the terminal, and texts that show as one.
BOOST_AUTO_TEST_CASE(odd_texts_stay_in_their_line)
{
    test::OddTexts texts(8);
    std::set<std::string> names { "a", "\xff", "?", "\\xff", "a\nb", "a\\nb", "\"a\\nb\"" };
    while (names.size() < 300)
        names.insert(texts.lastField());
    std::set<std::string> documents;
    std::set<std::string> printed;
    const std::string plain = statusText(statusJson(reportOf("a")));
    for (const std::string& it : names) {
        const std::string document = statusJson(reportOf(it)).serialize();
        BOOST_TEST(documents.insert(document).second, "another text has the document of " << printable(it));
        const std::string text = statusText(web::json::value::parse(document));
        BOOST_TEST(printed.insert(text).second, "another text has the page of " << printable(it));
        BOOST_TEST(std::count(text.begin(), text.end(), '\n') == std::count(plain.begin(), plain.end(), '\n'),
            "a line too many for " << printable(it));
        BOOST_TEST(
            std::none_of(text.begin(), text.end(), [](unsigned char c) { return (c < ' ' && c != '\n') || c == 0x7f; }),
            "a control byte for " << printable(it));
    }
    BOOST_TEST(plain.find("  not in force: a\n") != std::string::npos);
}

// A document of the version before holds texts unchecked.
BOOST_AUTO_TEST_CASE(documents_of_the_version_before_are_printed)
{
    web::json::value document = statusJson(reportOf("a"));
    document["configuration_faults"][0] = web::json::value::string("x\xc0\x80\n\x1b[y");
    BOOST_TEST(statusText(document).find("  not in force: \"x\\\\xc0\\\\x80\\n\\u001b[y\"\n") != std::string::npos);
}
