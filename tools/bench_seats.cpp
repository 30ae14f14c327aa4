#include "bench_seats.h"
#include "rate_slices.h"

namespace plantainwall::bench {

namespace {

    using std::chrono::seconds;

    constexpr Duration warmUp = seconds(80); // Longer than two leases, after which the seats are all claimed.
    constexpr Duration counted = seconds(40);

    class RateSliceFleet {
    public:
        explicit RateSliceFleet(size_t hosts)
            : m_hosts(hosts)
        {
            for (size_t i = 0; i < hosts; ++i) {
                m_hosts[i].config.name = "h" + std::to_string(i);
                m_hosts[i].incarnation = 1;
                m_rateSlices.push_back(
                    std::make_unique<RateSlices>(LimitSettings(), m_hosts[i].config.name, 1, Instant()));
            }
        }

        RateSliceFigures run()
        {
            for (m_now = Instant(seconds(1)); m_now < Instant(warmUp + counted); m_now += seconds(1)) {
                m_counting = m_now >= Instant(warmUp);
                for (const std::unique_ptr<RateSlices>& rateSlices : m_rateSlices)
                    advance(*rateSlices);
            }
            RateSliceFigures figures;
            figures.storeCallsPerSecond = static_cast<double>(m_storeCalls) * 1e6 / counted.count();
            figures.cpuPerCall = m_cpu / static_cast<Duration::rep>(m_calls);
            for (const std::unique_ptr<RateSlices>& rateSlices : m_rateSlices) {
                const OwnShare own = rateSlices->own(m_now);
                figures.heldPart += static_cast<double>(own.unconditional + own.conditional) / wholeShare;
            }
            return figures;
        }

    private:
        void advance(RateSlices& rateSlices)
        {
            // Several actions can be due; the bound ends the loop if one is repeated without effect.
            for (unsigned n = 0; n < 16; ++n) {
                const Duration before = threadCpuTime();
                const std::optional<RateSliceAction> action = rateSlices.next(
                    m_hosts, [](std::string_view) { return Duration::zero(); }, m_now);
                m_cpu += m_counting ? threadCpuTime() - before : Duration::zero();
                m_calls += m_counting ? 1 : 0;
                if (!action)
                    return;
                m_storeCalls += m_counting ? 1 : 0;
                perform(rateSlices, *action);
            }
        }

        void perform(RateSlices& rateSlices, const RateSliceAction& action)
        {
            switch (action.kind) {
            case RateSliceAction::Kind::GrantLease:
                rateSlices.leaseGranted("lease-" + std::to_string(++m_lastLease), m_now);
                break;
            case RateSliceAction::Kind::RenewLease:
                rateSlices.leaseRenewed(true, m_now);
                break;
            case RateSliceAction::Kind::List:
                rateSlices.listed(listing(action.key));
                break;
            default:
                rateSlices.swapped(action, swap(action));
            }
        }

        StoreListing listing(const std::string& prefix) const
        {
            StoreListing found;
            found.revision = m_revision;
            for (const std::pair<const std::string, StoreEntry>& entry : m_store) {
                if (entry.first.compare(0, prefix.size(), prefix) == 0)
                    found.entries.push_back(entry.second);
            }
            return found;
        }

        SwapResult swap(const RateSliceAction& action)
        {
            const std::map<std::string, StoreEntry>::iterator it = m_store.find(action.key);
            const uint64_t present = it == m_store.end() ? 0 : it->second.revision;
            if (present != action.expectedRevision)
                return { false, present };
            if (action.value)
                m_store[action.key] = { action.key, action.value, ++m_revision };
            else
                m_store.erase(action.key);
            return { true, action.value ? m_revision : 0 };
        }

        std::vector<HostInfo> m_hosts;
        std::vector<std::unique_ptr<RateSlices>> m_rateSlices;
        std::map<std::string, StoreEntry> m_store;
        Instant m_now {};
        uint64_t m_revision = 0;
        uint64_t m_lastLease = 0;
        uint64_t m_storeCalls = 0;
        uint64_t m_calls = 0;
        Duration m_cpu {};
        bool m_counting = false;
    };

} // namespace

RateSliceFigures runRateSlices(size_t hosts) { return RateSliceFleet(hosts).run(); }

} // namespace plantainwall::bench
