#include "caller_service.h"
#include "clock.h"

namespace plantainwall {

CallerService::CallerService(Parts parts)
    : m_parts(std::move(parts))
{
}

pplx::task<CallerHttpAnswer> CallerService::handle(const CallerHttpRequest& request)
{
    const Instant arrived = now();
    RequestContextPtr context;
    try {
        context = parseCallerRequest(request);
    } catch (const RequestRefused& refused) {
        const MemberAnswer answer = refusal(refused.code(), refused.what());
        m_parts.onAnswered(RequestContext(), answer, now() - arrived);
        return pplx::task_from_result(renderAnswer(answer, {}, {}));
    }
    context->arrived = arrived;
    context->config = m_parts.config->current();
    if (context->requestId.empty())
        context->requestId = m_parts.generateRequestId();

    ++m_inProgress;
    const pplx::task_completion_event<CallerHttpAnswer> done;
    // The callback must not own the context, which owns the callback; the filters keep the context alive until then.
    RequestContext* const raw = context.get();
    context->finish = [this, raw, done](const MemberAnswer& answer) {
        m_parts.onAnswered(*raw, answer, now() - raw->arrived);
        const CallerHttpAnswer rendered = renderAnswer(answer, raw->requestId, raw->sessionToken);
        --m_inProgress;
        done.set(rendered);
    };
    m_parts.chain->next(context);
    return pplx::create_task(done);
}

} // namespace plantainwall
