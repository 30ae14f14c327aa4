#pragma once

#include "plantainwall/plantainwall.h"
#include <map>

namespace plantainwall {

/// Token buckets of the customers for which an entry host is the quota host. A decision object.
///
/// Load pattern: a customer's sessions are spread over many hosts, each with a fraction of an operation per second, and
/// occasionally a customer sends many times its rate. A single fleet-wide bucket refuses exactly what exceeds rate and
/// burst; a share of it on each host would refuse customers far below their rate.
class QuotaBuckets {
public:
    struct Verdict {
        bool admitted = false;
        Duration retryAfter { 0 }; ///< Time until a token is available.
    };

    /// Sets a customer's rate (operations per second) and burst (operations). Keeps the level of a known customer, up
    /// to the new burst.
    void setLimit(const std::string& customer, double ratePerSecond, double burst, Instant now);
    void removeCustomer(const std::string& customer);

    /// Empties a customer's bucket: another host has been the quota host until now and may have used all tokens.
    void takeOver(const std::string& customer, Instant now);

    /// Takes a token if one is available. fraction is the fraction of rate and burst that this host may use, from 0
    /// to 1.
    Verdict take(const std::string& customer, double fraction, Instant now);

    bool contains(const std::string& customer) const { return m_buckets.count(customer) != 0; }

private:
    struct Bucket {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        Instant refilled;
    };

    std::map<std::string, Bucket> m_buckets;
};

} // namespace plantainwall
