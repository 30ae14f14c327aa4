#include "clock.h"
#include "filters.h"
#include <algorithm>

namespace plantainwall {

namespace {

    class DeadlineFilter final : public Filter {
    public:
        explicit DeadlineFilter(const RequestSettings& settings)
            : m_settings(settings)
        {
        }

        std::string_view name() const override { return "deadline"; }

        void handle(const RequestContextPtr& context, FilterChain& chain) override
        {
            const Duration timeLeft
                = std::min(context->timeLeft.value_or(m_settings.defaultDeadline), m_settings.maxDeadline);
            context->deadline = context->arrived + timeLeft;
            if (context->deadline - now() < m_settings.minRemaining) {
                context->finish(refusal(ResultCode::DeadlineTooShort, "less time left than a hop needs"));
                return;
            }
            chain.next(context);
        }

    private:
        RequestSettings m_settings;
    };

} // namespace

std::shared_ptr<Filter> makeDeadlineFilter(const RequestSettings& settings)
{
    return std::make_shared<DeadlineFilter>(settings);
}

} // namespace plantainwall
