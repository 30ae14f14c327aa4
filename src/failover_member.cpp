#include "failover_member.h"
#include <algorithm>

namespace plantainwall {

bool leads(const FailoverMember& member, const std::string& assumedPrimary, uint64_t term)
{
    if (member.ended)
        return false;
    return member.status ? member.status->primary && member.status->term >= term : member.id == assumedPrimary;
}

const FailoverMember* findMember(const std::vector<FailoverMember>& members, const std::string& id)
{
    const auto it = std::find_if(
        members.begin(), members.end(), [&](const FailoverMember& member) { return member.id == id && !member.ended; });
    return it == members.end() ? nullptr : &*it;
}

} // namespace plantainwall
