#pragma once

#include "httpserver.h"
#include "valuestore.h"

#include <cstddef>
#include <cstdint>

/// \file
/// The HTTP face of the platform's stand-in.

namespace sassafrasvane
{

/// Serves a ValueStore under /v1/values and its control under /control.
class PlatformServer
{
public:
    /// \param callsPerSecond limit of calls under /v1. \param connections most connections at a time.
    PlatformServer(std::uint64_t callsPerSecond, std::size_t connections);

    /// The listener, to be started by the caller.
    HttpServer &http() noexcept { return http_; }

private:
    void serveValue(const httplib::Request &request, httplib::Response &response);
    void putValue(const httplib::Request &request, httplib::Response &response);
    void putFaults(const httplib::Request &request, httplib::Response &response);
    void serveCalls(httplib::Response &response) const;

    ValueStore store_;
    HttpServer http_;
};

} // namespace sassafrasvane
