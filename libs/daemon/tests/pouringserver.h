#pragma once

#include "base/address.h"

#include <atomic>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sassafrasvane
{

/// Bytes that a PouringServer answers with: the first ones, and those that follow again and again.
struct EndlessAnswer {
    std::string first;
    std::string again;
    std::chrono::milliseconds pause{0};
};

/// A server that answers each request with bytes without end, until the client closes.
class PouringServer
{
public:
    /// Bytes after which a connection ends in any case.
    static constexpr std::size_t maxBytes() noexcept { return std::size_t{48} * 1024 * 1024; }

    explicit PouringServer(EndlessAnswer answer) : answer_(std::move(answer))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        const bool isListening = ::bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
            && ::listen(listener_, SOMAXCONN) == 0
            && ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size) == 0;
        if (!isListening) {
            throw std::runtime_error("no listener");
        }
        address_ = {INADDR_LOOPBACK, ntohs(address.sin_port)};
        acceptor_ = std::thread([this] { accept(); });
    }

    ~PouringServer()
    {
        isStopped_ = true;
        acceptor_.join();
        for (std::thread &server : servers_) {
            server.join();
        }
        ::close(listener_);
    }

    PouringServer(const PouringServer &) = delete;
    PouringServer &operator=(const PouringServer &) = delete;

    const Address &address() const noexcept { return address_; }

    /// Bytes sent on all connections.
    std::size_t sent() const noexcept { return sent_; }

    /// Connections on which it still sends.
    std::size_t open() const noexcept { return open_; }

private:
    void accept()
    {
        while (!isStopped_) {
            pollfd item{listener_, POLLIN, 0};
            if (::poll(&item, 1, 20) > 0) {
                const int connection = ::accept(listener_, nullptr, nullptr);
                ++open_;
                servers_.emplace_back([this, connection] { serve(connection); });
            }
        }
    }

    void serve(int connection)
    {
        pollfd item{connection, POLLIN, 0};
        while (!isStopped_ && ::poll(&item, 1, 20) == 0) {
        }
        std::size_t sent = 0;
        std::string_view next = answer_.first;
        while (!isStopped_ && sent < maxBytes()) {
            const ssize_t size = ::send(connection, next.data(), next.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size < 0 && errno != EAGAIN) {
                break;
            }
            sent += size > 0 ? static_cast<std::size_t>(size) : 0;
            sent_ += size > 0 ? static_cast<std::size_t>(size) : 0;
            next.remove_prefix(size > 0 ? static_cast<std::size_t>(size) : 0);
            next = next.empty() ? std::string_view(answer_.again) : next;
            std::this_thread::sleep_for(size < 0 ? std::chrono::milliseconds(1) : answer_.pause);
        }
        ::close(connection);
        --open_;
    }

    EndlessAnswer answer_;
    int listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    Address address_;
    std::atomic<bool> isStopped_{false};
    std::atomic<std::size_t> sent_{0};
    std::atomic<std::size_t> open_{0};
    std::vector<std::thread> servers_;
    std::thread acceptor_;
};

} // namespace sassafrasvane
