#pragma once

#include "database.h"
#include <map>

namespace plantainwall {

/// Decides when the writes of one group are acknowledged: once a majority of the members holds the log entry. A
/// decision object; members report their log positions in any order.
class AckTracker {
public:
    using WriteId = uint64_t;

    struct Acknowledge {
        WriteId write = 0;
        LogPosition position; ///< Confirmed position for the session token.
    };

    enum class Reason : uint8_t {
        Deadline,
        HigherTerm, ///< A later primary decides whether the entry survived: look up the outcome there.
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

    /// The primary of entry.term showed the entry in its log, by executing it or by an outcome lookup.
    Actions executed(WriteId, std::string_view primary, const LogPosition& entry, Instant deadline);

    /// A member reports the last entry that is durable in its log. A member at last entry (T, p) holds every entry of
    /// the primary of T up to p, because a replica truncates a diverging tail before it accepts entries of T.
    Actions received(std::string_view member, const LogPosition& lastEntry);

    /// A majority has been fenced above the terms below this one, or a primary of this term is known.
    Actions higherTerm(uint64_t term);

    Actions tick(Instant now);

    /// Highest entry known to be held by a majority; the place that tokens may refer to.
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
