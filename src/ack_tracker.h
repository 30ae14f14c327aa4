#pragma once

#include "database.h"
#include <map>

namespace plantainwall {

/// Decides when the writes of one group are acknowledged, which is once a majority of the members holds the log entry.
/// Makes no calls itself. Reports of log positions may arrive in any order.
class AckTracker {
public:
    using WriteId = uint64_t;

    struct Acknowledge {
        WriteId write = 0;
        LogPosition position; ///< Confirmed position for the session token.
    };

    enum class Reason : uint8_t {
        Deadline,
        HigherTerm, ///< The entry may not be in the log of the new primary: look up the outcome there.
        Count
    };

    struct Unconfirmed {
        WriteId write = 0;
        Reason reason = Reason::Deadline;
    };

    struct Actions {
        std::vector<Acknowledge> acknowledge;
        std::vector<Unconfirmed> unconfirmed;
    };

    explicit AckTracker(std::vector<std::string> members);

    /// Adds a write whose entry is in the log of the primary of entry.term, as an execution or an outcome lookup
    /// showed.
    Actions executed(WriteId, std::string_view primary, const LogPosition& entry, Instant deadline);

    /// Records the last durable entry in the log of a member. A member whose last entry is (T, p) holds every entry of
    /// the primary of T up to p, because a replica truncates a diverging tail before it accepts entries of T.
    Actions received(std::string_view member, const LogPosition& lastEntry);

    /// Ends the wait for writes of terms below this one: a majority has been fenced at this term, or a primary of this
    /// term is known.
    Actions higherTerm(uint64_t term);

    Actions tick(Instant now);

    /// Returns the highest log position known to be held by a majority. Session tokens refer to no later position.
    LogPosition confirmed() const { return m_confirmed; }
    size_t pending() const { return m_writes.size(); }

private:
    struct Write {
        LogPosition entry;
        Instant deadline {};
    };

    void raisePosition(std::string_view member, const LogPosition& lastEntry);
    Actions decideWrites();

    std::map<std::string, LogPosition, std::less<>> m_received;
    std::map<WriteId, Write> m_writes;
    LogPosition m_confirmed;
    uint64_t m_highestTerm = 0;
};

} // namespace plantainwall
