#include "cli_explain.h"
#include "log_event.h"
#include "support_odd_texts.h"
#include <CLI/CLI.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <unistd.h>

using namespace plantainwall;

namespace {

/// Log in a temporary file of this process, which is removed at the end.
struct TemporaryLog {
    const std::string path = std::string(PLANTAINWALL_BUILD_DIR) + "/unit_cli_explain." + std::to_string(getpid());

    explicit TemporaryLog(const std::set<std::string>& ids)
    {
        std::ofstream file(path);
        for (const std::string& id : ids)
            file << logEventLine(LogEvent::StatementServed, { { "request", id }, { "n", id.size() } },
                "2026-12-04T10:00:21Z", "a", "json")
                 << '\n';
    }
    ~TemporaryLog() { unlink(path.c_str()); }
};

/// Returns what the command prints; the error if it fails.
std::string output(const std::vector<std::string>& arguments)
{
    CLI::App app;
    app.add_subcommand("status");
    addExplainCommand(app);
    std::vector<const char*> words { "plantainwall" };
    for (const std::string& it : arguments)
        words.push_back(it.c_str());
    std::ostringstream out;
    std::streambuf* const old = std::cout.rdbuf(out.rdbuf());
    std::string error;
    try {
        app.parse(static_cast<int>(words.size()), words.data());
    } catch (const CLI::Error& e) {
        error = e.get_name() + ": " + e.what();
    }
    std::cout.rdbuf(old);
    return error.empty() ? out.str() : error;
}

} // namespace

// Guards against ids that the command line takes for something else.
BOOST_AUTO_TEST_CASE(odd_ids_are_arguments)
{
    const std::set<std::string> ids { "-", "-x", "--help", "status", "explain", "[a,b]", "[a]", "{a}", "%a", "++",
        "a=b", "a b", "'a'", "`a`", "\\", "a\\", "\"", "a\nb", "\xff", "r1" };
    const TemporaryLog log(ids);
    for (const std::string& id : ids) {
        const std::string text = output({ "explain", "--", id, log.path });
        BOOST_TEST(text.find(" n=" + std::to_string(id.size()) + "\n") != std::string::npos,
            test::printable(id) << ": " << text);
        BOOST_TEST(text.find("outcome\n") != std::string::npos);
    }
}
