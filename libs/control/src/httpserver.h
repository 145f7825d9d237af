#pragma once

#include "base/address.h"
#include "base/error.h"

#include <functional>
#include <memory>
#include <string>

/// \file
/// A small HTTP server with hard bounds, by libmicrohttpd.

namespace sassafrasvane::detail
{

/// A complete request.
struct HttpRequest {
    std::string method;
    std::string path;
    std::string body;
};

/// The reply to a request.
struct HttpReply {
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// Bounds of an HttpServer.
struct HttpLimits {
    std::size_t bodyBytes = 0;
    std::size_t headerBytes = 0;
    unsigned connections = 0;
    unsigned idleSeconds = 0;
};

/// Answers each request by a hook, on one thread for all connections.
class HttpServer
{
public:
    using Handle = std::function<HttpReply(const HttpRequest &request)>;

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    /// Starts to listen on \p address; port 0 chooses a free one. \return Errc::Unavailable if it cannot be bound.
    static Result<std::unique_ptr<HttpServer>> start(const Address &address, const HttpLimits &limits, Handle handle);

    const Address &address() const noexcept;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace sassafrasvane::detail
