#include "bench_gossip.h"
#include "controller_membership_codec.h"
#include "gossip_payload.h"
#include <algorithm>
#include <malloc.h>

namespace plantainwall::bench {

namespace {

    using std::chrono::seconds;

    constexpr Duration warmUp = seconds(20);
    constexpr Duration counted = seconds(20);
    constexpr size_t headBytes = 250; // Assumed head of a control call or its answer, with the peer authentication.

    class GossipFleet {
    public:
        GossipFleet(const Deployment& deployment, size_t hosts, size_t groupsPerHost, uint64_t seed)
            : m_deployment(deployment)
            , m_queue(seed)
            , m_hosts(hosts)
        {
            std::map<std::string, HostConfig, std::less<>> all;
            for (size_t i = 0; i < hosts; ++i) {
                const DataCentre& place = deployment.dataCentres[i * deployment.dataCentres.size() / hosts];
                const std::string port = std::to_string(20000 + i);
                m_hosts[i].config = { "host-" + std::to_string(i), "http://127.0.0.1:" + port,
                    "http://127.0.0.2:" + port, place.name, place.region };
                m_indices[m_hosts[i].config.name] = i;
                all[m_hosts[i].config.name] = m_hosts[i].config;
            }
            PrimaryContactAges ages;
            for (size_t i = 0; i < groupsPerHost; ++i)
                ages["group-" + std::to_string(i)] = std::chrono::milliseconds(20);
            const size_t before = mallinfo2().uordblks;
            for (size_t i = 0; i < hosts; ++i) {
                Host& host = m_hosts[i];
                host.membership
                    = std::make_unique<Membership>(MembershipSettings(), host.config, 1, std::vector<std::string> {});
                host.membership->setConfiguredHosts(all, Instant());
                host.membership->setPayload(configPayload, encodeConfigDigest({ 1234, seconds(1) }));
                host.membership->setPayload(contactAgesPayload, encodeContactAges(ages));
                const Duration first = fromMicroseconds(m_queue.uniform(1, 1e6));
                m_queue.every(first, MembershipSettings().gossipInterval, [this, i] { round(i); });
            }
            m_heap = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(hosts);
        }

        GossipFigures run()
        {
            m_queue.run(Instant(warmUp + counted));
            GossipFigures figures;
            const double length = bench::milliseconds(counted) / 1000;
            for (const Host& host : m_hosts) {
                const double bytes = static_cast<double>(host.bytes) / length;
                figures.bytesPerSecond += bytes / static_cast<double>(m_hosts.size());
                figures.mostBytesPerSecond = std::max(figures.mostBytesPerSecond, bytes);
                figures.cpuPercent += bench::milliseconds(host.cpu) / 10 / length / static_cast<double>(m_hosts.size());
            }
            figures.heapBytes = m_heap;
            return figures;
        }

    private:
        struct Host {
            HostConfig config;
            std::unique_ptr<Membership> membership;
            uint64_t bytes = 0;
            Duration cpu {};
        };

        bool counting() const { return m_queue.now() >= Instant(warmUp); }

        template <typename Call> auto timed(size_t host, Call call) -> decltype(call())
        {
            const Duration before = threadCpuTime();
            decltype(call()) result = call();
            if (counting())
                m_hosts[host].cpu += threadCpuTime() - before;
            return result;
        }

        void count(size_t from, size_t to, size_t bytes)
        {
            if (!counting())
                return;
            m_hosts[from].bytes += bytes + headBytes;
            m_hosts[to].bytes += bytes + headBytes;
        }

        Duration way(size_t from, size_t to) const
        {
            return m_deployment.latency(from * m_deployment.dataCentres.size() / m_hosts.size(),
                to * m_deployment.dataCentres.size() / m_hosts.size());
        }

        void round(size_t i)
        {
            for (const SendGossip& call :
                timed(i, [&] { return m_hosts[i].membership->tick(m_queue.now(), m_queue.random()); }))
                send(i, call);
        }

        void send(size_t from, const SendGossip& call)
        {
            const size_t to = m_indices.at(call.host);
            const std::string text = timed(from, [&] { return encodeGossip(call.message); });
            count(from, to, text.size());
            m_queue.after(way(from, to), [this, from, to, call, text] {
                const std::string answer = timed(to,
                    [&] { return encodeGossip(m_hosts[to].membership->receive(decodeGossip(text), m_queue.now())); });
                count(to, from, answer.size());
                m_queue.after(way(to, from), [this, from, call, answer] {
                    const std::vector<SendGossip> further = timed(from,
                        [&] { return m_hosts[from].membership->answered(call, decodeGossip(answer), m_queue.now()); });
                    for (const SendGossip& next : further)
                        send(from, next);
                });
            });
        }

        const Deployment& m_deployment;
        EventQueue m_queue;
        std::vector<Host> m_hosts;
        std::map<std::string, size_t> m_indices;
        double m_heap = 0;
    };

} // namespace

GossipFigures runGossip(const Deployment& deployment, size_t hosts, size_t groupsPerHost, uint64_t seed)
{
    return GossipFleet(deployment, hosts, groupsPerHost, seed).run();
}

} // namespace plantainwall::bench
