#include "placement.h"
#include <functional>
#include <xxhash.h>

namespace plantainwall {

namespace {

    const HostInfo* hostWithGreatestWeight(
        const std::vector<HostInfo>& hosts, std::string_view key, const std::function<bool(const HostInfo&)>& eligible)
    {
        const HostInfo* chosen = nullptr;
        uint64_t chosenWeight = 0;
        for (const HostInfo& host : hosts) {
            if (host.state != HostState::Live || !eligible(host))
                continue;
            const uint64_t weight = Placement::weight(host.config.name, key);
            const bool wins = !chosen || weight > chosenWeight
                || (weight == chosenWeight && host.config.name < chosen->config.name);
            if (wins) {
                chosen = &host;
                chosenWeight = weight;
            }
        }
        return chosen;
    }

} // namespace

uint64_t Placement::weight(std::string_view host, std::string_view key)
{
    return XXH3_64bits_withSeed(host.data(), host.size(), XXH3_64bits(key.data(), key.size()));
}

const HostInfo* Placement::hostFor(
    const std::vector<HostInfo>& hosts, std::string_view role, std::string_view dataCentre)
{
    return hostWithGreatestWeight(
        hosts, role, [&](const HostInfo& host) { return dataCentre.empty() || host.config.dataCentre == dataCentre; });
}

const HostInfo* Placement::ownerOf(
    const std::vector<HostInfo>& hosts, std::string_view group, const MemberConfig& member)
{
    std::string key = "member/";
    key.append(group).append("/").append(member.name);
    const HostInfo* owner = hostWithGreatestWeight(
        hosts, key, [&](const HostInfo& host) { return host.config.dataCentre == member.dataCentre; });
    if (!owner)
        owner = hostWithGreatestWeight(
            hosts, key, [&](const HostInfo& host) { return host.config.region == member.region; });
    return owner ? owner : hostWithGreatestWeight(hosts, key, [](const HostInfo&) { return true; });
}

} // namespace plantainwall
