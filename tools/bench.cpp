#include "bench_load.h"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <iostream>

using namespace plantainwall::bench;

namespace {

struct SuiteEntry {
    Suite run;
    std::vector<std::string> measures; ///< The suite runs if one of them is asked for.
};

const std::vector<SuiteEntry>& suites()
{
    static const std::vector<SuiteEntry> all = {
        { benchReads, { "replica_read_share", "stale_reads", "cross_region_bytes" } },
        { benchFailover, { "failover_write_gap_ms", "false_promotions", "acknowledged_writes_lost" } },
        { benchFairness, { "worst_customer_goodput_share", "worst_customer_p99_ratio" } },
        { benchFloor, { "floor_goodput_ratio" } },
        { benchRates, { "wrongful_refusals_share", "fleet_rate_excess" } },
        { benchConfig, { "config_spread_ms", "key_withdrawal_ms" } },
        { benchControl, { "control_bytes_per_s", "store_calls_per_s", "control_cpu_percent", "control_rss_mb" } },
        { benchHop, { "hop_throughput_ratio", "hop_latency_ratio", "idle_connection_bytes" } },
    };
    return all;
}

bool wanted(const SuiteEntry& suite, const std::string& measure)
{
    return measure.empty() || std::find(suite.measures.begin(), suite.measures.end(), measure) != suite.measures.end();
}

int runSuites(const RunOptions& options, const std::string& measure, const std::string& out)
{
    const std::filesystem::path directory = std::filesystem::path(out).parent_path();
    if (!directory.empty())
        std::filesystem::create_directories(directory);
    Report report(options, out);
    for (const SuiteEntry& suite : suites()) {
        if (wanted(suite, measure))
            suite.run(report);
    }
    if (!report.written()) {
        std::cerr << "bench: no measure is named \"" << measure << "\"\n";
        return 2;
    }
    std::cout << report.written() << " results, " << report.missed() << " missed their target, " << report.knownMissed()
              << " more are listed as known\n";
    return report.missed() ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Measures plantainwall against the targets of docs/design.md", "bench" };
    app.require_subcommand(1);
    RunOptions options;
    std::string measure;
    std::string out;
    CLI::App* const run = app.add_subcommand("run", "Runs the measures and appends a JSON object a line to a file");
    run->add_flag("--quick", options.quick, "Only virtual time, counts and ratios, with short runs");
    run->add_option("--measure", measure, "Only this measure (and those of the same run)");
    run->add_option("--seed", options.seed, "Seed of all random choices")->capture_default_str();
    run->add_option("--known-red", options.knownRed, "File of known misses, which do not fail the run");
    run->add_option("--out", out, "File for the results")->required();
    std::string listen;
    std::string target;
    unsigned threads = 4;
    CLI::App* const bareHop = app.add_subcommand("bare-hop", "Serves a pass-through hop of cpprestsdk alone");
    bareHop->add_option("--listen", listen, "ip:port")->required();
    bareHop->add_option("--target", target, "http://ip:port")->required();
    bareHop->add_option("--threads", threads, "Threads of cpprestsdk's pool")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        if (bareHop->parsed())
            return serveBareHop(listen, target, threads);
        return runSuites(options, measure, out);
    } catch (const std::exception& error) {
        std::cerr << "bench: " << error.what() << '\n';
        return 2;
    }
}
