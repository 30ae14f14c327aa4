#include "filters.h"
#include "retry_budget.h"
#include <mutex>

namespace plantainwall {

namespace {

    class SharedRetryBudget final : public RetryPolicy {
    public:
        SharedRetryBudget(const RequestSettings& settings, Instant now)
            : m_budget(settings, now)
        {
        }

        void noteRequest(Instant) override
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_budget.noteAttempt();
        }

        bool allowRetry(Instant now) override
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            return m_budget.tryRetry(now);
        }

    private:
        std::mutex m_mutex;
        RetryBudget m_budget;
    };

} // namespace

std::shared_ptr<RetryPolicy> makeRetryPolicy(const RequestSettings& settings, Instant now)
{
    return std::make_shared<SharedRetryBudget>(settings, now);
}

} // namespace plantainwall
