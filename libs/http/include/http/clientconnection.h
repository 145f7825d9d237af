#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/time.h"
#include "http/responsereader.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio
{
class io_context;
}

/// \file
/// One HTTP/1.1 client connection to a server, driven by the event loop.

namespace sassafrasvane::http
{

/// The outcome of a call: a response, or the reason why there is none.
struct CallResult {
    /// The complete response; empty if the call failed.
    std::optional<Response> response;
    /// The memory that the response uses. The caller keeps it for as long as it keeps the body.
    MemoryLease lease;
    /// Errc::ConnectionLost or Errc::BadMessage; meaningful only if there is no response.
    Errc failure = Errc::ConnectionLost;
    /// False only if no byte of the request can have reached the server.
    bool mayHaveArrived = true;
    /// True if the connection can carry another call.
    bool isReusable = false;
};

/// A connection that carries one call at a time. Not thread-safe: it belongs to the thread of its event loop.
///
/// The connection keeps reading while idle, so that a close by the server is detected at once. Bytes after a response,
/// or a response that arrives before the request is fully written, make the connection unusable for further calls. A
/// response that the filter rejects belongs to an earlier call: it is dropped, and the connection waits for the next.
///
/// \code
/// std::shared_ptr<ClientConnection> connection = ClientConnection::create(context, address, memory);
/// connection->open([](const std::error_code &error) { ... });
/// connection->call(request, bodyLimit, filter, [](CallResult result) { ... });
/// \endcode
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using OpenHandler = std::function<void(const std::error_code &error)>;
    using CallHandler = std::function<void(CallResult result)>;

    /// \param memory limits the total size of the responses of all connections that share it; must outlive them and
    /// their results.
    static std::shared_ptr<ClientConnection> create(boost::asio::io_context &context,
                                                    const Address &server,
                                                    ResponseMemory &memory);

    virtual ~ClientConnection() = default;

    /// Connects to the server. \p handler is called exactly once, or never if close() is called first.
    virtual void open(OpenHandler handler) = 0;

    /// Sends \p request. \p handler is called exactly once, or never if close() is called first.
    /// \param bodyLimit maximum size of the response body, in bytes.
    /// \param filter selects the response that belongs to the call; if null, any response is accepted.
    /// \param body the body to send in place of that of \p request, which names its length; null if there is none.
    virtual void call(Request request,
                      std::shared_ptr<const std::string> body,
                      std::uint64_t bodyLimit,
                      ResponseFilter filter,
                      CallHandler handler)
        = 0;

    void call(Request request, std::uint64_t bodyLimit, ResponseFilter filter, CallHandler handler)
    {
        call(std::move(request), nullptr, bodyLimit, std::move(filter), std::move(handler));
    }

    /// Sends \p request without a filter; only the available memory limits the response body.
    void call(Request request, CallHandler handler)
    {
        call(std::move(request), std::numeric_limits<std::uint64_t>::max(), nullptr, std::move(handler));
    }

    /// Sets the function that is called when the connection is lost while idle.
    virtual void setOnLost(std::function<void()> hook) = 0;

    /// Closes the connection immediately and drops all handlers without calling them.
    virtual void close() = 0;

    /// True while the connection is open.
    virtual bool isOpen() const noexcept = 0;

    /// True if the connection can carry a call: it is open, and the server has neither closed it nor sent bytes that
    /// are still unread. A call on a connection that the server has closed would fail as if the request had reached the
    /// server.
    virtual bool isUsable() noexcept = 0;
};

} // namespace sassafrasvane::http
