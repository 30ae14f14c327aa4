#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace plantainwall {

/// Fraction of a customer's rate and burst, in units. The whole rate is wholeShare units; integers keep sums exact.
using ShareUnits = int64_t;
constexpr ShareUnits wholeShare = 1'000'000'000;

/// Timeout of a loan request. Covers several round trips between regions plus the time that a pool host spends on
/// collecting loans, on a busy machine.
constexpr Duration loanAnswerTimeout = std::chrono::milliseconds(500);

/// Identifies a loan request and the loan granted for it. Unique across hosts and their restarts.
struct ShareId {
    std::string host; ///< Host that sent the request.
    uint64_t incarnation = 0;
    uint64_t number = 0;

    friend bool operator<(const ShareId& a, const ShareId& b)
    {
        return std::tie(a.host, a.incarnation, a.number) < std::tie(b.host, b.incarnation, b.number);
    }
};

enum class ShareMessageKind : uint8_t {
    Request, ///< Requests a loan of up to `units`.
    Grant, ///< Lends `units` and `level` tokens for `duration`. Zero units mean a refusal.
    Renew, ///< Requests an extension of the loan `id`; `renewal` numbers the attempt.
    Renewed, ///< Extends the loan by `duration` from the time the Renew was sent. Zero means a refusal.
    Return, ///< Returns the loan `id` early, with its fraction of the tokens.
    Count
};

/// One-way message about a customer's shares. Messages may be lost, delayed, duplicated or reordered.
struct ShareMessage {
    ShareMessageKind kind = ShareMessageKind::Request;
    std::string customer;
    std::string from;
    std::string to;
    bool toPool = false; ///< Addressed to the receiver in its role as pool host: it may collect loans from other hosts.
    ShareId id;
    uint64_t renewal = 0;
    ShareUnits units = 0;
    double level = 0; ///< Tokens.
    Duration duration {};
};

/// Share that a host holds through its rate slices.
struct OwnShare {
    ShareUnits unconditional = 0;
    ShareUnits conditional = 0;
    Instant conditionalUntil {}; ///< The conditional units must not be used from this time on.
    /// Units of `unconditional` that are about to move to another host: still used here, but not lent.
    ShareUnits unconditionalLeaving = 0;
    ShareUnits conditionalLeaving = 0; ///< Likewise for `conditional`.
};

/// One customer's share of its fleet-wide rate at one entry host: a token bucket whose rate and capacity follow the
/// share.
///
/// The shares of all hosts never add up to more than the whole: a lender stops using the lent units before it sends the
/// grant and reclaims them only once the borrower cannot use them any more. Tokens move with the share or are lost.
class RateShare {
public:
    RateShare(const LimitSettings&, std::string customer, std::string self, uint64_t incarnation);

    /// Sets the customer's fleet-wide rate (requests/s) and burst (requests).
    void setLimit(double ratePerSecond, double burst, Instant now);

    /// Sets the share held through rate slices. Units that are withdrawn may stay lent until their loans end.
    void setOwnShare(const OwnShare&, Instant now);

    /// Takes one token if the bucket has one. Returns whether the request is admitted.
    bool tryAdmit(Instant now);

    /// Returns whether a loan request sent at or before sentBy is still unanswered and younger than loanAnswerTimeout.
    bool awaitsLoan(Instant sentBy, Instant now) const;

    /// Returns the time until this host's share alone would refill one token; at most one minute.
    Duration retryAfter(Instant now);

    /// Returns the messages to send now: renewals, returns, and a loan request if this host is short. pool is the name
    /// of the current pool host; it may be empty.
    std::vector<ShareMessage> tick(std::string_view pool, Instant now);

    /// Handles any message except a Request to the pool host (see SharePool). Returns the answer, if any.
    std::vector<ShareMessage> receive(const ShareMessage&, Instant now);

    /// Answers a Request with a Grant, reserving the units that this host needs itself.
    ShareMessage lend(const ShareMessage& request, Instant now);

    /// Creates a loan Request to another host and records when it was sent.
    ShareMessage makeRequest(std::string_view to, bool toPool, ShareUnits units, Instant now);

    /// Returns the units that this host could lend now.
    ShareUnits lendable(Instant now);

    /// Returns the units that this host may use now.
    ShareUnits usable(Instant now);
    double level(Instant now);

    /// Returns whether the tokens or the share do not cover the demand expected in the near future.
    bool isShort(Instant now);

    /// Returns the units to request now; 0 if this host is not short or the pause since its last request is not over.
    ShareUnits unitsToRequest(Instant now);

