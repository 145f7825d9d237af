#pragma once

#include "base/address.h"
#include "base/error.h"
#include "control/messages.h"

#include <functional>
#include <memory>
#include <string>

/// \file
/// The daemon's side of the operators' protocol.

namespace sassafrasvane
{

/// What a daemon answers with. All must be set; each is called on the server's own thread and must not block for long.
struct ControlHandlers {
    std::function<DaemonStatus()> status;
    std::function<WhyReply(const WhySubject &subject)> why;
    std::function<EntriesReply()> entries;
    /// Begins the planned stop, or tells how far it is. Called only for holders of the operators' key.
    std::function<Result<DrainReply>()> drain;
    /// The metrics in the Prometheus text format.
    std::function<std::string()> metrics;
};

/// Serves JSON-RPC 2.0 over HTTP (POST /) and the metrics (GET /metrics) on the operators' address.
///
/// One thread serves all connections. Their number, the size of headers and bodies and the time that a connection may
/// be idle are bounded, so that a port scan or slow bytes cannot grow the daemon.
///
/// \code
/// std::unique_ptr<ControlServer> server
///     =
///     ControlServer::Builder().address(settings.operators).key(settings.operatorKey).handlers(handlers).build().value();
/// \endcode
class ControlServer
{
public:
    class Builder;
    /// Largest body of a request, in bytes.
    static constexpr std::size_t maxRequestBytes = 16'384;
    /// Memory for the headers of one connection, in bytes.
    static constexpr std::size_t maxHeaderBytes = 16'384;
    /// Connections at the same time.
    static constexpr unsigned maxConnections = 64;
    /// Time after which an idle connection is closed, in seconds.
    static constexpr unsigned idleSeconds = 5;

    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;
    /// Closes the port and ends the thread.
    ~ControlServer();

    /// Where the server listens; names the port that was chosen if port 0 was asked for.
    Address address() const noexcept;

private:
    class Impl;
    explicit ControlServer(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

/// Collects what a ControlServer needs.
class ControlServer::Builder
{
public:
    /// Where to listen; port 0 chooses a free one.
    Builder &address(const Address &address) noexcept;

    /// The key that orders such as drain must present.
    Builder &key(std::string key);

    /// What to answer with.
    Builder &handlers(ControlHandlers handlers);

    /// \return the server, already listening; Errc::Internal if a handler or the key is not set, Errc::Unavailable if
    /// the address cannot be bound.
    Result<std::unique_ptr<ControlServer>> build() const;

private:
    Address address_;
    std::string key_;
    ControlHandlers handlers_;
};

} // namespace sassafrasvane
