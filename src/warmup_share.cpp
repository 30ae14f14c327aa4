#include "warmup_share.h"
#include "placement.h"
#include <algorithm>
#include <cmath>

namespace plantainwall {

namespace {

    constexpr Duration window = std::chrono::seconds(1);

    /// Above it a rate limits nothing.
    constexpr double maxPerSecond = 1e6;

} // namespace

size_t WarmupShare::of(
    double perSecond, std::string_view host, gsl::span<const std::string> otherHosts, std::string_view server)
{
    const auto total = static_cast<size_t>(std::floor(std::min(std::max(perSecond, 1.0), maxPerSecond)));
    const size_t hosts = static_cast<size_t>(otherHosts.size()) + 1;
    const uint64_t weight = Placement::weight(host, server);
    const auto rank
        = static_cast<size_t>(std::count_if(otherHosts.begin(), otherHosts.end(), [&](const std::string& other) {
              const uint64_t itsWeight = Placement::weight(other, server);
              return itsWeight > weight || (itsWeight == weight && other < host);
          }));
    return total / hosts + (rank < total % hosts ? 1 : 0);
}

void WarmupShare::forgetBefore(Instant instant)
{
    while (!m_sent.empty() && m_sent.front() <= instant)
        m_sent.pop_front();
}

bool WarmupShare::admits(size_t unsent, Instant now)
{
    forgetBefore(now - window);
    return m_sent.size() + unsent < m_perSecond;
}

void WarmupShare::noteSent(Instant now)
{
    forgetBefore(now - window);
    m_sent.push_back(now);
}

} // namespace plantainwall
