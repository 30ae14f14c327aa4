#pragma once

#include "controller_membership.h"
#include "rate_slices.h"
#include <array>
#include <deque>

namespace plantainwall {

/// Enforces the customers' fleet-wide rates at this host: runs Seats over the store and CustomerShare over control
/// calls. Safe to call from any thread; a request takes the lock of its customer's shard only.
class LimitsController final : public std::enable_shared_from_this<LimitsController> {
public:
    static constexpr const char* shareMethod = "share.messages";

    /// Called once: whether the request is admitted, and if not, when to try again.
    using Done = std::function<void(bool admitted, Duration retryAfter)>;

    LimitsController(const Settings&, uint64_t incarnation, PeerCall, std::shared_ptr<Store>,
        std::shared_ptr<const ConfigView>, std::shared_ptr<const MembershipController>, std::shared_ptr<Scheduler>);

    /// Starts claiming seats and moving shares. They end with the last reference to this object.
    void start();

    /// Takes a token of the customer's, waiting for a loan for up to maxLoanWait, and until a loan request that was
    /// sent meanwhile is answered, but not beyond the deadline. Calls done at once or later from another thread.
    void admit(std::string_view customer, Instant deadline, Done done);

    /// Takes a token if there is one now.
    bool tryAdmit(std::string_view customer);

    /// Handles a call of shareMethod; register it before the peer port opens. Throws if params is malformed.
    std::string handleShares(const std::string& params);

    /// Returns the share of every customer's rate that this host holds by its seats.
    OwnShare rateSliceShare() const;

    /// Returns the units of a customer's rate that this host may use now.
    ShareUnits usable(std::string_view customer);

private:
    struct Waiting {
        Instant until {};
        Instant deadline {};
        Done done;
    };
    struct Entry {
        std::unique_ptr<CustomerShare> share;
        double rate = 0;
        double burst = 0;
        std::deque<Waiting> waiting;
    };
    struct Shard {
        std::mutex mutex;
        std::map<std::string, Entry, std::less<>> customers;
    };
    struct Finished {
        Done done;
        bool admitted = false;
        Duration retryAfter {};
    };
    struct Output {
        std::vector<ShareMessage> messages;
        std::vector<Finished> finished;
    };
    static constexpr size_t shardCount = 16;

    void every(Duration interval, void (LimitsController::*task)());
    Shard& shardOf(std::string_view customer);
    Entry* findEntry(Shard&, std::string_view customer);
    void tickShares();
    void refresh();
    void stepRateSlices();
    void perform(const RateSliceAction&);
    void serve(Entry&, Instant now, Output&);
    void extendWaits(Entry&, Instant now) const;
    void deliver(Output);
    std::string poolOf(std::string_view customer) const;
    std::shared_ptr<const std::vector<std::string>> holders() const;
    void append(Output&, std::vector<ShareMessage>);

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
    std::shared_ptr<const std::vector<std::string>> m_holders;
};

/// Encodes share messages as a JSON array.
std::string encodeShares(const std::vector<ShareMessage>&);

/// Decodes share messages. Throws std::exception if the text is malformed.
std::vector<ShareMessage> decodeShares(const std::string&);

} // namespace plantainwall
