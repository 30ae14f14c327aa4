#pragma once

#include "member_service.h"
#include <array>
#include <map>
#include <mutex>

namespace plantainwall {

/// Last known primary of each group, taken from answers. These are only hints, which the owner of a member verifies by
/// the member's term. Sharded by group; safe to call from any thread.
class GroupHints {
public:
    /// Minimum time between two requests sent to a group without known primary. Other requests wait meanwhile.
    static constexpr Duration minProbeInterval = std::chrono::milliseconds(20);

    /// Records the primary and term of an answer. Ignores answers of an older term.
    void note(std::string_view group, const MemberAnswer&);

    /// Returns the member last reported as primary, or an empty string if there is none.
    std::string primary(std::string_view group) const;

    /// Returns whether a request may be sent now to a group without known primary. Allows one request per
    /// minProbeInterval.
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
