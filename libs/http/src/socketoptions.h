#pragma once

#include "base/time.h"

#include <boost/asio/ip/tcp.hpp>

/// \file
/// TCP socket options shared by client and server connections.

namespace sassafrasvane::http::detail
{

/// Disables Nagle's algorithm, and makes the system detect within about three seconds that a peer has vanished without
/// a reset. Options that the system does not support are skipped.
void setOptions(boost::asio::ip::tcp::socket &socket);

/// Bounds the memory in which the system keeps what was received and not yet read, and what was sent and not yet taken.
/// The connections that \p acceptor accepts have these buffers too.
void limitSocketBuffers(boost::asio::ip::tcp::acceptor &acceptor);

/// Memory that the system may use for each of the two buffers, in bytes.
constexpr std::size_t socketBufferBytes() noexcept
{
    return 32'768;
}

/// The smoothed round trip time of an open connection, as measured by the system; 0 if unknown.
Duration roundTripOf(boost::asio::ip::tcp::socket &socket);

} // namespace sassafrasvane::http::detail
