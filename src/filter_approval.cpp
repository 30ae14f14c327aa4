#include "filter_approval.h"

namespace plantainwall {

namespace {

    /// Returns the name of the group with the member of a transaction id <host>.<member>.<id>; empty if there is none.
    std::string groupOfTransaction(const ConfigSnapshot& config, std::string_view transaction)
    {
        const size_t begin = transaction.find('.');
        const size_t end = begin == std::string_view::npos ? begin : transaction.find('.', begin + 1);
        if (end == std::string_view::npos)
            return {};
        const std::string_view member = transaction.substr(begin + 1, end - begin - 1);
        for (const std::pair<const std::string, GroupConfig>& group : config.groups) {
            for (const MemberConfig& candidate : group.second.members) {
                if (candidate.name == member)
                    return group.first;
            }
        }
        return {};
    }

} // namespace

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
    if (context->group.empty() && !context->transaction.empty()) {
        context->group = groupOfTransaction(*context->config, context->transaction);
        if (context->group.empty()) {
            context->finish(refusal(ResultCode::TransactionUnknown));
            return;
        }
    }
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
