#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/time.h"
#include "http/message.h"
#include "http/requestmemory.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio
{
class io_context;
}

/// \file
/// HTTP/1.1 server that runs on one event loop.

namespace sassafrasvane::http
{

namespace detail
{
class ServerConnection;
class ServerState;
} // namespace detail

/// Limits on what clients may send and how long they may take.
struct ServerLimits {
    /// Maximum size of the request line and the headers, in bytes; larger requests are answered with 431.
    std::uint32_t headerBytes = 16'384;
    /// Maximum size of the body, in bytes; larger requests are answered with 413.
    std::uint64_t bodyBytes = 262'144;
    /// Maximum time from the first byte of a request to the end of its headers, and again from there to the end of its
    /// body.
    Duration headerTimeout = std::chrono::seconds(3);
    /// Time after which a connection on which no request has begun is closed.
    Duration idleTimeout = std::chrono::seconds(15);
    /// Time after which a connection is closed whose client takes nothing of its response.
    Duration writeTimeout = std::chrono::seconds(15);
    /// Maximum number of open connections. A further one takes the place of one that waits for its client, or is closed
    /// as soon as it is accepted.
    std::size_t connections = 2'000;
    /// Number of open connections up to which the limit that all servers share (RequestMemory) does not apply.
    std::size_t reservedConnections = 0;
};

/// One request, with the means to respond to it.
///
/// The request handler owns the exchange and keeps it until it responds. If the last reference is dropped before that,
/// the client receives status 500.
class Exchange
{
public:
    /// \param lease accounts for the memory of \p request.
    Exchange(std::shared_ptr<detail::ServerConnection> connection,
             Request request,
             RequestLease lease,
             TimePoint receivedAt);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    const Request &request() const noexcept { return held_->request; }

    /// The request itself, without a copy, to be changed and passed on. Its memory stays accounted for until the last
    /// reference is dropped.
    std::shared_ptr<Request> shareRequest() const noexcept { return {held_, &held_->request}; }

    /// Accounts for \p copies copies of the head that exist while the request is passed on.
    /// \return false if there is no memory for them.
    bool reserveHeadCopies(std::size_t copies);

    /// The time at which the last byte of the request was read.
    TimePoint receivedAt() const noexcept { return receivedAt_; }

    /// The smoothed TCP round trip time to the client, measured by the operating system when the connection was
    /// accepted; 0 if unknown.
    Duration roundTrip() const noexcept;

    /// True if this is the first request on its connection: the client has also waited for the connection to open.
    bool isFirstOnConnection() const noexcept;

    /// Sends \p response. Calls after the first one, or after the client has closed the connection, have no effect.
    void respond(Response response);

    /// True once respond() has been called.
    bool isAnswered() const noexcept { return isAnswered_; }

    /// True once the client has closed its connection before the response.
    bool isAbandoned() const noexcept { return isAbandoned_; }

    /// Sets the function that is called if the client closes its connection before the response.
    void setOnAbandoned(std::function<void()> hook) { onAbandoned_ = std::move(hook); }

private:
    friend class detail::ServerConnection;

    /// A request with its reservation.
    struct HeldRequest {
        Request request;
        RequestLease lease;
    };

    void abandon();

    std::shared_ptr<detail::ServerConnection> connection_;
    std::shared_ptr<HeldRequest> held_;
    TimePoint receivedAt_;
    std::function<void()> onAbandoned_;
    bool isAnswered_ = false;
    bool isAbandoned_ = false;
};

/// Handles a request, now or later through the exchange. Runs on the event loop and must not block.
using RequestHandler = std::function<void(const std::shared_ptr<Exchange> &exchange)>;

/// Decides on a request with a body of more than 16 KB that has not arrived yet. \return the response that refuses it,
/// or nothing.
using HeadFilter = std::function<std::optional<Response>(const Request &head)>;

/// The functions that a server calls.
struct ServerHooks {
    RequestHandler handler;
    /// Null if no request is refused from its head.
    HeadFilter filterHead;
    /// The response to a request for which there is no memory. An empty 503 if null.
    std::function<Response()> overloadResponse;
};

/// Event counts since the start of the server, and the current number of open connections.
struct ServerCounters {
    std::uint64_t accepted = 0;
    /// Connections that were closed because ServerLimits::connections was reached.
    std::uint64_t refusedConnections = 0;
    /// Requests that the server rejected itself, with 400, 413 or 431.
    std::uint64_t malformedRequests = 0;
    /// Requests that were refused before their body was read.
    std::uint64_t refusedHeads = 0;
    /// Connections that were closed because a timeout had passed on a request or a response.
    std::uint64_t expiredRequests = 0;
    std::size_t openConnections = 0;
};

/// Listens on one address and passes each complete request to a handler, one at a time per connection.
///
/// The server keeps reading from a connection while its request is being handled, so that a client that disconnects is
/// detected at once. Requests whose framing is ambiguous or invalid (two lengths, malformed chunks) are answered with
/// 400, and the connection is closed. While 16 KB of further requests are buffered, reading
/// pauses, and a client that disconnects is detected only when the response is written.
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

    /// Replaces the limits. A request that is being read or awaited keeps the former size limits; timeouts apply at
    /// once. Open connections over the new maximum stay open.
    void setLimits(const ServerLimits &limits);

    /// Closes each connection after its next response, from now on.
    void closeAfterResponses();

    /// Closes the connections on which no request is being read, handled or answered.
    void closeIdle();

    /// Closes the listener; open connections, and those that wait to be accepted, stay open.
    void stopAccepting();

    /// Closes the connections whose timeout has passed, and accounts for responses that clients do not take. The owner
    /// calls this several times a second.
    void closeExpired(TimePoint now);

    ServerCounters counters() const noexcept;

private:
    explicit Server(std::shared_ptr<detail::ServerState> state);

    std::shared_ptr<detail::ServerState> state_;
};

/// Builds a Server.
class Server::Builder
{
public:
    explicit Builder(boost::asio::io_context &context);

    Builder &address(const Address &address) noexcept;
    Builder &limits(const ServerLimits &limits) noexcept;
    Builder &handler(RequestHandler handler);
    /// The memory and connections that all servers of the process share; unlimited by default.
    Builder &memory(std::shared_ptr<RequestMemory> memory);
    Builder &headFilter(HeadFilter filter);
    Builder &overloadResponse(std::function<Response()> response);

    /// \return the listening server, or Errc::Unavailable if the address cannot be bound.
    Result<std::unique_ptr<Server>> build() const;

private:
    boost::asio::io_context &context_;
    Address address_;
    ServerLimits limits_;
    ServerHooks hooks_;
    std::shared_ptr<RequestMemory> memory_;
};

/// An empty response with \p status.
Response emptyResponse(unsigned status);

/// A response with a body of \p contentType.
Response textResponse(unsigned status, std::string_view contentType, std::string body);

} // namespace sassafrasvane::http
