#include "bench_rates.h"
#include "controller_limits.h"
#include "rate_share.h"
#include <algorithm>
#include <deque>

namespace plantainwall::bench {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration loadFrom = seconds(5); // Buckets start empty.
    constexpr Duration longestWait = milliseconds(50); // LimitSettings::maxLoanWait
    constexpr Duration tickInterval = milliseconds(10);
    constexpr Duration moveInterval = seconds(5);
    constexpr size_t callBytes = 500; // Assumed heads of a control call and its answer, with the peer authentication.
    constexpr Duration restartDelay = milliseconds(2040); // Loans of the earlier process have ended by then.

    constexpr const char* overloadName = "four_times_the_rate";

    /// Token bucket with burst b and rate r: a sequence that never overdraws it has at most b + r w admissions in every
    /// window of length w.
    class ReferenceBucket {
    public:
        ReferenceBucket(double rate, double burst)
            : m_rate(rate)
            , m_burst(burst)
            , m_level(burst)
        {
        }

        double levelAt(Instant now)
        {
            m_level = std::min(m_burst, m_level + m_rate * static_cast<double>((now - m_updated).count()) / 1e6);
            m_updated = now;
            return m_level;
        }

        void take() { m_level -= 1; }

    private:
        double m_rate;
        double m_burst;
        double m_level;
        Instant m_updated {};
    };

    class RateRun {
    public:
        RateRun(const Deployment& deployment, const RateScenario& scenario, uint64_t seed, bool measureCpu)
            : m_deployment(deployment)
            , m_scenario(scenario)
            , m_queue(seed)
            , m_measureCpu(measureCpu)
            , m_ideal(scenario.rate, scenario.burst)
            , m_limit(scenario.rate, scenario.burst)
            , m_hosts(scenario.hosts)
        {
            for (size_t i = 0; i < m_hosts.size(); ++i) {
                m_names.push_back("h" + std::to_string(i));
                m_indices[m_names.back()] = i;
                if (rateSliceUnits(i) > 0)
                    m_holders.push_back(m_names.back());
                m_hosts[i].dataCentre = i * deployment.dataCentres.size() / m_hosts.size();
            }
            m_pool = m_hosts.size() / 2;
        }

        RateFigures run()
        {
            for (size_t i = 0; i < m_hosts.size(); ++i) {
                start(i, Duration::zero());
                m_queue.after(milliseconds(i % 10) + Duration(1), [this, i] { tick(i); });
                // Arrivals have a generator of their own, so that the baseline gets the same ones.
                m_arrivals.push_back(std::make_unique<EventQueue>(m_queue.random()()));
                m_queue.after(loadFrom, [this, i] { scheduleArrival(i); });
            }
            const Duration third = m_scenario.length / 3;
            if (m_scenario.hostLoss) {
                m_queue.after(third, [this] { kill(m_hosts.size() - 1); });
                m_queue.after(2 * third, [this] { start(m_hosts.size() - 1, restartDelay); });
            }
            if (m_scenario.partition) {
                m_queue.after(third, [this] { m_parted = true; });
                m_queue.after(2 * third, [this] { m_parted = false; });
            }
            m_queue.run(Instant(m_scenario.length));
            for (const Host& host : m_hosts) {
                m_figures.bytes += host.bytes;
                m_figures.mostBytes = std::max(m_figures.mostBytes, host.bytes);
            }
            m_figures.seconds = bench::milliseconds(m_scenario.length - loadFrom) / 1000;
            return m_figures;
        }

    private:
        struct Waiting {
            Instant until {};
            bool inRate = false;
        };
        struct Host {
            std::unique_ptr<CustomerShare> share;
            size_t dataCentre = 0;
            uint64_t incarnation = 0;
            Instant rateSlicesFrom {};
            std::deque<Waiting> waiting;
            uint64_t bytes = 0; ///< Sent and received.
        };

        template <typename Call> auto timed(Call call) -> decltype(call())
        {
            const Duration before = m_measureCpu ? threadCpuTime() : Duration::zero();
            decltype(call()) result = call();
            if (m_measureCpu)
                m_figures.cpu += threadCpuTime() - before;
            return result;
        }

        void start(size_t i, Duration rateSliceDelay)
        {
            Host& host = m_hosts[i];
            host.share = std::make_unique<CustomerShare>(LimitSettings(), "c", m_names[i], ++host.incarnation);
            host.share->share().setLimit(m_scenario.rate, m_scenario.burst, m_queue.now());
            host.rateSlicesFrom = m_queue.now() + rateSliceDelay;
        }

