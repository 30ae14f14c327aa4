#include "metrics.h"
#include "support_odd_texts.h"
#include "text_escape.h"
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

using namespace plantainwall;

namespace {

bool hasLine(const std::string& text, const std::string& line)
{
    return text.find('\n' + line + '\n') != std::string::npos;
}

/// Returns the values of plantainwall_rate_share by label, as the text format of Prometheus defines it.
std::map<std::string, std::string> sharesOf(const std::string& text)
{
    constexpr std::string_view begin = "plantainwall_rate_share{team=\"";
    std::map<std::string, std::string> shares;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        if (line.compare(0, begin.size(), begin) != 0)
            continue;
        std::string label;
        size_t i = begin.size();
        for (; i < line.size() && line[i] != '"'; ++i) {
            if (line[i] == '\\' && ++i < line.size() && line[i] == 'n')
                label += '\n';
            else
                label += line[i];
        }
        BOOST_TEST(shares.emplace(label, line.substr(std::min(i + 1, line.size()))).second);
    }
    return shares;
}

} // namespace

// Guards against labels that end their line or are no UTF-8: a scraper refuses the whole page.
BOOST_AUTO_TEST_CASE(odd_customers_have_labels_of_their_own)
{
    test::OddTexts texts(9);
    Metrics metrics;
    std::map<std::string, std::string> expected;
    std::vector<std::string> names { "\xff", "?", "\\xff", "a\nb", "a\\nb", "a\"} 1", "\xc0\x80" };
    for (int i = 0; i < 300; ++i)
        names.push_back(texts.lastField());
    for (size_t i = 0; i < names.size(); ++i) {
        metrics.setRateShare(names[i], static_cast<double>(i));
        expected[escapedUtf8(names[i])] = "} " + std::to_string(i);
    }
    const std::string text = metrics.metricsText();
    BOOST_TEST(isUtf8(text));
    BOOST_TEST((sharesOf(text) == expected));
    for (const std::string& it : names)
        metrics.removeRateShare(it);
    BOOST_TEST(sharesOf(metrics.metricsText()).empty());
}

// Guards against values that are exported under a wrong name or label.
BOOST_AUTO_TEST_CASE(values_reach_their_metrics)
{
    Metrics metrics;
    metrics.countAnswer(ResultCode::Ok, std::chrono::milliseconds(2));
    metrics.countAnswer(ResultCode::QueueFull, std::chrono::milliseconds(20));
    for (size_t i = 0; i < static_cast<size_t>(MetricCounter::Count); ++i)
        metrics.count(static_cast<MetricCounter>(i), 10 + i);
    for (size_t i = 0; i < static_cast<size_t>(MetricGauge::Count); ++i)
        metrics.set(static_cast<MetricGauge>(i), 20 + static_cast<double>(i));
    for (size_t i = 0; i < static_cast<size_t>(MetricHistogram::Count); ++i)
        metrics.observe(static_cast<MetricHistogram>(i), std::chrono::milliseconds(2 + 10 * i));
    metrics.raiseTo(MetricCounter::SpansDropped, 30);
    metrics.raiseTo(MetricCounter::SpansDropped, 17); // An older total that is reported late.
    metrics.setRateShare("hatter", 0.25);
    metrics.setRateShare("gone", 0.5);
    metrics.removeRateShare("gone");
    metrics.setCollector([](Metrics& m) { m.set(MetricGauge::ConfigurationAge, 0.5); });
    const std::string text = metrics.metricsText();
    for (const char* line :
        { "plantainwall_answers_total{code=\"ok\"} 1", "plantainwall_answers_total{code=\"queue_full\"} 1",
            "plantainwall_request_seconds_bucket{le=\"0.0025\"} 1", "plantainwall_request_seconds_count 2",
            "plantainwall_reads_total{served_by=\"replica\"} 10", "plantainwall_reads_total{served_by=\"primary\"} 11",
            "plantainwall_forwarded_total 12", "plantainwall_retries_total 13", "plantainwall_promotions_total 14",
            "plantainwall_connections_refused_total 15", "plantainwall_spans_dropped_total 30",
            "plantainwall_queued_requests 20", "plantainwall_running_requests 21",
            "plantainwall_connections{side=\"callers\"} 22", "plantainwall_connections{side=\"databases\"} 23",
            "plantainwall_connections{side=\"pooled\"} 24", "plantainwall_connections{side=\"lent\"} 25",
            "plantainwall_members_owned 26", "plantainwall_seats_held 27", "plantainwall_configuration_revision 28",
            "plantainwall_configuration_age_seconds 0.5", "plantainwall_rate_share{team=\"hatter\"} 0.25",
            "plantainwall_statement_seconds_bucket{route=\"primary\",le=\"0.0025\"} 1",
            "plantainwall_statement_seconds_bucket{route=\"bounded_staleness\",le=\"0.01\"} 0",
            "plantainwall_statement_seconds_bucket{route=\"bounded_staleness\",le=\"0.025\"} 1",
            "plantainwall_statement_seconds_bucket{route=\"read_your_writes\",le=\"0.01\"} 0",
            "plantainwall_statement_seconds_count{route=\"read_your_writes\"} 1" })
        BOOST_TEST(hasLine(text, line), line << " is missing in\n" << text);
    BOOST_TEST(text.find("gone") == std::string::npos);
    BOOST_TEST(metrics.stats().requests == 2U);
    BOOST_TEST(metrics.stats().readsByPrimary == 11U);
    BOOST_TEST(metrics.stats().retries == 13U);
}

// Guards against lost counts and crashes when shares change during a scrape.
BOOST_AUTO_TEST_CASE(threads_may_count_during_a_scrape)
{
    Metrics metrics;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&metrics, t] {
            const std::string customer = "team-" + std::to_string(t);
            for (int i = 0; i < 2000; ++i) {
                metrics.countAnswer(ResultCode::Ok, Duration(i));
                metrics.setRateShare(customer, 0.5);
                if (i % 10 == 0)
                    metrics.removeRateShare(customer);
            }
        });
    }
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(!metrics.metricsText().empty());
    for (std::thread& thread : threads)
        thread.join();
    BOOST_TEST(metrics.stats().requests == 8000U);
}

// Guards against a page that differs from the table of metrics.
BOOST_AUTO_TEST_CASE(page_matches_the_metrics)
{
    constexpr std::string_view typeNames[] = { "counter", "gauge", "histogram" };
    std::ostringstream page;
    page << std::ifstream(std::string(PLANTAINWALL_BUILD_DIR) + "/../docs/metrics.md").rdbuf();
    std::string rows = "| metric | type | label | meaning |\n|---|---|---|---|\n";
    for (const MetricInfo& info : metricInfos())
        rows += "| `" + std::string(info.name) + "` | " + std::string(typeNames[static_cast<size_t>(info.type)]) + " | "
            + (info.label.empty() ? "-" : '`' + std::string(info.label) + '`') + " | " + std::string(info.meaning)
            + " |\n";
    BOOST_TEST(page.str().find(rows + '\n') != std::string::npos, "docs/metrics.md must contain:\n" << rows);
}
