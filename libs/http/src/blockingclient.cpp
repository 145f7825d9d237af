#include "http/blockingclient.h"

#include <boost/beast/http/write.hpp>

#include <array>
#include <cerrno>
#include <sstream>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sassafrasvane::http
{

namespace
{

using namespace std::chrono_literals;

constexpr int noSocket = -1;
/// Maximum number of bytes of one read.
constexpr std::size_t maxReadBytes = 16'384;
/// Time after which a waiting call looks whether it was stopped.
constexpr Duration stopCheckInterval = 100ms;

bool mustWait() noexcept
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

sockaddr_in socketAddress(const Address &address) noexcept
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    result.sin_addr.s_addr = htonl(address.ip);
    return result;
}

} // namespace

BlockingClient::BlockingClient(const Address &server, ResponseMemory &memory, const BlockingClientLimits &limits)
    : server_(server), reader_(memory), limits_(limits)
{
}

BlockingClient::~BlockingClient()
{
    close();
}

Result<Response> BlockingClient::call(const Request &request, TimePoint deadline)
{
    reader_.begin({request.method() == beast_http::verb::head, limits_.maxBodyBytes}, nullptr);
    if (const std::optional<Errc> failure = exchange(request, deadline)) {
        close();
        reader_.end();
        return Error{*failure, *failure == Errc::ConnectFailed ? Step::Connect : Step::Receive, server_.toString(), {}};
    }
    const bool isReusable = reader_.isKeptAlive() && unparsed_.empty();
    Response response = reader_.release();
    reader_.end();
    if (!isReusable) {
        close();
    }
    return response;
}

std::optional<Errc> BlockingClient::exchange(const Request &request, TimePoint deadline)
{
    if (!isUsable()) {
        close();
        if (const std::optional<Errc> failure = open(std::min(deadline, BootClock::now() + limits_.connectTimeout))) {
            return failure;
        }
    }
    std::ostringstream text;
    text << request;
    const std::string bytes = text.str();
    if (const std::optional<Errc> failure = send(bytes, deadline)) {
        return failure;
    }
    return receive(deadline);
}

// Bytes that nobody has asked for make a connection unusable, as does its end.
bool BlockingClient::isUsable() const noexcept
{
    if (socket_ == noSocket) {
        return false;
    }
    char next = 0;
    return ::recv(socket_, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) < 0 && mustWait();
}

std::optional<Errc> BlockingClient::open(TimePoint deadline)
{
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket_ == noSocket) {
        return Errc::ConnectFailed;
    }
    const int on = 1;
    (void)::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = socketAddress(server_);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the socket interface asks for it.
    const int connected = ::connect(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (connected != 0 && errno != EINPROGRESS) {
        return Errc::ConnectFailed;
    }
    if (wait(POLLOUT, deadline)) {
        return Errc::ConnectFailed;
    }
    int error = 0;
    socklen_t size = sizeof error;
    (void)::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0 ? std::nullopt : std::optional(Errc::ConnectFailed);
}

std::optional<Errc> BlockingClient::wait(short events, TimePoint deadline) const
{
    while (!isStopped_) {
        const Duration left = deadline - BootClock::now();
        if (left <= Duration{0}) {
            return Errc::Timeout;
        }
        pollfd item{socket_, events, 0};
        const std::chrono::milliseconds slice
            = std::chrono::ceil<std::chrono::milliseconds>(std::min(left, stopCheckInterval));
        if (::poll(&item, 1, static_cast<int>(slice.count())) > 0) {
            return std::nullopt;
        }
    }
    return Errc::ConnectionLost;
}

std::optional<Errc> BlockingClient::send(std::string_view bytes, TimePoint deadline)
{
    while (!bytes.empty()) {
        if (const std::optional<Errc> failure = wait(POLLOUT, deadline)) {
            return failure;
        }
        const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent >= 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        } else if (!mustWait()) {
            return Errc::ConnectionLost;
        }
    }
    return std::nullopt;
}

std::optional<Errc> BlockingClient::receive(TimePoint deadline)
{
    while (reader_.state() == ResponseReader::State::Reading) {
        if (const std::optional<Errc> failure = wait(POLLIN, deadline)) {
            return failure;
        }
        if (const std::optional<Errc> failure = receiveSome()) {
            return failure;
        }
    }
    return reader_.state() == ResponseReader::State::Complete ? std::nullopt : std::optional(reader_.failure());
}

std::optional<Errc> BlockingClient::receiveSome()
{
    std::array<char, maxReadBytes> bytes{};
    const ssize_t size = ::recv(socket_, bytes.data(), bytes.size(), 0);
    if (size > 0) {
        unparsed_.append(bytes.data(), static_cast<std::size_t>(size));
        unparsed_.erase(0, reader_.put(unparsed_));
        return std::nullopt;
    }
    if (size < 0) {
        return mustWait() ? std::nullopt : std::optional(Errc::ConnectionLost);
    }
    reader_.putEof();
    return reader_.state() == ResponseReader::State::Complete ? std::nullopt : std::optional(Errc::ConnectionLost);
}

void BlockingClient::close() noexcept
{
    if (socket_ != noSocket) {
        ::close(socket_);
        socket_ = noSocket;
    }
    unparsed_ = std::string();
}

} // namespace sassafrasvane::http
