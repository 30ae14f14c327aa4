#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace plantainwall {

/// Connection that carries lines of text, on one event loop. Uses buffer memory only while data is pending.
class LineSocket : public std::enable_shared_from_this<LineSocket> {
public:
    struct Handlers {
        /// Handles a line, passed without its line break. Returns false to receive no further line before resume().
        std::function<bool(std::string_view)> line;
        /// Called once when the connection has ended or a line was longer than maxLine, never from within another call
        /// of this class.
        std::function<void(bool tooLong)> closed;
        std::function<void()> connected;
        /// Called in place of closed, if set, when connect() has failed.
        std::function<void(const boost::system::error_code&)> connectFailed;
    };

    LineSocket(boost::asio::ip::tcp::socket socket, size_t maxLine);

    void start(Handlers);
    void connect(const boost::asio::ip::tcp::endpoint&, Handlers);
    void send(std::string_view);
    void resume();

    /// Closes the connection after all queued data has been sent.
    void closeAfterSend();

    /// Closes the connection immediately; no handler is called afterwards.
    void close();

private:
    void configure();
    void awaitInput();
    void readAvailable();
    void deliver();
    void awaitOutput();
    void writeAvailable();
    void failToConnect(const boost::system::error_code&);
    void fail(bool tooLong);

    boost::asio::ip::tcp::socket m_socket;
    size_t m_maxLine;
    Handlers m_handlers;
    std::string m_in;
    std::string m_out;
    bool m_open = false;
    bool m_paused = false;
    bool m_delivering = false;
    bool m_writing = false;
    bool m_closing = false;
    bool m_ended = false; ///< Reading has ended: end of the stream or an error.
};

} // namespace plantainwall
