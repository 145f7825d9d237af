#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/time.h"
#include "http/responsereader.h"

#include <functional>
#include <memory>
#include <optional>

namespace boost::asio
{
class io_context;
}

/// \file
/// One HTTP/1.1 connection to a server, on the event loop.

namespace sassafrasvane::http
{

/// What became of a call.
struct CallResult {
    /// The whole response; nothing if the connection failed first.
    std::optional<Response> response;
    /// The memory that the response takes; to be kept as long as its body.
    MemoryLease lease;
    /// Set if there is no response: Errc::ConnectionLost or Errc::BadMessage.
    Errc failure = Errc::ConnectionLost;
    /// True if bytes of the request may have reached the server.
    bool mayHaveArrived = true;
    /// True if the connection may take another call.
    bool isReusable = false;
};

/// A connection that carries one call at a time.
///
/// The connection is read on while idle, so that a server's close is noticed at once. Bytes after a response, or a
/// response before the request was written, make the connection unusable for further calls. A response that the
/// filter does not accept belongs to an earlier call: it is dropped, and the next one is awaited.
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

    /// \param memory bounds the responses of all connections that share it; must outlive them and their results.
    static std::shared_ptr<ClientConnection> create(boost::asio::io_context &context,
                                                    const Address &server,
                                                    ResponseMemory &memory);

    virtual ~ClientConnection() = default;

    /// Opens the connection; \p handler is called once unless close() comes first.
    virtual void open(OpenHandler handler) = 0;

    /// Sends \p request; \p handler is called once unless close() comes first.
    /// \param bodyLimit most bytes of body of its response. \param filter may be null: then any response will do.
    virtual void call(Request request, std::uint64_t bodyLimit, ResponseFilter filter, CallHandler handler) = 0;

    /// Sends \p request, whose response may have any size that the memory grants, within a usual limit.
    void call(Request request, CallHandler handler)
    {
        call(std::move(request), ResponseConstraints().maxBodyBytes, nullptr, std::move(handler));
    }

    /// Sets what is called when the connection is lost while idle.
    virtual void setOnLost(std::function<void()> hook) = 0;

    /// Closes the connection at once and drops all handlers.
    virtual void close() = 0;

    /// True while the connection is open.
    virtual bool isOpen() const noexcept = 0;

    /// True if the connection may carry a call: it is open, and the server has neither closed it nor sent anything that
    /// has not been read yet. A call on a connection that has ended would look as if it had reached the server.
    virtual bool isUsable() noexcept = 0;
};

} // namespace sassafrasvane::http
