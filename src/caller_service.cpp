#include "caller_service.h"
#include "clock.h"

namespace plantainwall {

CallerService::CallerService(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
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
        m_dependencies.onAnswered(RequestContext(), answer, now() - arrived);
        return pplx::task_from_result(renderAnswer(answer, {}, {}));
    }
    context->arrived = arrived;
    context->config = m_dependencies.config->current();
    if (context->requestId.empty())
        context->requestId = m_dependencies.generateRequestId();

    ++m_inProgress;
    const pplx::task_completion_event<CallerHttpAnswer> done;
    // The context owns the callback, so the callback must not own the context. The filters keep the context alive until
    // the callback has run.
    RequestContext* const raw = context.get();
    context->finish = [this, raw, done](const MemberAnswer& answer) {
        m_dependencies.onAnswered(*raw, answer, now() - raw->arrived);
        const CallerHttpAnswer rendered = renderAnswer(answer, raw->requestId, raw->sessionToken);
        --m_inProgress;
        done.set(rendered);
    };
    m_dependencies.chain->next(context);
    return pplx::create_task(done);
}

} // namespace plantainwall
