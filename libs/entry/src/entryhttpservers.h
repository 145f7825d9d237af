#pragma once

#include "http/server.h"
#include "routing/configuration.h"
#include "settings/entrysettings.h"

#include <functional>
#include <memory>
#include <vector>

/// \file
/// The listeners of an entry process.

namespace sassafrasvane::detail
{

/// The request handler of each listener.
struct EntryHandlers {
    http::RequestHandler callers;
    http::RequestHandler readiness;
    http::RequestHandler directory;
    http::RequestHandler control;
    http::RequestHandler metrics;
    /// Refuses a caller's request before its body is read.
    http::HeadFilter filterCallersHead;
    /// The response to a request for which there is no memory.
    std::function<http::Response()> overloadResponse;
};

/// Owns the HTTP servers of an entry process, which share one limit of memory and connections.
class EntryHttpServers
{
public:
    /// Opens all listeners in \p settings. \return the error of the first one that cannot be opened.
    Result<void> open(boost::asio::io_context &context, const EntrySettings &settings, const EntryHandlers &handlers);

    /// The server that takes callers' requests; only after open().
    http::Server &callers() { return *servers_.front(); }

    /// Sets the size and time limits for callers' requests.
    void setCallerLimits(const CallerLimits &limits);

    /// Closes connections whose timeouts have expired. Must be called several times a second.
    void closeExpired(TimePoint now);

    /// The sums of all listeners.
    http::ServerCounters counters() const;

    /// What the requests of all listeners hold; only after open().
    const http::RequestMemory &requestMemory() const { return *memory_; }

private:
    http::ServerLimits callerServerLimits(const CallerLimits &limits) const;
    http::ServerLimits otherServerLimits() const;

    std::shared_ptr<http::RequestMemory> memory_;
    /// The first server is the callers' server.
    std::vector<std::unique_ptr<http::Server>> servers_;
};

} // namespace sassafrasvane::detail
