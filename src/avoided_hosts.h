#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <string>

namespace plantainwall {

/// Entry hosts that did not answer a request and get no further requests for a while.
class AvoidedHosts {
public:
    void avoid(const std::string& host, Instant until) { m_until[host] = until; }

    bool contains(const std::string& host, Instant now) const
    {
        const auto it = m_until.find(host);
        return it != m_until.end() && now < it->second;
    }

private:
    std::map<std::string, Instant> m_until;
};

} // namespace plantainwall