    /// Returns whether there are no loans, borrowed shares or pending requests and there was no demand for 10 s.
    bool idle(Instant now);

private:
    struct Source {
        ShareUnits total = 0;
        ShareUnits free = 0; // Not lent. Negative while loans exceed what is left of a withdrawn share.
        Instant until {};
        ShareUnits leaving = 0; // Units of total that must not be lent; loans on them are not renewed.
    };
    struct BorrowedShare {
        uint64_t source = 0;
        std::string lender;
        uint64_t renewal = 0;
        Instant renewalSent {};
        Instant nextRenewal {};
        bool renewalPending = false;
        bool renewalRefused = false;
    };
    struct Loan {
        std::string borrower;
        Instant until {};
        Duration duration {};
        double level = 0;
        std::vector<std::pair<uint64_t, ShareUnits>> unitsBySource; // Source key and units.
        ShareUnits units = 0;
    };
    struct PendingLoan {
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
    double reservedDemand() const;
    ShareUnits unitsFor(double demand) const;
    void countDemand(Instant now);
    double missingTokens() const;
    void creditLoan(const Loan&);
    void setSource(uint64_t key, ShareUnits total, Instant until, ShareUnits leaving = 0);
    ShareUnits leavingUnits() const;
    Duration maxLoanDuration(const Source&, Instant now) const;
    ShareMessage makeMessage(ShareMessageKind, std::string_view to, const ShareId&) const;
    void renewOrReturn(Instant now, std::vector<ShareMessage>&);
    void receiveGrant(const ShareMessage&, Instant now);
    ShareMessage receiveRenew(const ShareMessage&, Instant now);
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
    double m_recentDemand = 0; // The same with a shorter time constant.
    Instant m_demandSince {}; // Time of the first request after a pause.
    Instant m_updated {};
    Instant m_lastDemand {};
    Instant m_nextRequest {};
    unsigned m_consecutiveRefusals = 0;
    uint64_t m_lastNumber = 0;
    uint64_t m_lastSource;
    std::map<uint64_t, Source> m_sources;
    std::map<ShareId, BorrowedShare> m_borrowedShares;
    std::map<ShareId, Loan> m_loans;
    std::map<ShareId, PendingLoan> m_pendingLoans;
    std::map<std::string, std::pair<uint64_t, uint64_t>> m_lastRequests; // Incarnation and number, by borrower.
};

/// Role of a customer's pool host: collects units that other hosts can spare and lends them to hosts that are short.
/// It is safe for two hosts to act as pool host at the same time. Works on the RateShare of its host.
class SharePool {
public:
    SharePool(RateShare&, std::string self);

    /// Handles a Request sent to this host as pool host. holders are the hosts that may have units to lend.
    std::vector<ShareMessage> handleRequest(const ShareMessage&, const std::vector<std::string>& holders, Instant now);

    /// Handles a Grant after RateShare::receive(). Returns answers to waiting requests that it allows.
    std::vector<ShareMessage> handleGrant(const ShareMessage&, Instant now);

    /// Answers requests whose waiting time is over, and collects loans if this host itself is short.
    std::vector<ShareMessage> tick(const std::vector<std::string>& holders, Instant now);

    bool idle() const { return m_waitingRequests.empty() && m_collecting.empty(); }

private:
    struct WaitingRequest {
        ShareMessage request;
        Instant until {};
    };
    struct HolderState {
        Instant nextRequest {};
        unsigned consecutiveRefusals = 0;
    };

    std::vector<ShareMessage> answerWaiting(bool all, Instant now);
    std::vector<ShareMessage> collect(
        ShareUnits units, const std::vector<std::string>& holders, const std::string& except, Instant now);

    RateShare& m_share;
    std::string m_self;
    std::vector<WaitingRequest> m_waitingRequests;
    std::map<ShareId, Instant> m_collecting; // Requests sent to holders and when they time out.
    std::map<std::string, HolderState> m_holders;
};

/// A customer's share at one entry host together with the role of pool host. Driven by a controller.
class CustomerShare {
public:
    CustomerShare(const LimitSettings&, const std::string& customer, const std::string& self, uint64_t incarnation);
    CustomerShare(const CustomerShare&) = delete;
    CustomerShare& operator=(const CustomerShare&) = delete;

    /// Returns the share of this host.
    RateShare& share() { return m_share; }

    /// Handles a message and returns the messages to send. holders are the hosts that may have units to lend.
    std::vector<ShareMessage> receive(const ShareMessage&, const std::vector<std::string>& holders, Instant now);

    /// Returns the messages due now. Must be called every 10 to 50 ms, and immediately after tryAdmit() returned false.
    std::vector<ShareMessage> tick(std::string_view pool, const std::vector<std::string>& holders, Instant now);

    bool idle(Instant now) { return m_pool.idle() && m_share.idle(now); }

private:
    std::string m_self;
    RateShare m_share;
    SharePool m_pool;
};

} // namespace plantainwall
