#include "entryhttpservers.h"

#include <algorithm>

namespace sassafrasvane::detail
{

namespace
{

/// File descriptors reserved for connections to searchers and peers and for files.
constexpr std::uint64_t reservedDescriptors = 1'000;
/// Connections that a listener accepts even if few file descriptors are left.
constexpr std::uint64_t minConnections = 200;

http::ServerLimits serverLimits(const CallerLimits &limits, std::uint64_t fileDescriptors)
{
    http::ServerLimits server;
    server.headerBytes = limits.headerBytes;
    server.bodyBytes = limits.bodyBytes;
    server.headerTimeout = limits.headerTimeout;
    server.idleTimeout = limits.idleTimeout;
    const std::uint64_t free = fileDescriptors - std::min(fileDescriptors, reservedDescriptors);
    server.connections = std::max(minConnections, free);
    return server;
}

} // namespace

Result<void> EntryHttpServers::open(boost::asio::io_context &context,
                                    const EntrySettings &settings,
                                    const EntryHandlers &handlers)
{
    struct Listener {
        Address address;
        const http::RequestHandler &handler;
    };
    fileDescriptors_ = settings.fileDescriptors;
    std::vector<Listener> listeners{{settings.listeners.callers, handlers.callers},
                                    {settings.listeners.readiness, handlers.readiness},
                                    {settings.listeners.directory, handlers.directory},
                                    {settings.listeners.control, handlers.control}};
    if (settings.metricsPort != 0) {
        listeners.push_back({Address{settings.listeners.control.ip, settings.metricsPort}, handlers.metrics});
    }
    for (const Listener &listener : listeners) {
        Result<std::unique_ptr<http::Server>> server = http::Server::Builder(context)
                                                           .address(listener.address)
                                                           .limits(serverLimits(CallerLimits(), fileDescriptors_))
                                                           .handler(listener.handler)
                                                           .build();
        if (server.has_error()) {
            return server.error();
        }
        servers_.push_back(std::move(server.value()));
    }
    return boost::outcome_v2::success();
}

void EntryHttpServers::setCallerLimits(const CallerLimits &limits)
{
    callers().setLimits(serverLimits(limits, fileDescriptors_));
}

void EntryHttpServers::closeExpired(TimePoint now)
{
    for (const std::unique_ptr<http::Server> &server : servers_) {
        server->closeExpired(now);
    }
}

} // namespace sassafrasvane::detail
