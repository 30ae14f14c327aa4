#pragma once

#include "controller_membership.h"
#include "rate_slices.h"
#include <array>
#include <deque>

namespace plantainwall {

/// Enforces the fleet-wide rates of customers at this host. Runs RateSlices on the store and exchanges CustomerShare
/// messages in control calls. Safe to call from any thread; a request takes only the lock of its customer's shard.
class LimitsController final : public std::enable_shared_from_this<LimitsController> {
public:
    static constexpr const char* shareMethod = "share.messages";

    /// Called once with the result of admit().
    /// @param retryAfter Time until a retry may be admitted, if the request was refused.
    using AdmitCallback = std::function<void(bool admitted, Duration retryAfter)>;

    LimitsController(const Settings&, uint64_t incarnation, PeerCall, std::shared_ptr<Store>,
        std::shared_ptr<const ConfigView>, std::shared_ptr<const MembershipController>, std::shared_ptr<Scheduler>);

    /// Starts claiming rate slices and exchanging shares. Both end when the last reference to this object is released.
    void start();

    /// Takes a token from the customer's share. If there is none, waits up to maxLoanWait for a loan, and longer while
    /// a loan request sent in that time is unanswered, but not past the deadline.
    /// @param callback Called from this function, or later from another thread.
    void admit(std::string_view customer, Instant deadline, AdmitCallback callback);

    /// Takes a token without waiting. Returns false if there is none or other requests of the customer are waiting.
    bool tryAdmit(std::string_view customer);

    /// Handles a call of shareMethod. Must be registered before the peer port opens. Throws std::exception if params is
    /// malformed.
    std::string handleShares(const std::string& params);

    /// Returns the share of each customer's rate that the rate slices of this host grant.
    OwnShare rateSliceShare() const;

    /// Returns the share units of a customer's rate that this host may use now, loans included.
    ShareUnits usable(std::string_view customer);

private:
    struct WaitingRequest {
        Instant loanWaitUntil {};
        Instant deadline {};
        AdmitCallback callback;
    };
    struct CustomerState {
        std::unique_ptr<CustomerShare> share;
        double rate = 0;
        double burst = 0;
        std::deque<WaitingRequest> waiting;
    };
    struct Shard {
        std::mutex mutex;
        std::map<std::string, CustomerState, std::less<>> customers;
    };
    struct AdmitResult {
        AdmitCallback callback;
        bool admitted = false;
        Duration retryAfter {};
    };
    struct Effects {
        std::vector<ShareMessage> messages;
        std::vector<AdmitResult> results;
    };
    static constexpr size_t shardCount = 16;

    void runEvery(Duration interval, void (LimitsController::*task)());
    Shard& shardOf(std::string_view customer);
    CustomerState* findCustomer(Shard&, std::string_view customer);
    void tickShares();
    void refresh();
    void stepRateSlices();
    void perform(const RateSliceAction&);
    void decideWaiting(CustomerState&, Instant now, Effects&);
    void extendLoanWaits(CustomerState&, Instant now) const;
    void deliver(Effects);
    std::string poolHostOf(std::string_view customer) const;
    std::shared_ptr<const std::vector<std::string>> sliceHolders() const;
    void append(Effects&, std::vector<ShareMessage>);

    const LimitSettings m_settings;
    const std::string m_self;
    const uint64_t m_incarnation;
    PeerCall m_call;
    std::shared_ptr<Store> m_store;
    std::shared_ptr<const ConfigView> m_config;
    std::shared_ptr<const MembershipController> m_membership;
    std::shared_ptr<Scheduler> m_scheduler;
    std::array<Shard, shardCount> m_shards;
    mutable std::mutex m_rateSliceMutex;
    RateSlices m_rateSlices;
    bool m_rateSliceCallPending = false;
    std::shared_ptr<const std::vector<std::string>> m_rateSliceHolders;
};

/// Encodes share messages as a JSON array.
std::string encodeShares(const std::vector<ShareMessage>&);

/// Decodes share messages. Throws std::exception if the text is malformed.
std::vector<ShareMessage> decodeShares(const std::string&);

} // namespace plantainwall
