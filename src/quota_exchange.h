#pragma once

#include "gateway_ports.h"
#include "quota_buckets.h"

namespace plantainwall {

/// Answers whether one more operation of a customer may run.
class QuotaGate {
public:
    virtual ~QuotaGate() = default;
    virtual void setLimit(const GatewayCustomer&) = 0;
    virtual void removeCustomer(const std::string& customer) = 0;
    /// Counts one operation. The handler is called once, possibly before the return.
    virtual void requestToken(const std::string& customer, std::function<void(QuotaBuckets::Verdict)>) = 0;
};

/// Counts each customer's operations on one entry host for the whole fleet, chosen by rendezvous hashing among the
/// hosts in reach, and asks that host for every operation.
///
/// A host that is out of reach may still serve and counts for itself within its part of the rate, so the others leave
/// that part to it until it is known to be gone. A host that is asked though another one should be checks whether that
/// one still answers; if not, it counts in its place.
class QuotaExchange final : public QuotaGate {
public:
    struct Settings {
        Duration answerTimeout = std::chrono::milliseconds(150); ///< More than a round trip between regions.
        unsigned tries = 2; ///< Questions to one host before it counts as out of reach.
        unsigned hosts = 2; ///< Hosts asked before the operation is refused.
        Duration refusalCacheTime
            = std::chrono::milliseconds(40); ///< A refused customer is refused here for this long.
    };

    using Clock = std::function<Instant()>;

    QuotaExchange(std::string host, PeerChannel&, Clock);

    void setLimit(const GatewayCustomer&) override;
    void removeCustomer(const std::string& customer) override;
    void requestToken(const std::string& customer, std::function<void(QuotaBuckets::Verdict)>) override;

    /// Sets the other hosts in reach (name to address) and how many hosts there are in all, this one included.
    void setFleet(std::map<std::string, std::string> reachableHosts, size_t hosts);

    /// Takes a question or an answer of another host. Returns false if it is neither.
    bool datagram(const std::string&);

    /// Repeats and gives up questions; to be called every few milliseconds.
    void tick();

    /// Notes that a host reported: it can be asked again.
    void heard(const std::string& host);

    /// Returns how many hosts left questions unanswered a moment ago.
    size_t unresponsiveHosts() const { return m_unresponsiveUntil.size(); }

    /// Returns the host that counts a customer's operations.
    const std::string& quotaHost(const std::string& customer) const;

private:
    struct Question {
        std::string customer; ///< Empty: only whether the host answers.
        std::string host;
        std::function<void(QuotaBuckets::Verdict)> handler;
        Instant sentAt;
        unsigned tries = 0;
        unsigned hosts = 0;
    };

    std::string choose(const std::string& customer) const;
    QuotaBuckets::Verdict takeLocally(const std::string& customer);
    void chooseAll();
    void verify(const std::string& host);
    void markUnresponsive(const std::string& host);
    void send(uint64_t number, Question&);
    void put(uint64_t number, Question);

    std::string m_host;
    PeerChannel& m_channel;
    Clock m_clock;
    Settings m_settings;
    QuotaBuckets m_buckets;
    std::map<std::string, std::string> m_quotaHosts; ///< Host by customer.
    std::map<std::string, Instant> m_deniedUntil;
    std::map<std::string, std::string> m_reachableHosts;
    std::map<std::string, Instant> m_unresponsiveUntil; ///< Hosts out of reach by their silence, until then.
    size_t m_hosts = 1;
    uint64_t m_nextNumber = 1;
    std::map<uint64_t, Question> m_questions;
};

} // namespace plantainwall
