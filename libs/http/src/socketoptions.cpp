#include "socketoptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sassafrasvane::http::detail
{

namespace
{

/// Idle time before the first keep-alive probe, in seconds.
constexpr int keepAliveIdleSeconds = 1;
/// Time between two keep-alive probes, in seconds.
constexpr int keepAliveIntervalSeconds = 1;
/// Number of unanswered keep-alive probes after which the system drops the connection.
constexpr int keepAliveProbes = 2;
/// Time in milliseconds after which the system drops a connection whose sent bytes are not acknowledged.
constexpr unsigned userTimeoutMilliseconds = 3'000;

template<typename Value>
void set(int descriptor, int level, int option, Value value)
{
    // Errors are ignored: without an option, a lost peer is only detected later.
    (void)setsockopt(descriptor, level, option, &value, sizeof value);
}

} // namespace

void setOptions(boost::asio::ip::tcp::socket &socket)
{
    const int descriptor = socket.native_handle();
    set(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    set(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    set(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMilliseconds);
}

void limitSocketBuffers(boost::asio::ip::tcp::acceptor &acceptor)
{
    // The system uses twice the value. 16 KB let the largest body arrive within the time for it at a round trip of up
    // to 150 ms.
    const int size = static_cast<int>(socketBufferBytes() / 2);
    set(acceptor.native_handle(), SOL_SOCKET, SO_RCVBUF, size);
    set(acceptor.native_handle(), SOL_SOCKET, SO_SNDBUF, size);
}

Duration roundTripOf(boost::asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return Duration{0};
    }
    return Duration(info.tcpi_rtt);
}

} // namespace sassafrasvane::http::detail
