#pragma once

#include "plantainwall/plantainwall.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace plantainwall {

struct HttpOutcome;

/// HTTP request of an HttpChannel.
struct HttpExchange {
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; ///< JSON.
    Duration timeout { 0 }; ///< Until the first byte of the answer.
    /// Longest pause within the answer. The time of a whole answer depends on its size and on what else uses the link.
    Duration pauseTimeout = std::chrono::milliseconds(1500);
    /// From the first byte of the answer to its end: twice the time of the largest answer on a link of 10 Mbit/s.
    Duration answerTimeout = std::chrono::seconds(14);
    /// Nothing in the answer tells whose it is, so the call needs a connection that has carried no other call.
    bool fresh = false;
    /// The connection is replaced after the answer, and the next one opened at once: the next fresh call then need not
    /// wait for a connection, of which each lost packet costs a second.
    bool renew = false;
    /// Returns whether an answer with status 200 can be this call's. Asked only if the connection has carried other
    /// answers, of which it may be a copy. Not set: any can.
    std::function<bool(const HttpOutcome&)> fits;
};

/// Result of an HttpExchange.
struct HttpOutcome {
    bool answered = false; ///< False if no answer arrived; the server may have executed the call.
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    uint64_t incompleteBytes = 0; ///< Bytes of the body that had arrived when the answer was given up.

    /// Returns the value of a header, whose name is compared without regard to case; empty if there is none.
    std::string_view header(std::string_view name) const;
};

/// Sends HTTP/1.1 calls to one address, one at a time over one connection, on an event loop. If an answer does not
/// begin or go on arriving in time, the connection is closed and the next call opens a new one.
///
/// A server may send an answer a second time, late. Order alone therefore does not tell whose an answer is: a
/// connection with bytes that no call asked for, or with any answer but a 200, is not used again, and an answer that
/// cannot be that of the call in progress ends it without an answer (see HttpExchange::fits). A GET is then sent once
/// more, over a new connection. No other call is sent twice.
class HttpChannel {
public:
    /// @param address Address of the server, as ip:port.
    HttpChannel(boost::asio::io_context&, const std::string& address);
    ~HttpChannel();

    /// Queues a call, which is sent when all earlier calls have ended. The handler is called once, never from
    /// within call(). A call whose target or headers a server would not read as they are is not sent, and ends without
    /// an answer.
    void call(HttpExchange, std::function<void(HttpOutcome)>);

    /// Closes the connection. All calls in progress and queued end without an answer.
    void cancel();

private:
    class Connection;

    std::shared_ptr<Connection> m_connection;
};

} // namespace plantainwall
