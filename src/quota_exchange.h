#pragma once

#include "gateway_ports.h"
#include "peer_request_number.h"
#include "quota_buckets.h"
#include <deque>
#include <set>

namespace plantainwall {

/// Decides whether one more operation of a customer may run.
class QuotaGate {
public:
    virtual ~QuotaGate() = default;
    virtual void setLimit(const GatewayCustomer&) = 0;
    virtual void removeCustomer(const std::string& customer) = 0;
    /// Requests a token for one operation. The handler is called once, possibly before this function returns.
    virtual void requestToken(const std::string& customer, std::function<void(QuotaBuckets::Verdict)>) = 0;
};

/// Limits each customer's rate over the whole fleet: requests a token for every operation from the customer's quota
/// host, which is chosen by rendezvous hashing among the reachable hosts. For a customer whose name is too long for a
/// request, each host grants tokens within its fraction of the rate.
///
/// An unreachable host may still serve operations and then grants tokens itself within its fraction of the rate, so the
/// other hosts reserve that fraction until the host is known to be gone. A host that receives a request for a customer
/// whose quota host it takes to be another one probes that host and replaces it if it does not answer.
class QuotaExchange final : public QuotaGate {
public:
    struct Settings {
        Duration answerTimeout = std::chrono::milliseconds(150); ///< Longer than a round trip between regions.
        unsigned maxAttemptsPerHost = 2; ///< Unanswered attempts after which a host counts as unresponsive.
        /// After a longer time without a call of tick() this host may not have read the answers yet.
        Duration maxTickGap = std::chrono::milliseconds(100);
        unsigned maxHosts = 2; ///< Hosts tried for one request before this host decides it by its own bucket.
        /// After a refusal, further operations of the customer are refused on this host for up to this long.
        Duration refusalCacheTime = std::chrono::milliseconds(40);
        /// A request that arrives again within this time gets the same answer. Longer than requests are repeated.
        Duration answerReuse = std::chrono::seconds(1);
    };

    using Clock = std::function<Instant()>;

    /// @param firstRequest Number of the first request; see firstPeerRequest().
    QuotaExchange(std::string host, PeerChannel&, Clock, uint64_t firstRequest = 1);

    void setLimit(const GatewayCustomer&) override;
    void removeCustomer(const std::string& customer) override;
    void requestToken(const std::string& customer, std::function<void(QuotaBuckets::Verdict)>) override;

    /// Sets the other reachable hosts (name to address) and the number of hosts in the fleet, this one included.
    /// @param weakHosts Hosts among them, or this one, that count operations only if no other host can.
    void setFleet(
        std::map<std::string, std::string> reachableHosts, size_t fleetSize, std::set<std::string> weakHosts = {});

    /// Handles a request or an answer from another host. Returns false if the datagram is neither.
    bool datagram(const std::string&);

    /// Repeats and times out requests. Must be called every few milliseconds.
    void tick();

    /// Records that a message from a host has arrived: requests may be sent to it again.
    void heard(const std::string& host);

    /// Returns the number of hosts that recently left requests unanswered.
    size_t unresponsiveHosts() const { return m_unresponsiveUntil.size(); }

    /// Returns the quota host of a customer.
    const std::string& quotaHost(const std::string& customer) const;

private:
    struct TokenRequest {
        std::string customer; ///< Empty for a probe that only checks whether the host answers.
        std::string host;
        std::function<void(QuotaBuckets::Verdict)> handler;
        Instant sentAt;
        unsigned attempts = 0; ///< Sent to the current host.
        bool prolonged = false; ///< The time in which this host did not run was not counted; once an attempt.
        unsigned hostsTried = 0;
    };

    /// Host and number of a request.
    using RequestId = std::pair<std::string, uint64_t>;

    /// Answer to a request of another host.
    struct Answered {
        std::string customer;
        QuotaBuckets::Verdict verdict;
        Instant at;
    };

    QuotaBuckets::Verdict answerTo(const RequestId&, const std::string& customer);
    std::string chooseQuotaHost(const std::string& customer) const;
    QuotaBuckets::Verdict takeLocally(const std::string& customer);
    void updateQuotaHosts();
    void probe(const std::string& host);
    void markUnresponsive(const std::string& host);
    void send(uint64_t number, TokenRequest&);
    void sendToQuotaHost(uint64_t number, TokenRequest);

    std::string m_host;
    PeerChannel& m_channel;
    Clock m_clock;
    Settings m_settings;
    QuotaBuckets m_buckets;
    std::map<std::string, std::string> m_quotaHosts; ///< Quota host by customer.
    std::map<std::string, Instant> m_refusedUntil;
    std::map<std::string, std::string> m_reachableHosts;
    std::map<std::string, Instant> m_unresponsiveUntil; ///< Hosts that did not answer, and until when they are avoided.
    std::set<std::string> m_weakHosts;
    Instant m_tickedAt; ///< Last call of tick(); zero before the first.
    size_t m_fleetSize = 1;
    uint64_t m_nextNumber;
    std::map<RequestId, Answered> m_answered;
    std::deque<std::pair<Instant, RequestId>> m_answeredOrder; ///< The same, oldest first.
    std::map<uint64_t, TokenRequest> m_requests;
};

} // namespace plantainwall
