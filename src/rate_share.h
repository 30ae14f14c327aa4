#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace plantainwall {

/// Part of a customer's rate and burst. The whole rate is wholeShare units; integers keep the sum exact.
using ShareUnits = int64_t;
constexpr ShareUnits wholeShare = 1'000'000'000;

/// Time within which a loan request is answered unless the answer is lost: some round trips between regions and the
/// collecting time of a pool host, on a busy machine.
constexpr Duration loanAnswerTimeout = std::chrono::milliseconds(500);

/// Identifies a request for a loan, and the loan granted for it, over all hosts and their restarts.
struct ShareId {
    std::string host; ///< Host that asked.
    uint64_t incarnation = 0;
    uint64_t number = 0;

    friend bool operator<(const ShareId& a, const ShareId& b)
    {
        return std::tie(a.host, a.incarnation, a.number) < std::tie(b.host, b.incarnation, b.number);
    }
};

enum class ShareMessageKind : uint8_t {
    Request, ///< Asks for a loan of up to `units`.
    Grant, ///< Lends `units` with `level` tokens for `duration`; no units: refused.
    Renew, ///< Asks to extend the loan `id`; `renewal` numbers the attempt.
    Renewed, ///< Extends the loan by `duration`, counted from the sending of the Renew; zero: refused.
    Return, ///< Gives the loan `id` back early, with its part of the tokens.
    Count
};

/// One-way message about a customer's shares. Any message may be lost, delayed, repeated or overtaken by another.
struct ShareMessage {
    ShareMessageKind kind = ShareMessageKind::Request;
    std::string customer;
    std::string from;
    std::string to;
    bool toPool = false; ///< The receiver is asked in its duty as pool host and may collect from others.
    ShareId id;
    uint64_t renewal = 0;
    ShareUnits units = 0;
    double level = 0; ///< Tokens.
    Duration duration {};
};

/// Share that a host holds by its seats.
struct OwnShare {
    ShareUnits unconditional = 0;
    ShareUnits conditional = 0;
    Instant conditionalUntil {}; ///< The conditional part must not be used from this time on.
    ShareUnits unconditionalLeaving = 0; ///< Part of `unconditional` that moves to another host soon: used, not lent.
    ShareUnits conditionalLeaving = 0; ///< The same of `conditional`.
};

/// One customer's share of its rate at one entry host: a token bucket whose rate and capacity follow the share.
///
/// The sum of the shares over all hosts never exceeds the whole: a lender stops using what it lends before the grant is
/// sent and takes it back only when the borrower has stopped for certain. Tokens move with the share or are lost.
class RateShare {
public:
    RateShare(const LimitSettings&, std::string customer, std::string self, uint64_t incarnation);

    /// Sets the customer's fleet-wide rate (requests/s) and burst (requests).
    void setLimit(double ratePerSecond, double burst, Instant now);

    /// Sets the share held by seats. A part that is taken away may stay lent until the loans on it have ended.
    void setOwn(const OwnShare&, Instant now);

    /// Takes one token if there is one. Returns whether the request is admitted.
    bool tryAdmit(Instant now);

    /// Returns whether an answer is still expected to a loan request that was sent by the given time. Answers that take
    /// longer than loanAnswerTimeout are not waited for.
    bool awaitsLoan(Instant sentBy, Instant now) const;

    /// Returns the time until a token would be there from this host's share alone; at most one minute.
    Duration retryAfter(Instant now);

    /// Returns the messages to send now: a request when short, renewals, returns. pool is the current pool host.
    std::vector<ShareMessage> tick(std::string_view pool, Instant now);

    /// Handles any message but a Request to the pool host (see SharePool). Returns the answer, if any.
    std::vector<ShareMessage> receive(const ShareMessage&, Instant now);

    /// Answers a Request with a Grant, keeping what this host needs itself.
    ShareMessage lend(const ShareMessage& request, Instant now);

    /// Returns a Request for a loan from another host and remembers when it was sent.
    ShareMessage makeRequest(std::string_view to, bool toPool, ShareUnits units, Instant now);

    /// Returns the units that this host could lend now.
    ShareUnits lendable(Instant now);

    /// Returns the units this host may use now.
    ShareUnits usable(Instant now);
    double level(Instant now);

    /// Returns whether the bucket lacks tokens for the demand of the near future.
    bool isShort(Instant now);

    /// Returns the units to ask for now; 0 if this host is not short or asked a moment ago.
    ShareUnits unitsToRequest(Instant now);

    /// Returns whether nothing is borrowed, lent or asked for and there was no demand for some seconds.
    bool idle(Instant now);

private:
    struct Source {
        ShareUnits total = 0;
        ShareUnits free = 0; // Not lent. Negative while loans exceed a share that was taken away.
        Instant until {};
        ShareUnits leaving = 0; // Part of total that must not be lent or stay lent.
    };
    struct BorrowedShare { // Borrowed share.
        uint64_t source = 0;
        std::string lender;
        uint64_t renewal = 0;
        Instant renewalSent {};
        Instant nextRenewal {};
        bool renewalPending = false;
        bool renewalRefused = false;
    };
    struct Loan { // Lent share.
        std::string borrower;
        Instant until {};
        Duration duration {};
        double level = 0;
        std::vector<std::pair<uint64_t, ShareUnits>> parts; // By source.
        ShareUnits units = 0;
    };
    struct Pending {
        Instant sent {};
        std::string to;
    };

