#include "httpserver.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sassafrasvane
{

namespace
{

constexpr int listenBacklog = 512;
constexpr int writeTimeoutMs = 5000;
/// Threads beyond the connection cap, which close the connections over it.
constexpr std::size_t spareThreads = 2;
constexpr std::size_t maxBodyBytes = 4U << 20U;

/// A connection as cpp-httplib sees it. Does not own the socket.
class SocketStream : public httplib::Stream
{
public:
    explicit SocketStream(socket_t socket) : socket_(socket) { }

    bool is_readable() const override { return begin_ < end_ || isReady(POLLIN, -1); }

    bool is_writable() const override { return isReady(POLLOUT, writeTimeoutMs); }

    ssize_t read(char *ptr, std::size_t size) override
    {
        if (begin_ == end_) {
            const ssize_t received = receive();
            if (received <= 0) {
                return received;
            }
        }
        const std::size_t count = std::min(size, end_ - begin_);
        std::copy_n(buffer_.data() + begin_, count, ptr);
        begin_ += count;
        return static_cast<ssize_t>(count);
    }

    ssize_t write(const char *ptr, std::size_t size) override
    {
        return is_writable() ? ::send(socket_, ptr, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string &ip, int &port) const override { address(::getpeername, ip, port); }

    void get_local_ip_and_port(std::string &ip, int &port) const override { address(::getsockname, ip, port); }

    socket_t socket() const override { return socket_; }

private:
    using NameFunction = int (*)(int, sockaddr *, socklen_t *);

    bool isReady(short events, int timeoutMs) const
    {
        pollfd entry{socket_, events, 0};
        return ::poll(&entry, 1, timeoutMs) > 0;
    }

    ssize_t receive()
    {
        ssize_t received = 0;
        do {
            received = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
        } while (received < 0 && errno == EINTR);
        begin_ = 0;
        end_ = received > 0 ? static_cast<std::size_t>(received) : 0;
        return received;
    }

    void address(NameFunction function, std::string &ip, int &port) const
    {
        sockaddr_in name{};
        socklen_t size = sizeof(name);
        if (function(socket_, reinterpret_cast<sockaddr *>(&name), &size) != 0) {
            return;
        }
        std::array<char, INET_ADDRSTRLEN> text{};
        ip = ::inet_ntop(AF_INET, &name.sin_addr, text.data(), text.size());
        port = ntohs(name.sin_port);
    }

    socket_t socket_;
    std::array<char, 4096> buffer_{};
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
};

} // namespace

HttpServer::HttpServer(std::size_t connections) : limit_(connections)
{
    new_task_queue = [connections] { return new httplib::ThreadPool(connections + spareThreads); };
    set_tcp_nodelay(true);
    set_payload_max_length(maxBodyBytes);
}

HttpServer::~HttpServer()
{
    shutdown();
}

bool HttpServer::start(const Address &address)
{
    if (!bind_to_port(address.host(), address.port)) {
        return false;
    }
    listenInThread();
    return true;
}

Address HttpServer::startAnywhere()
{
    const int port = bind_to_any_port("127.0.0.1");
    if (port <= 0) {
        return {};
    }
    listenInThread();
    return {INADDR_LOOPBACK, static_cast<std::uint16_t>(port)};
}

void HttpServer::listenInThread()
{
    ::listen(svr_sock_, listenBacklog);
    thread_ = std::thread([this] { listen_after_bind(); });
    while (!is_running()) {
        std::this_thread::yield();
    }
}

void HttpServer::closeConnections()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (socket_t socket : sockets_) {
        ::shutdown(socket, SHUT_RDWR);
    }
}

void HttpServer::shutdown()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isStopping_ = true;
    }
    closeConnections();
    stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

std::size_t HttpServer::connections() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return sockets_.size();
}

std::size_t HttpServer::connectionsPeak() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return peak_;
}

std::size_t HttpServer::connectionsRefused() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return refused_;
}

void HttpServer::resetPeak()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    peak_ = sockets_.size();
    refused_ = 0;
}

bool HttpServer::process_and_close_socket(socket_t socket)
{
    if (admit(socket)) {
        if (!openHook_ || openHook_()) {
            serve(socket);
        }
        forget(socket);
    }
    ::close(socket);
    return true;
}

bool HttpServer::admit(socket_t socket)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (isStopping_) {
        return false;
    }
    if (sockets_.size() >= limit_) {
        ++refused_;
        return false;
    }
    sockets_.insert(socket);
    peak_ = std::max(peak_, sockets_.size());
    return true;
}

void HttpServer::serve(socket_t socket)
{
    SocketStream stream(socket);
    bool isClosed = false;
    while (!isClosed && stream.is_readable() && process_request(stream, false, isClosed, nullptr)) {
    }
}

void HttpServer::forget(socket_t socket)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    sockets_.erase(socket);
}

} // namespace sassafrasvane
