#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

/// \file
/// HTTP/1.1 server for one event loop.

namespace sassafrasvane::http
{

namespace detail
{
class ServerConnection;
class ServerState;
} // namespace detail

/// What a client may send, and how long it may take.
struct ServerLimits {
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 262'144;
    /// Longest time from the first byte of a request to the last of its headers, and again to the last of its body.
    Duration headerTimeout = std::chrono::seconds(3);
    /// Time after which a connection without a request is closed.
    Duration idleTimeout = std::chrono::seconds(15);
    /// Connections that are open at the same time; further ones are closed at once.
    std::size_t connections = 2'000;
};

/// One request and the way to answer it.
///
/// The server holds the exchange until it is answered. If nobody answers before the last reference is gone, the client
/// gets 500.
class Exchange
{
public:
    Exchange(std::shared_ptr<detail::ServerConnection> connection, Request request, TimePoint receivedAt);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    const Request &request() const noexcept { return request_; }

    /// When the last byte of the request was read.
    TimePoint receivedAt() const noexcept { return receivedAt_; }

    /// Time from a packet to the client to its acknowledgement, as the operating system measured it; 0 if unknown.
    Duration roundTrip() const noexcept;

    /// True if this is the first request of its connection, so that the client has waited for its opening as well.
    bool isFirstOnConnection() const noexcept;

    /// Sends \p response; the first call counts.
    void respond(Response response);

    /// True once respond() was called.
    bool isAnswered() const noexcept { return isAnswered_; }

    /// True once the client has closed its connection.
    bool isAbandoned() const noexcept { return isAbandoned_; }

    /// Sets what is called if the client closes its connection before the answer.
    void setOnAbandoned(std::function<void()> hook) { onAbandoned_ = std::move(hook); }

private:
    friend class detail::ServerConnection;
    void abandon();

    std::shared_ptr<detail::ServerConnection> connection_;
    Request request_;
    TimePoint receivedAt_;
    std::function<void()> onAbandoned_;
    bool isAnswered_ = false;
    bool isAbandoned_ = false;
};

/// Handles requests; must not block.
using RequestHandler = std::function<void(const std::shared_ptr<Exchange> &exchange)>;

/// Counts since the start, and connections now.
struct ServerCounters {
    std::uint64_t accepted = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t malformedRequests = 0;
    std::size_t openConnections = 0;
};

/// Listens on one address and hands each whole request to a handler, one at a time for each connection.
///
/// A connection is read on while its request is worked on, so that a client that leaves is noticed at once. Requests
/// that cannot be framed safely (two lengths, bad chunks) are answered with 400 and the connection is closed.
///
/// \code
/// Result<std::unique_ptr<Server>> server = Server::Builder(context).address(address).handler(handler).build();
/// \endcode
class Server
{
public:
    class Builder;

    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Replaces the limits; requests being read keep the former ones.
    void setLimits(const ServerLimits &limits);

    /// From now on each response closes its connection.
    void closeAfterResponses();

    /// Closes the connections on which no request is being read or worked on.
    void closeIdle();

    /// Closes the listener; open connections stay.
    void stopAccepting();

    /// Closes connections whose time limits have passed. To be called several times a second.
    void closeExpired(TimePoint now);

    ServerCounters counters() const noexcept;

private:
    explicit Server(std::shared_ptr<detail::ServerState> state);

    std::shared_ptr<detail::ServerState> state_;
};

/// Collects what a Server needs.
class Server::Builder
{
public:
    explicit Builder(boost::asio::io_context &context);

    Builder &address(const Address &address) noexcept;
    Builder &limits(const ServerLimits &limits) noexcept;
    Builder &handler(RequestHandler handler);

    /// \return the listening server, or Errc::Unavailable if the address cannot be bound.
    Result<std::unique_ptr<Server>> build() const;

private:
    boost::asio::io_context &context_;
    Address address_;
    ServerLimits limits_;
    RequestHandler handler_;
};

/// An empty response with \p status.
Response emptyResponse(unsigned status);

/// A response with a body of \p contentType.
Response textResponse(unsigned status, std::string_view contentType, std::string body);

} // namespace sassafrasvane::http