    void advance(Instant now);
    void expire(Instant now);
    void clampLevel();
    ShareUnits usableUnits() const;
    ShareUnits endingUnits() const;
    ShareUnits lastingUnits() const;
    double steadyDemand() const;
    double presentDemand() const;
    double keptDemand() const;
    ShareUnits unitsFor(double demand) const;
    void countDemand(Instant now);
    double tokensShort() const;
    void creditLoan(const Loan&);
    void setSource(uint64_t key, ShareUnits total, Instant until, ShareUnits leaving = 0);
    ShareUnits leavingUnits() const;
    Duration lendingTime(const Source&, Instant now) const;
    ShareMessage makeMessage(ShareMessageKind, std::string_view to, const ShareId&) const;
    void renewOrReturn(Instant now, std::vector<ShareMessage>&);
    void receiveGrant(const ShareMessage&, Instant now);
    ShareMessage renew(const ShareMessage&, Instant now);
    void receiveRenewed(const ShareMessage&);
    void receiveReturn(const ShareMessage&);

    LimitSettings m_settings;
    std::string m_customer;
    std::string m_self;
    uint64_t m_incarnation;
    double m_rate = 0; // Tokens per microsecond for the whole share.
    double m_burst = 0;
    double m_level = 0;
    double m_demand = 0; // Requests per microsecond, moving average.
    double m_recentDemand = 0; // The same with a short memory.
    Instant m_demandSince {}; // First request after a pause.
    Instant m_updated {};
    Instant m_lastDemand {};
    Instant m_nextRequest {};
    unsigned m_refusedInRow = 0;
    uint64_t m_lastNumber = 0;
    uint64_t m_lastSource;
    std::map<uint64_t, Source> m_sources;
    std::map<ShareId, BorrowedShare> m_borrowedShares;
    std::map<ShareId, Loan> m_loans;
    std::map<ShareId, Pending> m_pending;
    std::map<std::string, std::pair<uint64_t, uint64_t>> m_lastRequests; // Incarnation and number, by borrower.
};

/// The duty of a customer's pool host: lends to hosts that are short what other hosts can spare. Two hosts that both
/// act as pool host do no harm. It shares the RateShare of its host.
class SharePool {
public:
    SharePool(RateShare&, std::string self);

    /// Handles a Request sent to this host as pool host. holders are the hosts that may have share to lend.
    std::vector<ShareMessage> request(const ShareMessage&, const std::vector<std::string>& holders, Instant now);

    /// Reports a Grant that RateShare::receive() has handled. Returns answers that have become possible.
    std::vector<ShareMessage> granted(const ShareMessage&, Instant now);

    /// Answers requests that have waited long enough, and collects if this host itself is short.
    std::vector<ShareMessage> tick(const std::vector<std::string>& holders, Instant now);

    bool idle() const { return m_waiting.empty() && m_collecting.empty(); }

private:
    struct Waiting {
        ShareMessage request;
        Instant until {};
    };
    struct Holder {
        Instant nextRequest {};
        unsigned refusedInRow = 0;
    };

    std::vector<ShareMessage> answer(bool all, Instant now);
    std::vector<ShareMessage> collect(
        ShareUnits units, const std::vector<std::string>& holders, const std::string& except, Instant now);

    RateShare& m_share;
    std::string m_self;
    std::vector<Waiting> m_waiting;
    std::map<ShareId, Instant> m_collecting; // Requests sent to holders and when to give them up.
    std::map<std::string, Holder> m_holders;
};

/// A customer's share at one entry host together with the duty of pool host: what a controller drives.
class CustomerShare {
public:
    CustomerShare(const LimitSettings&, const std::string& customer, const std::string& self, uint64_t incarnation);
    CustomerShare(const CustomerShare&) = delete;
    CustomerShare& operator=(const CustomerShare&) = delete;

    /// The host's own share.
    RateShare& share() { return m_share; }

    /// Handles a message and returns the messages to send. holders are the hosts that may have share to lend.
    std::vector<ShareMessage> receive(const ShareMessage&, const std::vector<std::string>& holders, Instant now);

    /// Returns the messages due now. Call it every 10 to 50 ms, and at once after tryAdmit() returned false.
    std::vector<ShareMessage> tick(std::string_view pool, const std::vector<std::string>& holders, Instant now);

    bool idle(Instant now) { return m_pool.idle() && m_share.idle(now); }

private:
    std::string m_self;
    RateShare m_share;
    SharePool m_pool;
};

} // namespace plantainwall
