#pragma once

#include "database.h"
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace plantainwall::bench {

/// What `bench run` was asked to do.
struct RunOptions {
    bool quick = false; ///< Only results that do not depend on how busy the machine is.
    uint64_t seed = 1;
    std::string knownRed; ///< File with `bench: <measure> <deployment> <case>` lines of known misses; may be empty.
};

/// One line of results.jsonl.
struct Result {
    std::string measure;
    std::string deployment;
    std::string caseName;
    double value = 0;
    std::string unit;
    std::optional<double> baseline;
    std::map<std::string, double> details; ///< Further figures of the same run.
    bool judged = true; ///< false: reported without a verdict.
};

enum class TargetKind : uint8_t { AtMost, AtLeast, AtLeastPartOfBest, Count };

/// A target of docs/design.md.
struct Target {
    std::string_view measure;
    TargetKind kind = TargetKind::AtMost;
    double value = 0;
};

/// Returns the target of a measure; nullptr if docs/design.md states none.
const Target* targetOf(std::string_view measure);

/// Collects results, prints them and writes them as JSON lines.
class Report {
public:
    Report(const RunOptions&, std::string path);

    /// Writes the result. Fails the run if it misses its target.
    void add(const Result&);
    const RunOptions& options() const { return m_options; }
    size_t missed() const { return m_missed; } ///< Without the known ones.
    size_t knownMissed() const { return m_knownMissed; }
    size_t written() const { return m_written; }

private:
    RunOptions m_options;
    std::string m_path;
    std::set<std::string> m_knownRed;
    size_t m_missed = 0;
    size_t m_knownMissed = 0;
    size_t m_written = 0;
};

struct DataCentre {
    std::string name;
    std::string region;
};

/// Sizes and latencies of section 1.3 of docs/design.md.
struct Deployment {
    std::string name;
    std::vector<DataCentre> dataCentres;
    Duration inRegion {}; ///< One way between data centres of a region.
    Duration toClients {};
    std::string storeRegion;
    unsigned slots = 0; ///< Of each database.
    unsigned connections = 0;
    Duration connectTime {};

    /// One-way latency between two data centres.
    Duration latency(size_t from, size_t to) const;
    Duration latencyToStore(size_t dataCentre) const;
    bool sameRegion(size_t a, size_t b) const { return dataCentres[a].region == dataCentres[b].region; }
};

/// Huon and Enanitos.
const std::vector<Deployment>& deployments();

/// Returns the deployment with its data centres split into six, the number of section 1.4.
Deployment atDesignSize(const Deployment&);

/// Runs events in virtual time; events of the same time in the order in which they were added.
class EventQueue {
public:
    explicit EventQueue(uint64_t seed)
        : m_random(seed)
    {
    }

    void at(Instant when, std::function<void()> event) { m_events.emplace(when, std::move(event)); }
    void after(Duration delay, std::function<void()> event) { at(m_now + delay, std::move(event)); }

    /// Repeats the event until the end of the run, first after `first`.
    void every(Duration first, Duration interval, const std::function<void()>& event);
    void run(Instant until);
    Instant now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }
    double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(m_random); }
    Duration exponential(Duration mean);
    size_t pick(size_t n) { return static_cast<size_t>(m_random() % n); }

private:
    std::multimap<Instant, std::function<void()>> m_events;
    std::mt19937_64 m_random;
    Instant m_now {};
};

/// Returns the value below which the part of the values lies; 0 without values. Sorts the values.
double percentile(std::vector<double>& values, double part);
double milliseconds(Duration);
Duration fromMicroseconds(double);

/// Returns the processor time used by the calling thread.
Duration threadCpuTime();

using Suite = void (*)(Report&);
void benchReads(Report&);
void benchFailover(Report&);
void benchFairness(Report&);
void benchFloor(Report&);
void benchRates(Report&);
void benchConfig(Report&);
void benchControl(Report&);
void benchHop(Report&);

} // namespace plantainwall::bench
