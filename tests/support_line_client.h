#pragma once

#include "support_line_group.h"
#include "support_odd_texts.h"

namespace plantainwall::test {

/// Reads of a route may be this old; the routes of LineClient's databases.
enum class LineRoute : uint8_t { Primary, Bounded, OwnWrites, Count };

/// Name of the database that a route serves.
const char* lineRouteName(LineRoute);

/// What callers know of commits, for checking reads.
class Acknowledgements {
public:
    using Clock = std::chrono::steady_clock;

    void note(uint64_t position)
    {
        m_greatest = std::max(m_greatest, position);
        m_points.emplace_back(Clock::now(), m_greatest);
    }

    /// Returns the greatest position that was acknowledged to a caller before the given time.
    uint64_t before(Clock::time_point) const;

private:
    uint64_t m_greatest = 0;
    std::vector<std::pair<Clock::time_point, uint64_t>> m_points;
};

/// A caller that keeps a session open, sends operations with pauses between them, and checks every answer.
class LineClient {
public:
    using Clock = std::chrono::steady_clock;
    static constexpr std::chrono::milliseconds boundedStaleness { 1500 };
    static constexpr std::chrono::milliseconds ownStaleness { 2500 };

    struct Fleet {
        Ledger& ledger;
        Acknowledgements& acknowledgements;
        std::vector<uint16_t> ports; ///< Of the entry hosts.
        std::mt19937_64& random;
        /// Of a thousand texts of callers, so many are odd, and as many messages arrive in two segments.
        unsigned oddPerThousand = 0;
        OddTexts odd { 1 };
    };
    struct Outcome {
        Clock::time_point started;
        bool served = false;
        bool unknownKey = false;
    };

    LineClient(boost::asio::io_context&, Fleet&, unsigned number, LineRoute);

    void start() { pause(); }

    /// Ends the client; nothing is sent any more.
    void stop();

    const std::vector<Outcome>& outcomes() const { return m_outcomes; }
    const std::string& customer() const { return m_customer; }

    /// Requests whose caller was promised that nothing is kept.
    std::set<std::string> promised;

private:
    void connect();
    void pause();
    void armTimeout(std::chrono::milliseconds);
    void closed();
    void take(std::string_view line);
    void begin();
    void send(const std::string& text);
    void answered(const std::string& state);
    void checkSuccess();
    void advance(const std::string& state);
    void finish(bool served);
    void noteRefusal();
    void noteSessionState();
    std::deque<std::string> chooseSteps();
    bool odd() { return m_fleet.odd.chance(m_fleet.oddPerThousand); }
    std::string preparedUnder(const std::string& text) const;
    std::string verbOf(const std::string& text) const;

    boost::asio::io_context& m_loop;
    Fleet& m_fleet;
    std::string m_name;
    std::string m_customer;
    LineRoute m_route;
    std::string m_valueName; ///< Session value that the caller sets; empty: none.
    std::string m_readName; ///< Of the session's prepared statement that reads.
    std::string m_writeName;
    std::shared_ptr<WireStream> m_socket;
    boost::asio::steady_timer m_timer;
    bool m_stopped = false;
    bool m_ready = false;
    std::map<std::string, std::string> m_values;
    std::map<std::string, std::string> m_prepared; ///< Acknowledged mode and shape, by name.
    uint64_t m_sent = 0;
    uint64_t m_ownPosition = 0;
    // The operation in progress.
    std::deque<std::string> m_steps;
    uint64_t m_transaction = 0;
    uint64_t m_needed = 0;
    Outcome m_outcome;
    std::vector<std::string> m_writes;
    // The statement in progress.
    std::string m_id;
    std::string m_text;
    std::vector<std::string> m_rows;
    std::string m_signature;
    std::string m_error;
    std::vector<Outcome> m_outcomes;
};

} // namespace plantainwall::test
