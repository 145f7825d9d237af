#include "searcherserver.h"

#include "jsonhttp.h"
#include "searchresult.h"

#include <cstdlib>

namespace sassafrasvane
{

namespace
{

constexpr const char *crashPrefix = "crash!";
constexpr std::size_t defaultLimit = 10;

/// The status of an answer that holds no result.
int refusalStatus(RunEnd end) noexcept
{
    switch (end) {
    case RunEnd::Version:
        return 409;
    case RunEnd::Cancelled:
        return 504;
    default:
        return 503;
    }
}

const char *refusalText(RunEnd end) noexcept
{
    switch (end) {
    case RunEnd::Cold:
        return "cold";
    case RunEnd::Draining:
        return "draining";
    case RunEnd::Deadline:
        return "deadline";
    case RunEnd::Version:
        return "version";
    default:
        return "busy";
    }
}

SearcherRequest readRequest(const httplib::Request &http, std::string_view text)
{
    SearcherRequest request;
    request.call = http.get_header_value("X-Call-Id");
    if (http.has_header("X-Deadline-Ms")) {
        const double left = std::strtod(http.get_header_value("X-Deadline-Ms").c_str(), nullptr);
        request.deadline = BootClock::now() + fromMilliseconds(left);
    }
    request.crashes = text.starts_with(crashPrefix);
    return request;
}

void replyWithout(httplib::Response &response, const SearcherEnd &end)
{
    nlohmann::json body{{"incarnation", end.incarnation}};
    if (end.end == RunEnd::Cancelled) {
        body["cancelled"] = true;
    } else {
        body["refused"] = refusalText(end.end);
    }
    reply(response, refusalStatus(end.end), body);
}

nlohmann::json loadJson(const SearcherEnd &end)
{
    return {{"running", end.running}, {"waiting", end.waiting}};
}

nlohmann::json partsJson(const SearcherEnd &end,
                         const std::vector<std::uint32_t> &parts,
                         std::string_view query,
                         std::size_t limit)
{
    nlohmann::json list = nlohmann::json::array();
    for (std::uint32_t id : parts) {
        const StandinPart *part = end.index.find(id);
        nlohmann::json hits = nlohmann::json::array();
        for (const StandinHit &hit : searchResult(end.index.version, part->begin, part->end, query, limit)) {
            hits.push_back({{"key", hit.key}, {"score", hit.score}, {"body", hit.body}});
        }
        list.push_back({{"part", id}, {"hits", std::move(hits)}});
    }
    return list;
}

} // namespace

SearcherServer::SearcherServer(const SearcherSettings &settings, std::uint64_t seed)
    : searcher_(settings, seed), http_(settings.connections)
{
    using httplib::Request;
    using httplib::Response;
    searcher_.setCutHook([this] { http_.closeConnections(); });
    http_.setOpenHook([this] { return searcher_.openConnection(); });
    http_.Post("/search", [this](const Request &request, Response &response) { search(request, response); });
    http_.Post("/run", [this](const Request &request, Response &response) { runOnce(request, response); });
    http_.Post("/cancel", [this](const Request &request, Response &response) {
        withBody(request, response, [&](const nlohmann::json &body) {
            searcher_.cancel(body.at("call").get<std::string>());
            reply(response, 200, nlohmann::json::object());
        });
    });
    http_.Get("/load", [this](const Request &, Response &response) { reply(response, 200, searcher_.load()); });
}

SearcherServer::~SearcherServer()
{
    searcher_.shutdown();
    http_.shutdown();
}

Address SearcherServer::start()
{
    const Address &address = searcher_.settings().address;
    if (address.port == 0) {
        return http_.startAnywhere();
    }
    return http_.start(address) ? address : Address();
}

void SearcherServer::search(const httplib::Request &request, httplib::Response &response)
{
    withBody(request, response, [&](const nlohmann::json &body) {
        const std::string query = body.at("query").get<std::string>();
        SearcherRequest search = readRequest(request, query);
        search.version = body.at("index").get<std::uint64_t>();
        search.parts = body.at("parts").get<std::vector<std::uint32_t>>();
        const std::size_t limit = body.value("limit", defaultLimit);
        const SearcherEnd end = searcher_.run(search, nullptr);
        if (end.end != RunEnd::Ran) {
            return replyWithout(response, end);
        }
        reply(response,
              200,
              {{"index", *search.version},
               {"incarnation", end.incarnation},
               {"parts", partsJson(end, search.parts, query, limit)},
               {"load", loadJson(end)}});
    });
}

void SearcherServer::runOnce(const httplib::Request &request, httplib::Response &response)
{
    withBody(request, response, [&](const nlohmann::json &body) {
        const std::string key = body.at("key").get<std::string>();
        const SearcherRequest run = readRequest(request, key);
        std::uint64_t count = 0;
        const SearcherEnd end = searcher_.run(run, [&](SearcherRecords &records) { count = ++records.runs[key]; });
        if (end.end != RunEnd::Ran) {
            return replyWithout(response, end);
        }
        reply(response,
              200,
              {{"incarnation", end.incarnation},
               {"result", {{"key", key}, {"run", count}, {"request", body.value("request", nlohmann::json())}}},
               {"load", loadJson(end)}});
    });
}

void SearcherServer::control(const nlohmann::json &json)
{
    SearcherFaults faults = searcher_.faults();
    faults.serviceTime = fromMilliseconds(json.value("serviceMs", toMilliseconds(faults.serviceTime)));
    faults.straggleFactor = json.value("straggleFactor", faults.straggleFactor);
    faults.straggleShare = json.value("straggleShare", faults.straggleShare);
    faults.isDraining = json.value("draining", faults.isDraining);
    faults.isSilent = json.value("silent", faults.isSilent);
    faults.isDown = json.value("down", faults.isDown);
    faults.isLying = json.value("lie", faults.isLying);
    searcher_.setFaults(faults);
    if (json.contains("indexes")) {
        searcher_.setIndexes(readIndexes(json.at("indexes")));
    }
    if (json.value("turnCold", false)) {
        searcher_.turnCold();
    }
    if (json.value("restart", false)) {
        searcher_.restart();
    }
    if (faults.isDown) {
        http_.closeConnections();
    }
}

nlohmann::json SearcherServer::records() const
{
    nlohmann::json json = searcher_.records();
    json["connections"] = http_.connections();
    json["connectionsPeak"] = http_.connectionsPeak();
    json["connectionsRefused"] = http_.connectionsRefused();
    return json;
}

void SearcherServer::resetRecords()
{
    searcher_.resetRecords();
    http_.resetPeak();
}

} // namespace sassafrasvane
