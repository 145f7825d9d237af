#include "platformserver.h"

#include "jsonhttp.h"

#include <thread>

namespace sassafrasvane
{

PlatformServer::PlatformServer(std::uint64_t callsPerSecond, std::size_t connections)
    : store_(callsPerSecond), http_(connections)
{
    using httplib::Request;
    using httplib::Response;
    http_.Get(R"(/v1/values/([a-zA-Z0-9_-]+))",
              [this](const Request &request, Response &response) { serveValue(request, response); });
    http_.Put(R"(/control/values/([a-zA-Z0-9_-]+))",
              [this](const Request &request, Response &response) { putValue(request, response); });
    http_.Post("/control/faults", [this](const Request &request, Response &response) { putFaults(request, response); });
    http_.Get("/control/calls", [this](const Request &, Response &response) { serveCalls(response); });
}

void PlatformServer::serveValue(const httplib::Request &request, httplib::Response &response)
{
    const std::string key = request.matches[1];
    const bool isWithinLimit = store_.countCall(request.remote_addr + ":" + std::to_string(request.remote_port));
    const PlatformFaults faults = store_.faults();
    if (faults.delay.count() > 0) {
        std::this_thread::sleep_for(faults.delay);
    }
    if (faults.isDown) {
        return reply(response, 503, {{"error", "down"}});
    }
    if (!isWithinLimit) {
        return reply(response, 429, {{"error", "too many calls"}});
    }
    if (!store_.find(key)) {
        return reply(response, 404, {{"error", "no such value"}});
    }
    std::optional<StoredValue> found = store_.find(key);
    if (request.has_param("after")) {
        const std::uint64_t after = std::strtoull(request.get_param_value("after").c_str(), nullptr, 10);
        const long waitMs = std::strtol(request.get_param_value("waitMs").c_str(), nullptr, 10);
        found = store_.waitFor(key, after, std::chrono::milliseconds(waitMs));
    }
    if (store_.faults().isDown) {
        return reply(response, 503, {{"error", "down"}});
    }
    if (!found) {
        response.status = 304;
        return;
    }
    reply(response, 200, {{"version", found->version}, {"value", found->value}});
}

void PlatformServer::putValue(const httplib::Request &request, httplib::Response &response)
{
    withBody(request, response, [&](const nlohmann::json &body) {
        std::optional<std::uint64_t> version;
        if (request.has_param("version")) {
            version = std::stoull(request.get_param_value("version"));
        }
        reply(response, 200, {{"version", store_.put(request.matches[1], body, version)}});
    });
}

void PlatformServer::putFaults(const httplib::Request &request, httplib::Response &response)
{
    withBody(request, response, [&](const nlohmann::json &body) {
        PlatformFaults faults = store_.faults();
        faults.isDown = body.value("down", faults.isDown);
        faults.delay = fromMilliseconds(body.value("slowMs", toMilliseconds(faults.delay)));
        faults.isStale = body.value("stale", faults.isStale);
        store_.setFaults(faults);
        reply(response, 200, nlohmann::json::object());
    });
}

void PlatformServer::serveCalls(httplib::Response &response) const
{
    const CallCounts counts = store_.counts();
    reply(response,
          200,
          {{"total", counts.total},
           {"refused", counts.refused},
           {"perSecondPeak", counts.perSecondPeak},
           {"byPeer", counts.byPeer}});
}

} // namespace sassafrasvane
