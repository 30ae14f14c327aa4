#pragma once

#include "config_snapshot.h"
#include "database.h"
#include <deque>

namespace plantainwall {

/// Estimated cost of reading from a member that is not in the reader's data centre, or is the primary. The defaults
/// are round trips of the links, doubled between regions because that link is billed by volume.
struct ReadCosts {
    Duration sameRegion = std::chrono::milliseconds(3);
    Duration otherRegion = std::chrono::milliseconds(120);
    Duration primary = std::chrono::milliseconds(10);
    Duration maxWait = std::chrono::seconds(1); ///< Longest wait for a replica that is worth planning.
};

/// What a read needs, and where it comes from.
struct ReadRequirement {
    LogPosition minPosition;
    std::optional<Duration> maxAge;
    Instant arrived {}; ///< The age is counted back from here.
    std::string dataCentre;
    std::string region;
};

struct ReadChoice {
    std::string member; ///< Empty: no member can serve the read.
    Duration wait {}; ///< Estimated time until the member can serve it.
    bool primary = false;
};

/// Chooses the member for a read of one group, and says whether a member may serve it. A decision object.
class ReadRouter {
public:
    ReadRouter(std::vector<MemberConfig> members, const ReadCosts&);

    /// sent is the time at which the status was asked for.
    void onStatus(std::string_view member, const MemberStatus&, Instant sent, Instant now);

    /// A member that did not answer is not chosen until it answers again.
    void onFailure(std::string_view member);

    /// Sets the believed primary; empty if unknown.
    void setPrimary(std::string_view member, uint64_t term);

    ReadChoice choose(const ReadRequirement&, Instant now) const;

    /// Returns whether the data of the member is recent enough for the read.
    bool canServe(std::string_view member, const ReadRequirement&) const;

    /// Returns the estimated time until the member has reached a position; nothing if that cannot be estimated.
    std::optional<Duration> timeToReach(std::string_view member, const LogPosition&) const;

    /// Returns a time by which every write up to it is visible at the member; nothing if no bound is known.
    std::optional<Instant> freshSince(std::string_view member) const;

private:
    struct Member {
        MemberConfig config;
        std::optional<MemberStatus> status;
        bool reachable = false;
        Instant sent {};
        Instant lastSeen {};
        double entriesPerSecond = 0;
    };
    /// The primary of the term had applied entries up to position at a time not before sent.
    struct Sample {
        uint64_t term = 0;
        uint64_t position = 0;
        Instant sent {};
        bool valid = false; ///< A majority had seen no higher term at that time or later.
    };

    Member* find(std::string_view member);
    const Member* find(std::string_view member) const;
    void noteRate(Member&, const MemberStatus&, Instant now) const;
    void addSample(const MemberStatus&, Instant sent);
    void validateSamples();
    Duration cost(const Member&, const ReadRequirement&) const;
    std::optional<Duration> waitFor(const Member&, const ReadRequirement&) const;

    std::vector<Member> m_members;
    ReadCosts m_costs;
    std::string m_primary;
    uint64_t m_primaryTerm = 0;
    std::deque<Sample> m_samples;
};

} // namespace plantainwall
