#include "filter_approval.h"

namespace plantainwall {

bool isApproved(const ConfigSnapshot& config, std::string_view customer, std::string_view service)
{
    const auto team = config.customers.find(customer);
    const auto owner = config.services.find(service);
    return team != config.customers.end() && owner != config.services.end()
        && team->second.services.count(std::string(service))
        && owner->second.approvedCustomers.count(std::string(customer));
}

void ApprovalFilter::handle(const RequestContextPtr& context, FilterChain& chain)
{
    const auto group = context->config->groups.find(context->group);
    if (group == context->config->groups.end()) {
        context->finish(refusal(ResultCode::GroupUnknown));
        return;
    }
    context->service = group->second.service;
    // Without a customer the key filter has found the route open.
    if (!context->customer.empty() && !isApproved(*context->config, context->customer, context->service)) {
        context->finish(refusal(ResultCode::NotApproved));
        return;
    }
    chain.next(context);
}

} // namespace plantainwall
