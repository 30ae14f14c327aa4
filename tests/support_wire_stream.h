#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace plantainwall::test {

/// Connection of a stand-in or a caller. A message ends with CR LF; every other byte, a single CR or LF too, belongs to
/// it. Shares no code with the product's connections, so that it shares none of their faults either.
class WireStream : public std::enable_shared_from_this<WireStream> {
public:
    struct Handlers {
        std::function<void(std::string_view message)> message; ///< Without its line end.
        std::function<void()> closed; ///< Called once when the connection has ended, never from within send().
        std::function<void()> connected;
    };

    explicit WireStream(boost::asio::ip::tcp::socket socket);

    void start(Handlers);
    void connect(const boost::asio::ip::tcp::endpoint&, Handlers);

    /// Sends one message or several, each with its line end.
    void send(std::string_view);

    /// Makes one of so many sends arrive in two segments, often cut within the line end; 0: none.
    void cutSegments(unsigned oneOf, uint64_t seed);

    /// Closes the connection once all has been sent. No handler is called afterwards.
    void closeAfterSend();

    /// Closes the connection; no handler is called afterwards.
    void close();

private:
    struct Segment {
        std::string text;
        bool pauseAfter; ///< The rest of the message follows in a segment of its own.
    };

    void read();
    void deliver();
    void write();
    void fail();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_pause;
    Handlers m_handlers;
    std::string m_in;
    std::string m_buffer;
    std::deque<Segment> m_segments;
    unsigned m_cutOneOf = 0;
    std::mt19937_64 m_random;
    bool m_open = false;
    bool m_writing = false;
    bool m_closing = false;
};

} // namespace plantainwall::test
