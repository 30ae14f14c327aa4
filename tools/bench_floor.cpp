#include "bench.h"
#include "fair_queue.h"

namespace plantainwall::bench {

namespace {

    using std::chrono::seconds;

    constexpr size_t customerCount = 8;

    struct FloorScenario {
        std::string name;
        Duration meanService {};
        double load = 0; ///< Part of the capacity.
        Duration floor {};
    };

    /// Callers with 5 to 60 ms left, an entry host, the owner in another data centre of the region and one database.
    class FloorRun {
    public:
        FloorRun(const Deployment& deployment, const FloorScenario& scenario, uint64_t seed)
            : m_deployment(deployment)
            , m_scenario(scenario)
            , m_queue(seed)
            , m_service(seed + 1)
            , m_fair(QueueSettings(), deployment.slots)
        {
        }

        /// Returns the part of the requests that are answered in time.
        double run(Duration length)
        {
            scheduleArrival();
            m_queue.run(Instant(length));
            return m_good / m_offered;
        }

    private:
        struct Request {
            size_t customer = 0;
            Instant deadline {};
            Duration service {};
        };

        void scheduleArrival()
        {
            const double interval
                = static_cast<double>(m_scenario.meanService.count()) / (m_scenario.load * m_deployment.slots);
            m_queue.after(m_queue.exponential(fromMicroseconds(interval)), [this] {
                arrive();
                scheduleArrival();
            });
        }

        bool tooLate(Instant deadline) const { return deadline - m_queue.now() < m_scenario.floor; }

        void arrive()
        {
            ++m_offered;
            const Instant atCaller = m_queue.now() + fromMicroseconds(m_queue.uniform(5e3, 60e3));
            const Request request { m_queue.pick(customerCount), atCaller,
                m_service.exponential(m_scenario.meanService) };
            m_queue.after(m_deployment.toClients, [this, request] {
                if (tooLate(request.deadline))
                    return;
                m_queue.after(m_deployment.inRegion, [this, request] { enqueue(request); });
            });
        }

        void enqueue(const Request& request)
        {
            if (tooLate(request.deadline))
                return;
            const FairQueue::Decision decision
                = m_fair.enqueue("customer-" + std::to_string(request.customer), 1, request.deadline, m_queue.now());
            if (!decision.refusal)
                m_requests[decision.ticket] = request;
            pump();
        }

        void pump()
        {
            bool again = true;
            while (again) {
                again = false;
                for (const FairQueue::Decision& decision : m_fair.startable(m_queue.now()))
                    again = begin(decision) || again;
            }
        }

        /// Returns whether the slot is free again at once.
        bool begin(const FairQueue::Decision& decision)
        {
            const Request request = m_requests.at(decision.ticket);
            m_requests.erase(decision.ticket);
            if (decision.refusal)
                return false;
            if (tooLate(request.deadline)) {
                m_fair.finished(decision.ticket, Duration::zero(), m_queue.now());
                return true;
            }
            m_queue.after(request.service, [this, request, ticket = decision.ticket] {
                m_fair.finished(ticket, request.service, m_queue.now());
                const Instant answered = m_queue.now() + m_deployment.inRegion + m_deployment.toClients;
                m_good += answered <= request.deadline ? 1 : 0;
                pump();
            });
            return false;
        }

        const Deployment& m_deployment;
        FloorScenario m_scenario;
        EventQueue m_queue;
        EventQueue m_service; ///< Own generator: the floor does not change the service times.
        FairQueue m_fair;
        std::map<FairQueue::Ticket, Request> m_requests;
        double m_offered = 0;
        double m_good = 0;
    };

} // namespace

void benchFloor(Report& report)
{
    const Duration length = report.options().quick ? seconds(20) : seconds(200);
    for (const Deployment& deployment : deployments()) {
        for (const Duration service : { Duration(4000), Duration(500) }) {
            for (const double load : { 0.8, 1.5, 4.0 }) {
                FloorScenario scenario { "", service, load, RequestSettings().minRemaining };
                const double with = FloorRun(deployment, scenario, report.options().seed).run(length);
                scenario.floor = Duration::zero();
                const double without = FloorRun(deployment, scenario, report.options().seed).run(length);
                Result result { "floor_goodput_ratio", deployment.name,
                    "load_" + std::to_string(static_cast<int>(load * 100)) + "_percent_service_"
                        + std::to_string(service.count()) + "_us",
                    with / without, "ratio", 1.0, {} };
                result.details["goodput_with_floor"] = with;
                result.details["goodput_without_floor"] = without;
                report.add(result);
            }
        }
    }
}

} // namespace plantainwall::bench