        /// The process ends; its waiting requests fail with it and are not counted as refused.
        void kill(size_t i)
        {
            m_hosts[i].share.reset();
            m_hosts[i].waiting.clear();
        }

        /// All seats are divided among the hosts; with more hosts than seats, some have none.
        ShareUnits rateSliceUnits(size_t i) const
        {
            const unsigned rateSlices = LimitSettings().rateSlices;
            ShareUnits units = 0;
            for (unsigned slice = 0; slice < rateSlices; ++slice)
                units += slice * m_hosts.size() / rateSlices == i ? wholeShare / rateSlices : 0;
            return units;
        }

        void grantRateSlices(size_t i)
        {
            OwnShare own;
            if (m_scenario.fixedShares)
                own.unconditional = wholeShare / static_cast<ShareUnits>(m_hosts.size());
            else if (m_hosts[i].rateSlicesFrom <= m_queue.now())
                own.unconditional = rateSliceUnits(i);
            m_hosts[i].share->share().setOwn(own, m_queue.now());
        }

        double loadOf(size_t i) const
        {
            if (!m_scenario.moving)
                return m_scenario.load[i];
            const size_t moves = static_cast<size_t>(m_queue.now().time_since_epoch() / moveInterval);
            return m_scenario.load[(i + moves) % m_hosts.size()];
        }

        void scheduleArrival(size_t i)
        {
            const double load = loadOf(i);
            if (load <= 0) {
                m_queue.after(milliseconds(10), [this, i] { scheduleArrival(i); });
                return;
            }
            m_queue.after(m_arrivals[i]->exponential(fromMicroseconds(1e6 / load)), [this, i] {
                arrive(i);
                scheduleArrival(i);
            });
        }

        void arrive(size_t i)
        {
            Host& host = m_hosts[i];
            if (!host.share)
                return;
            ++m_figures.arrivals;
            Waiting request { m_queue.now() + longestWait, m_ideal.levelAt(m_queue.now()) >= 1 };
            if (request.inRate) {
                m_ideal.take();
                ++m_figures.inRate;
            }
            host.waiting.push_back(request);
            serveWaiting(host);
            if (!host.waiting.empty())
                tickShare(i);
        }

        void serveWaiting(Host& host)
        {
            while (!host.waiting.empty()) {
                const Waiting request = host.waiting.front();
                if (request.until < m_queue.now())
                    m_figures.wrongful += request.inRate ? 1 : 0;
                else if (timed([&] { return host.share->share().tryAdmit(m_queue.now()); }))
                    admitted();
                else
                    return;
                host.waiting.pop_front();
            }
        }

        void admitted()
        {
            ++m_figures.admitted;
            const double level = m_limit.levelAt(m_queue.now());
            m_limit.take();
            // Rounding of the buckets' doubles adds less than a millionth of a token.
            if (1 - level > 1e-6)
                m_figures.excess = std::max(m_figures.excess, 1 - level);
        }

        void tick(size_t i)
        {
            m_queue.after(tickInterval, [this, i] { tick(i); });
            if (!m_hosts[i].share)
                return;
            grantRateSlices(i);
            serveWaiting(m_hosts[i]);
            tickShare(i);
        }

        void tickShare(size_t i)
        {
            if (m_scenario.fixedShares)
                return;
            send(i, timed([&] { return m_hosts[i].share->tick(m_names[poolOf(i)], m_holders, m_queue.now()); }));
        }

        bool reachable(size_t a, size_t b) const
        {
            return m_hosts[b].share
                && (!m_parted || m_deployment.sameRegion(m_hosts[a].dataCentre, m_hosts[b].dataCentre));
        }

        /// The pool host that a host sees: the first one in order that it reaches.
        size_t poolOf(size_t i) const
        {
            size_t pool = m_pool;
            while (!reachable(i, pool) && pool != i)
                pool = (pool + 1) % m_hosts.size();
            return pool;
        }

        /// Messages to one host travel in one call, as LimitsController::append() does.
        void send(size_t from, const std::vector<ShareMessage>& messages)
        {
            std::map<std::string, std::vector<ShareMessage>> calls;
            for (const ShareMessage& message : messages)
                calls[message.to].push_back(message);
            for (const std::pair<const std::string, std::vector<ShareMessage>>& call : calls)
                sendCall(from, m_indices.at(call.first), call.second);
        }

