#pragma once

#include "member_service.h"
#include <array>
#include <map>
#include <mutex>

namespace plantainwall {

/// What answers have told this entry host about the primaries of groups. Only hints: the owner of a member and the
/// member's term decide. Sharded by group; safe to call from any thread.
class GroupHints {
public:
    /// Time between two requests that look for the primary of a group that has none; the others wait meanwhile.
    static constexpr Duration probeSpacing = std::chrono::milliseconds(20);

    /// Notes the primary and term of an answer; an older term changes nothing.
    void note(std::string_view group, const MemberAnswer&);

    /// Returns the member believed to be primary, or an empty string.
    std::string primary(std::string_view group) const;

    /// Returns whether a request may now be sent to a group without known primary, at most one per probeSpacing.
    bool mayProbe(std::string_view group, Instant now);

private:
    struct Hint {
        std::string primary;
        uint64_t term = 0;
        Instant nextProbe {};
    };

    struct Shard {
        mutable std::mutex mutex;
        std::map<std::string, Hint, std::less<>> hints;
    };

    const Shard& shardOf(std::string_view group) const;
    Shard& shardOf(std::string_view group);

    static constexpr size_t shardCount = 16;
    std::array<Shard, shardCount> m_shards;
};

} // namespace plantainwall
