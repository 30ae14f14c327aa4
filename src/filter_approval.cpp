#include "filter_approval.h"

namespace plantainwall {

bool isApproved(const ConfigSnapshot& config, std::string_view customer, std::string_view service)
{
    const auto customerConfig = config.customers.find(customer);
    const auto serviceConfig = config.services.find(service);
    return customerConfig != config.customers.end() && serviceConfig != config.services.end()
        && customerConfig->second.services.count(std::string(service))
        && serviceConfig->second.approvedCustomers.count(std::string(customer));
}

void ApprovalFilter::handle(const RequestContextPtr& context, FilterChain& chain)
{
    const auto group = context->config->groups.find(context->group);
    if (group == context->config->groups.end()) {
        context->finish(refusal(ResultCode::GroupUnknown));
        return;
    }
    context->service = group->second.service;
    // A request without a customer passed the key filter because its route is open.
    if (!context->customer.empty() && !isApproved(*context->config, context->customer, context->service)) {
        context->finish(refusal(ResultCode::NotApproved));
        return;
    }
    chain.next(context);
}

} // namespace plantainwall