        void sendCall(size_t from, size_t to, const std::vector<ShareMessage>& messages)
        {
            if (m_queue.now() >= Instant(loadFrom)) {
                m_figures.messages += messages.size();
                if (m_measureCpu) {
                    const size_t bytes = timed([&] { return encodeShares(messages).size(); }) + callBytes;
                    m_hosts[from].bytes += bytes;
                    m_hosts[to].bytes += bytes;
                }
            }
            const Duration way = m_deployment.latency(m_hosts[from].dataCentre, m_hosts[to].dataCentre);
            const Duration delay = way + fromMicroseconds(m_queue.uniform(0, static_cast<double>(way.count()) / 10));
            for (const ShareMessage& message : messages)
                m_queue.after(delay, [this, from, to, message] { deliver(from, to, message); });
        }

        void deliver(size_t from, size_t to, const ShareMessage& message)
        {
            if (!reachable(from, to))
                return;
            send(to, timed([&] { return m_hosts[to].share->receive(message, m_holders, m_queue.now()); }));
            serveWaiting(m_hosts[to]);
        }

        const Deployment& m_deployment;
        RateScenario m_scenario;
        EventQueue m_queue;
        bool m_measureCpu;
        ReferenceBucket m_ideal;
        ReferenceBucket m_limit;
        std::vector<Host> m_hosts;
        std::vector<std::string> m_names;
        std::map<std::string, size_t> m_indices;
        std::vector<std::unique_ptr<EventQueue>> m_arrivals;
        std::vector<std::string> m_holders; ///< Hosts with seats, which the pool host asks.
        size_t m_pool = 0;
        bool m_parted = false;
        RateFigures m_figures;
    };

    std::vector<RateScenario> scenarios()
    {
        RateScenario balanced = evenLoad(9, 0.8);
        balanced.name = "balanced";
        RateScenario skewed = skewedLoad(9, 0.8);
        skewed.name = "skewed";
        RateScenario moving = skewed;
        moving.name = "moving";
        moving.moving = true;
        RateScenario loss = balanced;
        loss.name = "host_loss";
        loss.hostLoss = true;
        RateScenario partition = balanced;
        partition.name = "partition";
        partition.partition = true;
        RateScenario above = evenLoad(9, 4);
        above.name = overloadName;
        return { balanced, skewed, moving, loss, partition, above };
    }

    void addExcess(Report& report, const Deployment& deployment, const std::string& name, const RateFigures& shares,
        const RateFigures& fixed)
    {
        Result result { "fleet_rate_excess", deployment.name, name, shares.excess, "requests", fixed.excess, {} };
        result.details["admitted_part_of_one_bucket"]
            = static_cast<double>(shares.admitted) / static_cast<double>(shares.inRate);
        report.add(result);
    }

    double wrongfulShare(const RateFigures& figures)
    {
        return figures.inRate ? static_cast<double>(figures.wrongful) / static_cast<double>(figures.inRate) : 0;
    }

} // namespace

RateScenario evenLoad(size_t hosts, double part)
{
    RateScenario scenario;
    scenario.hosts = hosts;
    scenario.load.assign(hosts, scenario.rate * part / static_cast<double>(hosts));
    return scenario;
}

RateScenario skewedLoad(size_t hosts, double part)
{
    RateScenario scenario;
    scenario.hosts = hosts;
    scenario.load.assign(hosts, scenario.rate * part * 0.3 / static_cast<double>(hosts - 1));
    scenario.load[1] = scenario.rate * part * 0.7;
    return scenario;
}

RateFigures runRates(const Deployment& deployment, const RateScenario& scenario, uint64_t seed, bool measureCpu)
{
    return RateRun(deployment, scenario, seed, measureCpu).run();
}

void benchRates(Report& report)
{
    for (const Deployment& deployment : deployments()) {
        for (RateScenario& scenario : scenarios()) {
            if (!report.options().quick)
                scenario.length = seconds(125);
            const RateFigures shares = runRates(deployment, scenario, report.options().seed, false);
            scenario.fixedShares = true;
            const RateFigures fixed = runRates(deployment, scenario, report.options().seed, false);
            addExcess(report, deployment, scenario.name, shares, fixed);
            if (scenario.name == overloadName)
                continue; // One bucket admits other requests than nine do; only their number can be compared.
            Result wrongful { "wrongful_refusals_share", deployment.name, scenario.name, wrongfulShare(shares), "share",
                wrongfulShare(fixed), {} };
            wrongful.judged = scenario.name == "balanced" || scenario.name == "skewed";
            wrongful.details["in_rate"] = static_cast<double>(shares.inRate);
            wrongful.details["messages_per_s"] = static_cast<double>(shares.messages) / shares.seconds;
            report.add(wrongful);
        }
    }
}

} // namespace plantainwall::bench
