#include "request_context.h"

namespace plantainwall {

void FilterChain::next(const RequestContextPtr& context)
{
    const size_t index = context->nextFilter++;
    if (index >= m_filters.size()) {
        context->finish(refusal(ResultCode::InternalError, "no filter answered the request"));
        return;
    }
    try {
        m_filters[index]->handle(context, *this);
    } catch (const std::exception& error) {
        context->finish(refusal(ResultCode::InternalError, error.what()));
    }
}

MemberAnswer refusal(ResultCode code, std::string message)
{
    MemberAnswer answer;
    answer.code = code;
    answer.runState = resultCodeInfo(code).runState;
    answer.message = std::move(message);
    return answer;
}

} // namespace plantainwall
