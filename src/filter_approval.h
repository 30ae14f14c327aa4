#pragma once

#include "request_context.h"

namespace plantainwall {

/// Returns whether the customer lists the service and the service has approved the customer.
bool isApproved(const ConfigSnapshot&, std::string_view customer, std::string_view service);

/// Sets the service of the request. Refuses with GroupUnknown if there is no such group, and with NotApproved unless
/// both the customer and the service have agreed.
class ApprovalFilter final : public Filter {
public:
    std::string_view name() const override { return "approval"; }
    void handle(const RequestContextPtr&, FilterChain&) override;
};

} // namespace plantainwall
