#pragma once

#include "base/time.h"

#include <boost/asio/ip/tcp.hpp>

/// \file
/// Options that all TCP sockets of the event loop share.

namespace sassafrasvane::http::detail
{

/// Sends without delay, and detects a peer that has vanished without a reset within about three seconds.
void setOptions(boost::asio::ip::tcp::socket &socket);

/// The smoothed round trip time of an open connection; 0 if the system does not tell.
Duration roundTripOf(boost::asio::ip::tcp::socket &socket);

} // namespace sassafrasvane::http::detail
