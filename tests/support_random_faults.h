#pragma once

#include "support_replicated_service.h"
#include <random>

namespace plantainwall {

/// Time after the last fault within which commits must be acknowledged again.
constexpr Duration recoveryTime = std::chrono::seconds(12);
/// Commits count as acknowledged continuously if the last acknowledgement is not older.
constexpr Duration acknowledgementInterval = std::chrono::seconds(1);
/// Time in which commits are acknowledged before the first fault.
constexpr Duration warmUp = std::chrono::seconds(3);

/// Returns the number in an environment variable, or fallback if it is not set.
uint64_t numberFromEnvironment(const char* name, uint64_t fallback);

/// Returns the seeds in an environment variable, separated by commas.
std::set<uint64_t> seedsFromEnvironment(const char* name);

/// Returns whether commits are being acknowledged.
bool acknowledges(const ReplicatedService&);

/// Ends all faults except the absence of servers that have left or are dark.
void endFaults(ReplicatedService&);

/// What a random schedule of faults varies.
struct RandomFaultsSettings {
    size_t hosts = 2;
    bool lateOrders = false;
    /// Longest time for which a server is disconnected from a host or from everything.
    Duration longestSilence = std::chrono::seconds(8);
    /// A fault in three disconnects a replica from the store and from some of the hosts at the same time. One host at
    /// least then reaches each server, unless the server is disconnected from everything.
    bool isolates = false;
    /// A fault in three ends a host's process without notice, the coordinator's as often as not, or disconnects a host
    /// from the others, and at times from the store too.
    bool hostFaults = false;
    /// Faults begin until this time.
    Duration faultsEnd = std::chrono::seconds(26);
};

/// A random schedule of faults over one service.
class RandomFaults {
public:
    RandomFaults(uint64_t seed, const RandomFaultsSettings& settings)
        : m_random(seed)
        , m_service(settings.hosts, timing(m_random))
        , m_settings(settings)
    {
    }

    /// Runs the schedule.
    void run();

    /// Returns the first acknowledged commit that was lost, or nothing.
    std::string loss() const { return m_service.losses().empty() ? std::string() : m_service.losses().front(); }

    /// Returns what the service lacks after the last fault, or nothing.
    std::string outage() const;
    std::string trace() const { return m_service.trace(); }
    unsigned promotions() const { return m_service.promotions(); }
    size_t destroyed() const { return m_service.destroyed(); }
    unsigned hostsKilled() const { return m_hostsKilled; }
    unsigned coordinatorsKilled() const { return m_coordinatorsKilled; }
    unsigned hostsIsolated() const { return m_hostsIsolated; }

private:
    using Fault = void (RandomFaults::*)();

    Duration between(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<int64_t>(least.count(), most.count())(m_random));
    }
    std::string anyServer();
    std::string anyReplica();
    void pass(Duration);
    static ReplicatedServiceTiming timing(std::mt19937_64&);
    void healAfter(Duration, std::function<void()>);
    bool mayDestroy(const std::string& id) const;
    void exitWhenAllowed(const std::string& id, bool led);
    bool settled() const;

    void crash();
    void restartEmpty();
    void goDark();
    void loseStore();
    void loseHost();
    void loseStoreAndHosts();
    void cutHost(const std::string& id, size_t host, Duration);
    void losePrimary();
    void lagBehind();
    void changeCoordinator();
    void leave();
    void losePromotionAnswers();
    void delayPromotions();
    void killHost();
    void isolateHost();

    static constexpr Duration settleLimit
        = std::chrono::seconds(15); ///< For the last servers to leave and to be replaced.
    static constexpr Duration handOverDelay = std::chrono::milliseconds(300);
    /// Until another host takes the role of a coordinator that ended without notice: its lease and a claim.
    static constexpr Duration electionTime = std::chrono::milliseconds(2500);
    /// Shortest time between two destroyed logs: three polls of the primary.
    static constexpr Duration destructionInterval = std::chrono::milliseconds(1200);

    std::mt19937_64 m_random;
    ReplicatedService m_service;
    RandomFaultsSettings m_settings;
    unsigned m_replaced = 0;
    unsigned m_hostsKilled = 0;
    unsigned m_coordinatorsKilled = 0;
    unsigned m_hostsIsolated = 0;
    std::string m_leaving;
    Instant m_destroyedAt; ///< When a log was last destroyed.
    std::optional<Instant> m_handOverAt;
};

/// Runs the schedules of 300 seeds, or of those in the environment variables COORDINATOR_FIRST and COORDINATOR_SEEDS,
/// and reports each seed for which the function returns a violation, with the events of the first ones.
void checkRandomFaults(std::string (RandomFaults::*violation)() const, RandomFaultsSettings = {});

/// Returns settings with which replicas are disconnected from hosts for longer than it takes until they count as
/// down.
RandomFaultsSettings longSilences();

/// Returns settings with which hosts end without notice and are cut off, and orders of promotions arrive late.
RandomFaultsSettings hostFaults();

} // namespace plantainwall
