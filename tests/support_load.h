#pragma once

#include "support_entry_host.h"
#include <atomic>
#include <mutex>
#include <thread>

namespace plantainwall::test {

/// One answered request of a load, with times of the caller's clock.
struct LoadRecord {
    std::chrono::steady_clock::time_point sent;
    std::chrono::steady_clock::time_point answered;
    std::string name; ///< Of the result code; empty: no answer.
};

/// Open-loop load on one address: requests leave at a fixed rate whether or not earlier ones have been answered, as
/// long as one of the workers is free. Each worker keeps one connection.
class OpenLoad {
public:
    /// Starts sending reads of group "g" under the key.
    OpenLoad(std::string address, const std::string& key, double perSecond, unsigned workers = 16);
    ~OpenLoad() { stop(); }

    OpenLoad(const OpenLoad&) = delete;
    OpenLoad& operator=(const OpenLoad&) = delete;

    /// Stops sending and waits for the answers. Returns all records.
    std::vector<LoadRecord> stop();

private:
    void work();

    const std::string m_address;
    const Headers m_headers;
    const double m_perSecond;
    const std::chrono::steady_clock::time_point m_begin;
    std::atomic<uint64_t> m_next { 0 };
    std::atomic<bool> m_stop { false };
    std::mutex m_mutex;
    std::vector<LoadRecord> m_records;
    std::vector<std::thread> m_threads;
};

/// Returns the largest excess of admitted requests over burst + perSecond * length of any window, in requests; negative
/// if every window stays below. Only requests sent and answered within a window count in it, so that none counts that
/// was admitted outside.
double largestExcess(const std::vector<LoadRecord>&, double perSecond, double burst);

} // namespace plantainwall::test
