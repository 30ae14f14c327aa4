#include "connection_scarcity.h"
#include <algorithm>

namespace plantainwall {

bool ConnectionScarcity::update(unsigned limit, size_t hosts)
{
    if (limit == 0)
        return m_scarce;
    const double perHost = static_cast<double>(limit) / static_cast<double>(std::max<size_t>(1, hosts));
    const double enough = static_cast<double>(m_settings.fewConnections);
    if (hosts < minHosts || perHost * m_settings.dividedFraction >= enough)
        m_scarce = false;
    else if (perHost * m_settings.dividedFractionIfFew < enough)
        m_scarce = true;
    return m_scarce;
}

} // namespace plantainwall
