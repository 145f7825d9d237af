#pragma once

#include "http/server.h"
#include "routing/configuration.h"
#include "settings/entrysettings.h"

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
};

/// Owns the HTTP servers of an entry process.
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

private:
    std::uint64_t fileDescriptors_ = 0;
    /// The first server is the callers' server.
    std::vector<std::unique_ptr<http::Server>> servers_;
};

} // namespace sassafrasvane::detail
