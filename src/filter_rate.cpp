#include "filter_rate.h"

namespace plantainwall {

RateFilter::RateFilter(std::shared_ptr<LimitsController> limits)
    : m_limits(std::move(limits))
{
}

void RateFilter::handle(const RequestContextPtr& context, FilterChain& chain)
{
    if (context->customer.empty()) {
        chain.next(context);
        return;
    }
    // The deadline filter runs later. Without a deadline, only the wait for a loan limits the time.
    const Instant deadline = context->deadline == Instant() ? Instant::max() : context->deadline;
    m_limits->admit(context->customer, deadline, [context, &chain](bool admitted, Duration retryAfter) {
        if (admitted) {
            chain.next(context);
            return;
        }
        MemberAnswer answer = refusal(ResultCode::RateExceeded, "rate of the customer is exceeded");
        answer.retryAfter = retryAfter;
        context->finish(std::move(answer));
    });
}

} // namespace plantainwall
