#include "group_hints.h"

namespace plantainwall {

const GroupHints::Shard& GroupHints::shardOf(std::string_view group) const
{
    return m_shards[std::hash<std::string_view> {}(group) % shardCount];
}

GroupHints::Shard& GroupHints::shardOf(std::string_view group)
{
    return m_shards[std::hash<std::string_view> {}(group) % shardCount];
}

void GroupHints::note(std::string_view group, const MemberAnswer& answer)
{
    if (!answer.term)
        return;
    Shard& shard = shardOf(group);
    std::lock_guard<std::mutex> lock(shard.mutex);
    Hint& hint = shard.hints.try_emplace(std::string(group)).first->second;
    if (answer.term < hint.term)
        return;
    hint.term = answer.term;
    hint.primary = answer.primaryHint;
}

std::string GroupHints::primary(std::string_view group) const
{
    const Shard& shard = shardOf(group);
    std::lock_guard<std::mutex> lock(shard.mutex);
    const auto it = shard.hints.find(group);
    return it == shard.hints.end() ? std::string() : it->second.primary;
}

bool GroupHints::mayProbe(std::string_view group, Instant now)
{
    Shard& shard = shardOf(group);
    std::lock_guard<std::mutex> lock(shard.mutex);
    Hint& hint = shard.hints.try_emplace(std::string(group)).first->second;
    if (now < hint.nextProbe)
        return false;
    hint.nextProbe = now + minProbeInterval;
    return true;
}

} // namespace plantainwall
