#include "entryhttpservers.h"

#include <algorithm>

namespace sassafrasvane::detail
{

namespace
{

/// File descriptors reserved for connections to searchers, the store and peers and for files. Half of all descriptors
/// if these are few.
constexpr std::uint64_t reservedDescriptors = 1'000;
/// Share of the VM's memory for requests: with the shares for searchers' answers and the feed, half of the memory
/// is left for the process itself, its connections and the system.
constexpr double requestMemoryShare = 0.2;
/// Share of the VM's memory for the connections themselves.
constexpr double connectionMemoryShare = 0.15;
/// Memory of a connection without a request, in the process and in the system.
constexpr double connectionBytes = 10'240;
/// Connections that each listener accepts whatever the others have.
constexpr std::size_t reservedConnections = 8;
/// All connections are divided by this for what one of the listeners other than the callers' may have.
constexpr std::size_t otherListenersDivisor = 2;

http::RequestMemoryLimits memoryLimits(const EntrySettings &settings)
{
    constexpr double bytesPerMb = 1'048'576;
    const double memory = static_cast<double>(settings.memoryMb) * bytesPerMb;
    const std::uint64_t reserved = std::min(reservedDescriptors, settings.fileDescriptors / 2);
    http::RequestMemoryLimits limits;
    limits.bytes = static_cast<std::size_t>(memory * requestMemoryShare);
    limits.connections
        = std::min<std::size_t>(settings.fileDescriptors - reserved,
                                static_cast<std::size_t>(memory * connectionMemoryShare / connectionBytes));
    return limits;
}

http::ServerLimits serverLimits(const CallerLimits &limits, std::size_t connections)
{
    http::ServerLimits server;
    server.headerBytes = limits.headerBytes;
    server.bodyBytes = limits.bodyBytes;
    server.headerTimeout = limits.headerTimeout;
    server.idleTimeout = limits.idleTimeout;
    server.connections = connections;
    server.reservedConnections = reservedConnections;
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
    memory_ = std::make_shared<http::RequestMemory>(memoryLimits(settings));
    std::vector<Listener> listeners{{settings.listeners.callers, handlers.callers},
                                    {settings.listeners.readiness, handlers.readiness},
                                    {settings.listeners.directory, handlers.directory},
                                    {settings.listeners.control, handlers.control}};
    if (settings.metricsPort != 0) {
        listeners.push_back({Address{settings.listeners.control.ip, settings.metricsPort}, handlers.metrics});
    }
    for (const Listener &listener : listeners) {
        http::Server::Builder builder(context);
        builder.address(listener.address)
            .handler(listener.handler)
            .memory(memory_)
            .overloadResponse(handlers.overloadResponse);
        if (servers_.empty()) {
            builder.limits(callerServerLimits(CallerLimits())).headFilter(handlers.filterCallersHead);
        } else {
            builder.limits(otherServerLimits());
        }
        Result<std::unique_ptr<http::Server>> server = builder.build();
        if (server.has_error()) {
            return server.error();
        }
        servers_.push_back(std::move(server.value()));
    }
    return boost::outcome_v2::success();
}

http::ServerLimits EntryHttpServers::callerServerLimits(const CallerLimits &limits) const
{
    return serverLimits(limits, memory_->limits().connections);
}

// Only callers' requests have bodies.
http::ServerLimits EntryHttpServers::otherServerLimits() const
{
    http::ServerLimits limits = serverLimits(
        CallerLimits(), std::max(reservedConnections, memory_->limits().connections / otherListenersDivisor));
    limits.bodyBytes = 0;
    return limits;
}

void EntryHttpServers::setCallerLimits(const CallerLimits &limits)
{
    callers().setLimits(callerServerLimits(limits));
}

void EntryHttpServers::closeExpired(TimePoint now)
{
    for (const std::unique_ptr<http::Server> &server : servers_) {
        server->closeExpired(now);
    }
}

http::ServerCounters EntryHttpServers::counters() const
{
    http::ServerCounters sum;
    for (const std::unique_ptr<http::Server> &server : servers_) {
        const http::ServerCounters counters = server->counters();
        sum.accepted += counters.accepted;
        sum.refusedConnections += counters.refusedConnections;
        sum.malformedRequests += counters.malformedRequests;
        sum.refusedHeads += counters.refusedHeads;
        sum.expiredRequests += counters.expiredRequests;
        sum.openConnections += counters.openConnections;
    }
    return sum;
}

} // namespace sassafrasvane::detail
