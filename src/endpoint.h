#pragma once

#include "settings_keys.h"
#include <boost/asio/ip/tcp.hpp>

namespace plantainwall {

/// Parses "ip:port". Returns a default-constructed endpoint if the text is malformed.
template <typename Endpoint> Endpoint endpointOf(const std::string& address)
{
    std::string ip;
    uint16_t port = 0;
    if (!parseEndpoint(address, ip, port))
        return {};
    return { boost::asio::ip::make_address(ip), port };
}

/// Opens, binds and starts an acceptor on "ip:port". Throws boost::system::system_error on failure.
inline void listenAt(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address, int backlog)
{
    const auto endpoint = endpointOf<boost::asio::ip::tcp::endpoint>(address);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(backlog);
}

} // namespace plantainwall
