#pragma once

#include "plantainwall/plantainwall.h"
#include <deque>
#include <gsl/span>

namespace plantainwall {

/// Limits the statements that this host sends to one warming server. A decision object.
///
/// Load pattern: a server starts with cold caches, is the fastest by its empty queue, and all hosts send to it at once.
/// It is slow until it has warmed up, and the more so the more it gets. The shares of all hosts together are the
/// service's rate, without messages, also while some hosts do not hear each other.
class WarmupShare {
public:
    /// Returns how many statements a host may send to a server in any one second. The shares of all hosts of a list add
    /// up to the rate.
    /// @param perSecond Statements per second over all hosts; below one counts as one.
    /// @param otherHosts All known hosts but this one, silent ones included.
    static size_t of(
        double perSecond, std::string_view host, gsl::span<const std::string> otherHosts, std::string_view server);

    void setPerSecond(size_t perSecond) { m_perSecond = perSecond; }

    /// Returns whether one more statement may be sent.
    /// @param unsent Statements that will be sent as soon as their connection is ready.
    bool admits(size_t unsent, Instant now);

    void noteSent(Instant now);

private:
    void forgetBefore(Instant);

    size_t m_perSecond = 0;
    std::deque<Instant> m_sent; ///< Within the last second.
};

} // namespace plantainwall
