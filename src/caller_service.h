#pragma once

#include "caller_api.h"
#include <atomic>
#include <pplx/pplxtasks.h>

namespace plantainwall {

/// Serves the callers' HTTP interface: parses a request, runs it through the filter chain, renders the answer.
/// Safe to call from any thread.
class CallerService {
public:
    struct Dependencies {
        std::shared_ptr<const ConfigView> config;
        std::shared_ptr<FilterChain> chain;
        std::function<std::string()> generateRequestId; ///< For requests without an id.
        std::function<void(const RequestContext&, const MemberAnswer&, Duration)> onAnswered; ///< For metrics and logs.
    };

    explicit CallerService(Dependencies);

    /// Never fails: every failure is an answer with its code.
    pplx::task<CallerHttpAnswer> handle(const CallerHttpRequest&);

    /// Returns the number of requests being processed.
    size_t inProgress() const { return m_inProgress.load(); }

private:
    Dependencies m_dependencies;
    std::atomic<size_t> m_inProgress { 0 };
};

} // namespace plantainwall
