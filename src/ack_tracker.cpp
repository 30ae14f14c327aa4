#include "ack_tracker.h"
#include <algorithm>

namespace plantainwall {

AckTracker::AckTracker(std::vector<std::string> members)
{
    for (std::string& name : members)
        m_received.emplace(std::move(name), LogPosition {});
}

AckTracker::Actions AckTracker::executed(
    WriteId id, std::string_view primary, const LogPosition& entry, Instant deadline)
{
    m_writes[id] = Write { entry, deadline };
    raisePosition(primary, entry);
    return decideWrites();
}

AckTracker::Actions AckTracker::received(std::string_view member, const LogPosition& lastEntry)
{
    raisePosition(member, lastEntry);
    return decideWrites();
}

AckTracker::Actions AckTracker::higherTerm(uint64_t term)
{
    m_highestTerm = std::max(m_highestTerm, term);
    return decideWrites();
}

AckTracker::Actions AckTracker::tick(Instant now)
{
    Actions actions = decideWrites();
    for (std::map<WriteId, Write>::iterator it = m_writes.begin(); it != m_writes.end();) {
        if (it->second.deadline > now) {
            ++it;
            continue;
        }
        actions.unconfirmed.push_back(Unconfirmed { it->first, Reason::Deadline });
        it = m_writes.erase(it);
    }
    return actions;
}

/// Raises the recorded position of a member. A lower position is ignored, because answers can arrive out of order. An
/// entry still counts if the member truncates it later, because truncation requires a primary of a higher term that was
/// chosen from a majority.
void AckTracker::raisePosition(std::string_view member, const LogPosition& lastEntry)
{
    const std::map<std::string, LogPosition, std::less<>>::iterator it = m_received.find(member);
    if (it != m_received.end() && it->second < lastEntry)
        it->second = lastEntry;
}

AckTracker::Actions AckTracker::decideWrites()
{
    std::map<uint64_t, std::vector<uint64_t>> positionsByTerm;
    for (const std::pair<const std::string, LogPosition>& entry : m_received)
        positionsByTerm[entry.second.term].push_back(entry.second.position);
    const size_t majority = m_received.size() / 2 + 1;
    for (std::pair<const uint64_t, std::vector<uint64_t>>& entry : positionsByTerm) {
        std::vector<uint64_t>& positions = entry.second;
        if (positions.size() < majority)
            continue;
        std::sort(positions.begin(), positions.end(), std::greater<>());
        const LogPosition majorityPosition { entry.first, positions[majority - 1] };
        if (entry.first > 0 && m_confirmed < majorityPosition)
            m_confirmed = majorityPosition;
    }
    Actions actions;
    for (std::map<WriteId, Write>::iterator it = m_writes.begin(); it != m_writes.end();) {
        const LogPosition& entry = it->second.entry;
        if (m_confirmed.term == entry.term && m_confirmed.position >= entry.position)
            actions.acknowledge.push_back(Acknowledge { it->first, entry });
        else if (m_confirmed.term > entry.term || m_highestTerm > entry.term)
            actions.unconfirmed.push_back(Unconfirmed { it->first, Reason::HigherTerm });
        else {
            ++it;
            continue;
        }
        it = m_writes.erase(it);
    }
    return actions;
}

} // namespace plantainwall
