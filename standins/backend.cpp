#include "backend.h"

#include "jsonhttp.h"

namespace sassafrasvane
{

namespace
{

constexpr std::size_t controlConnections = 32;

} // namespace

StandinBackEnd::StandinBackEnd(const StandinFile &file, std::uint64_t seed)
    : controlAddress_(file.control), control_(controlConnections)
{
    using httplib::Request;
    using httplib::Response;
    for (const SearcherSettings &settings : file.searchers) {
        searchers_.emplace(settings.id, std::make_unique<SearcherServer>(settings, seed));
    }
    control_.Post(R"(/control/searchers/(\d+))", [this](const Request &request, Response &response) {
        withBody(request, response, [&](const nlohmann::json &body) {
            const auto found = searchers_.find(static_cast<std::uint32_t>(std::stoul(request.matches[1])));
            if (found == searchers_.end()) {
                return reply(response, 404, {{"error", "no such searcher"}});
            }
            found->second->control(body);
            reply(response, 200, nlohmann::json::object());
        });
    });
    control_.Get("/control/records", [this](const Request &, Response &response) { serveRecords(response); });
    control_.Post("/control/reset", [this](const Request &, Response &response) {
        for (const auto &[id, searcher] : searchers_) {
            searcher->resetRecords();
        }
        reply(response, 200, nlohmann::json::object());
    });
}

Result<Address> StandinBackEnd::start()
{
    for (const auto &[id, searcher] : searchers_) {
        const Address address = searcher->start();
        if (address.port == 0) {
            return Error{Errc::Unavailable, Step::Settings, searcher->searcher().settings().address.toString()};
        }
        addresses_[id] = address;
    }
    if (controlAddress_.port == 0) {
        return control_.startAnywhere();
    }
    if (!control_.start(controlAddress_)) {
        return Error{Errc::Unavailable, Step::Settings, controlAddress_.toString()};
    }
    return controlAddress_;
}

Address StandinBackEnd::addressOf(std::uint32_t id) const
{
    const auto found = addresses_.find(id);
    return found == addresses_.end() ? Address() : found->second;
}

void StandinBackEnd::serveRecords(httplib::Response &response) const
{
    nlohmann::json searchers = nlohmann::json::object();
    std::map<std::string, std::uint64_t> runs;
    std::uint64_t arrived = 0;
    for (const auto &[id, searcher] : searchers_) {
        nlohmann::json records = searcher->records();
        arrived += records.at("searchesArrived").get<std::uint64_t>();
        for (const auto &[key, count] : records.at("runs").items()) {
            runs[key] += count.get<std::uint64_t>();
        }
        searchers[std::to_string(id)] = std::move(records);
    }
    reply(response, 200, {{"searchesArrived", arrived}, {"runs", runs}, {"searchers", std::move(searchers)}});
}

} // namespace sassafrasvane
