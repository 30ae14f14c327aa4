#include "evacuations.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace plantainwall {

Evacuations::Change Evacuations::list(gsl::span<const std::string> dataCentres)
{
    std::set<std::string> next(dataCentres.begin(), dataCentres.end());
    for (const std::string& dataCentre : next)
        m_kept.erase(dataCentre);
    next.insert(m_kept.begin(), m_kept.end());
    Change change;
    std::set_difference(next.begin(), next.end(), m_inForce.begin(), m_inForce.end(),
        std::inserter(change.started, change.started.end()));
    std::set_difference(
        m_inForce.begin(), m_inForce.end(), next.begin(), next.end(), std::inserter(change.ended, change.ended.end()));
    m_inForce = std::move(next);
    if (std::exchange(m_restored, false))
        change.kept = m_kept;
    return change;
}

void Evacuations::storeRestored()
{
    m_kept = m_inForce;
    m_restored = true;
}

bool Evacuations::request(const std::string& dataCentre)
{
    m_kept.erase(dataCentre);
    return m_inForce.insert(dataCentre).second;
}

bool Evacuations::takeBack(const std::string& dataCentre)
{
    m_kept.erase(dataCentre);
    return m_inForce.erase(dataCentre) != 0;
}

} // namespace plantainwall
