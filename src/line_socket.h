#pragma once

#include "memory_budget.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace plantainwall {

/// What ends a line. Every other byte, also a part of the line end alone, belongs to the line.
enum class LineEnd : uint8_t { CrLf, Lf, Count };

/// Connection that carries lines of text, on one event loop. Uses buffer memory only while data is pending.
class LineSocket : public std::enable_shared_from_this<LineSocket> {
public:
    struct Handlers {
        /// Handles a line, passed without its line end. Returns false to receive no further line before resume().
        std::function<bool(std::string_view)> line;
        /// Called once when the connection has ended or a line was longer than maxLine, never from within another call
        /// of this class.
        std::function<void(bool tooLong)> closed;
        std::function<void()> connected;
        /// Called in place of closed, if set, when connect() has failed.
        std::function<void(const boost::system::error_code&)> connectFailed;
    };

    /// @param maxLine Longest line that is handled, in bytes without its line end.
    LineSocket(boost::asio::ip::tcp::socket socket, LineEnd, size_t maxLine);

    /// Likewise, for lines that end with CR LF, as those of callers and servers do.
    LineSocket(boost::asio::ip::tcp::socket socket, size_t maxLine)
        : LineSocket(std::move(socket), LineEnd::CrLf, maxLine)
    {
    }

    /// Lets a budget limit what is read and counts what is held; close() ends the account. Must be called before
    /// start() or connect(). Unless the account is a backend server's, reading also pauses while much output is unsent,
    /// and while a line is handled, beyond a few lines ahead.
    void setMemory(std::unique_ptr<MemoryAccount>);

    /// Returns the account of setMemory(); null without one and after close().
    MemoryAccount* memory() const { return m_memory.get(); }

    void start(Handlers);
    void connect(const boost::asio::ip::tcp::endpoint&, Handlers);
    void send(std::string_view);
    void resume();

    /// Closes the connection after all queued data has been sent; no further handler is called and nothing is read.
    void closeAfterSend();

    /// Closes the connection immediately; no handler is called afterwards.
    void close();

private:
    void configure();
    void awaitInput();
    void readAvailable();
    void deliver();
    void deliverLater();
    /// Returns whether no line may be delivered now.
    bool blocked() const;
    /// Returns whether enough input is buffered while no line may be delivered.
    bool stalled() const;
    void pauseReading();
    void countMemory();
    void awaitOutput();
    void writeAvailable();
    void failToConnect(const boost::system::error_code&);
    void fail(bool tooLong);

    boost::asio::ip::tcp::socket m_socket;
    LineEnd m_lineEnd;
    size_t m_maxLine;
    Handlers m_handlers;
    std::string m_in;
    size_t m_searched = 0; ///< No line end that was not handled begins before this position of m_in.
    std::string m_out;
    std::unique_ptr<MemoryAccount> m_memory;
    std::unique_ptr<boost::asio::steady_timer> m_readTimer; ///< Set while reading is paused by the budget.
    bool m_open = false;
    bool m_paused = false;
    bool m_delivering = false;
    bool m_writing = false;
    bool m_closing = false;
    bool m_limitsSender = false; ///< See setMemory().
    bool m_reading = false; ///< Input is awaited, or reading is paused by the budget.
    bool m_ended = false; ///< Reading has ended: end of the stream or an error.
};

} // namespace plantainwall
