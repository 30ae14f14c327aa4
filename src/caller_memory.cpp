#include "caller_memory.h"
#include "log_event.h"
#include <boost/asio/post.hpp>
#include <unistd.h>

namespace plantainwall {

CallerMemory::CallerMemory(
    boost::asio::io_context& loop, MemoryBudget& budget, std::function<Instant()> clock, Metrics& metrics)
    : m_loop(loop)
    , m_clock(std::move(clock))
    , m_metrics(metrics)
    , m_budget(budget)
{
    // Posted, as the budget may become full within a function of a connection that has to be closed.
    m_budget.setFullHandler([this] { boost::asio::post(m_loop, [this] { tick(); }); });
}

void CallerMemory::tick()
{
    const bool full = m_budget.full();
    for (MemoryAccount* const account : m_budget.accountsToClose(m_clock())) {
        logEvent(LogEvent::CallerClosedForMemory,
            { { "customer", account->owner() }, { "reason", full ? "budget used up" : "large for too long" },
                { "bytes", account->held() }, { "input", account->held(MemoryUse::Input) },
                { "statement", account->held(MemoryUse::Statement) }, { "state", account->held(MemoryUse::State) },
                { "output", account->held(MemoryUse::Output) }, { "held", m_budget.held() } });
        m_metrics.count(full ? MetricCounter::ClosedBudgetFull : MetricCounter::ClosedLargeTooLong);
        // Copied, as it ends with the account.
        const std::function<void()> close = account->close;
        close();
    }
}

size_t machineMemory()
{
    return static_cast<size_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace plantainwall
