#pragma once

#include "caller_api.h"
#include <atomic>
#include <pplx/pplxtasks.h>

namespace plantainwall {

/// Serves the callers' HTTP interface: reads a request, runs it through the filter chain, renders the answer.
/// Safe to call from any thread.
class CallerService {
public:
    struct Parts {
        std::shared_ptr<const ConfigView> config;
        std::shared_ptr<FilterChain> chain;
        std::function<std::string()> generateRequestId; ///< For writes that come without one.
        std::function<void(const RequestContext&, const MemberAnswer&, Duration)> onAnswered; ///< For metrics and logs.
    };

    explicit CallerService(Parts);

    /// Never fails: every failure is an answer with its code.
    pplx::task<CallerHttpAnswer> handle(const CallerHttpRequest&);

    /// Returns the requests being processed.
    size_t inProgress() const { return m_inProgress.load(); }

private:
    Parts m_parts;
    std::atomic<size_t> m_inProgress { 0 };
};

} // namespace plantainwall
