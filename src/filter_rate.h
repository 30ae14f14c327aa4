#pragma once

#include "controller_limits.h"
#include "request_context.h"

namespace plantainwall {

/// Admits requests within the customer's fleet-wide rate and refuses others with RateExceeded and the time after which
/// to retry. Requests on open routes have no customer and pass.
class RateFilter final : public Filter {
public:
    explicit RateFilter(std::shared_ptr<LimitsController>);

    std::string_view name() const override { return "rate"; }
    void handle(const RequestContextPtr&, FilterChain&) override;

private:
    std::shared_ptr<LimitsController> m_limits;
};

} // namespace plantainwall
