#include "bench_cluster.h"
#include <algorithm>

namespace plantainwall::bench {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr size_t customers = 48; // More than changes in a run, so that no key is withdrawn twice.
    constexpr Duration firstChange = seconds(6);
    constexpr Duration changeInterval = seconds(6); // Longer than the target, so that changes do not overlap.
    constexpr Duration never = seconds(100);

    struct SpreadCase {
        std::string_view name;
        Duration storeDelay;
        bool cut;
    };

    constexpr SpreadCase spreadCases[] = {
        { "healthy_store", milliseconds(2), false },
        { "slow_store", milliseconds(1500), false },
        { "data_centre_cut", milliseconds(2), true },
    };

    /// Times until each change was in force on the hosts that could learn it.
    struct Spread {
        std::vector<double> limitMs; ///< Last host, by change.
        std::vector<double> keyMs;
        std::vector<double> afterCutMs; ///< Hosts of the data centre that was cut off, from its return.
    };

    /// Alternates changes of a limit with withdrawals of a key, and notes when each is in force on each host.
    class SpreadRun {
    public:
        SpreadRun(const Deployment& deployment, size_t hosts, const SpreadCase& spreadCase, uint64_t seed)
            : m_case(spreadCase)
            , m_cluster(
                  deployment, { hosts, makeContent(deployment, customers, 3, 0), spreadCase.storeDelay, false }, seed)
            , m_done(hosts, false)
        {
        }

        Spread run(unsigned changes)
        {
            m_cluster.onInput([this](size_t host) { check(host); });
            for (unsigned i = 0; i < changes; ++i)
                m_cluster.queue().at(Instant(firstChange + changeInterval * i), [this, i] { begin(i); });
            m_cluster.queue().run(Instant(firstChange + changeInterval * changes));
            closeChange();
            return m_spread;
        }

    private:
        bool withdraws() const { return m_number % 2 == 1; }

        void begin(unsigned number)
        {
            closeChange();
            m_number = number;
            m_applied.reset();
            m_last = Duration::zero();
            std::fill(m_done.begin(), m_done.end(), false);
            size_t host = m_cluster.queue().pick(m_cluster.size());
            if (m_case.cut) {
                const size_t dataCentre = number % (m_cluster.dataCentreOf(m_cluster.size() - 1) + 1);
                m_cut = dataCentre;
                m_cluster.cut(dataCentre);
                while (m_cluster.dataCentreOf(host) == dataCentre)
                    host = m_cluster.queue().pick(m_cluster.size());
                m_healed = m_cluster.queue().now() + changeInterval / 2;
                m_cluster.queue().at(m_healed, [this] { m_cluster.cut(std::nullopt); });
            }
            const std::string team = "team-" + std::to_string(number % customers);
            const ConfigText text = withdraws()
                ? ConfigText("teams/" + team + "/keys/k-" + std::to_string(number % customers),
                    "digest = \"" + std::string(64, 'a') + "\"\nwithdrawn = true")
                : ConfigText(
                    "teams/" + team + "/limits", "rate_per_s = " + std::to_string(1000 + number) + "\nburst = 450");
            m_cluster.change(host, text, [this] { m_applied = m_cluster.queue().now(); });
        }

        bool inForce(const ConfigSnapshot& snapshot) const
        {
            const size_t index = m_number % customers;
            const CustomerConfig& customer = snapshot.customers.at("team-" + std::to_string(index));
            return withdraws() ? customer.keys.at("k-" + std::to_string(index)).withdrawn
                               : customer.ratePerSecond == 1000.0 + m_number;
        }

        void check(size_t host)
        {
            if (!m_applied || m_done[host] || !inForce(*m_cluster.configuration(host).snapshot()))
                return;
            m_done[host] = true;
            const Instant now = m_cluster.queue().now();
            if (m_cut && m_cluster.dataCentreOf(host) == *m_cut)
                m_spread.afterCutMs.push_back(
                    bench::milliseconds(std::chrono::duration_cast<Duration>(now - m_healed)));
            else
                m_last = std::max(m_last, std::chrono::duration_cast<Duration>(now - *m_applied));
        }

        void closeChange()
        {
            if (!m_applied)
                return;
            for (size_t host = 0; host < m_done.size(); ++host) {
                if (!m_done[host])
                    m_last = never; // Not in force before the next change.
            }
            (withdraws() ? m_spread.keyMs : m_spread.limitMs).push_back(bench::milliseconds(m_last));
            m_applied.reset();
        }

        SpreadCase m_case;
        ConfigCluster m_cluster;
        std::vector<bool> m_done;
        unsigned m_number = 0;
        std::optional<Instant> m_applied;
        Duration m_last {};
        std::optional<size_t> m_cut;
        Instant m_healed {};
        Spread m_spread;
    };

    void addSpread(Report& report, const std::string& deployment, const std::string& name, Spread spread)
    {
        for (const bool keys : { false, true }) {
            std::vector<double>& times = keys ? spread.keyMs : spread.limitMs;
            Result result { keys ? "key_withdrawal_ms" : "config_spread_ms", deployment, name, percentile(times, 1),
                "ms", std::nullopt, {} };
            result.details["p50"] = percentile(times, 0.5);
            result.details["changes"] = static_cast<double>(times.size());
            if (!spread.afterCutMs.empty())
                result.details["after_return_ms"] = percentile(spread.afterCutMs, 1);
            report.add(result);
        }
    }

} // namespace

void benchConfig(Report& report)
{
    const std::vector<size_t> sizes
        = report.options().quick ? std::vector<size_t> { 9, 90 } : std::vector<size_t> { 9, 90, 750 };
    for (const Deployment& deployment : deployments()) {
        for (const size_t hosts : sizes) {
            for (const SpreadCase& spreadCase : spreadCases) {
                const unsigned changes = report.options().quick ? 6 : hosts > 90 ? 12 : 40;
                const Deployment sized = hosts > 9 ? atDesignSize(deployment) : deployment;
                SpreadRun run(sized, hosts, spreadCase, report.options().seed);
                addSpread(report, deployment.name,
                    std::string(spreadCase.name) + "_" + std::to_string(hosts) + "_hosts", run.run(changes));
            }
        }
    }
}

} // namespace plantainwall::bench
