#include "fleet_contact.h"
#include <algorithm>

namespace plantainwall {

FleetContact::FleetContact(const FleetContactSettings& settings)
    : m_settings(settings)
{
}

void FleetContact::heard(Instant now) { m_heardAt = std::max(m_heardAt, now); }

void FleetContact::storeRead(Instant sentAt) { m_readAt = std::max(m_readAt, sentAt); }

bool FleetContact::isLost(Instant now) const
{
    return m_others && now - std::max(m_heardAt, m_readAt) >= m_settings.timeout;
}

bool FleetContact::takeReadDue(Instant now)
{
    if (!m_others || now - m_heardAt < m_settings.readAfter || now < m_nextReadAt)
        return false;
    m_nextReadAt = now + m_settings.readInterval;
    return true;
}

} // namespace plantainwall
