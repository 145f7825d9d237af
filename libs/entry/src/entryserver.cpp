#include "entry/entryserver.h"

#include "entry/retryadvice.h"
#include "linebudget.h"
#include "refusal.h"
#include "requesttask.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

constexpr unsigned badRequest = 400;
constexpr unsigned notFound = 404;

} // namespace

EntryServer::EntryServer(boost::asio::io_context &context,
                         const EntryProtocol &protocol,
                         SearcherPool &pool,
                         Dispatcher &dispatcher,
                         CrashWatch &crashes,
                         PublishedState &state,
                         EventLog &log,
                         std::uint64_t seed)
    : protocol_(protocol)
    , pool_(pool)
    , state_(state)
    , log_(log)
    , random_(seed)
    , requestContext_(new detail::RequestContext{context,
                                                 protocol,
                                                 pool,
                                                 dispatcher,
                                                 crashes,
                                                 waitingCalls_,
                                                 waitingRequests_,
                                                 log,
                                                 counters_,
                                                 random_,
                                                 {}})
    , refusalLines_(std::make_unique<detail::LineBudget>())
{
    requestContext_->release = [this](const detail::RequestTask *request) { requests_.erase(request); };
    dispatcher.setOnSearcherFree([this](const std::string &backend) { onFree(backend); });
}

EntryServer::~EntryServer() = default;

// Requests in progress take precedence over waiting ones, because they already occupy searchers.
void EntryServer::onFree(const std::string &backend)
{
    const TimePoint now = BootClock::now();
    waitingCalls_.onSearcherFree(now, backend);
    waitingRequests_.onTick(now);
}

std::optional<EntryServer::Refusal> EntryServer::refusalOfHead(const http::Request &head,
                                                               const RequestMetadata &metadata,
                                                               const RouteTable *routes)
{
    if (routes == nullptr) {
        ++counters_.unconfigured;
        return Refusal{retryLaterResponse(metadata), "no configuration yet"};
    }
    if (routes->match(http::headerOf(head, "Host"), http::fromView(head.target())) == nullptr) {
        ++counters_.unrouted;
        return Refusal{http::emptyResponse(notFound), "no route"};
    }
    if (metadata.requestId.empty()) {
        ++counters_.malformed;
        return Refusal{http::emptyResponse(badRequest), "no request id"};
    }
    return std::nullopt;
}

std::optional<http::Response> EntryServer::refuseHead(const http::Request &head)
{
    const RequestMetadata metadata = protocol_.readRequestMetadata(head);
    std::optional<Refusal> refusal = refusalOfHead(head, metadata, state_.routes().get());
    if (!refusal) {
        return std::nullopt;
    }
    logRefusal(head, metadata, refusal->reason, refusal->response.result_int());
    return std::move(refusal->response);
}

http::Response EntryServer::overloadResponse()
{
    return retryLaterResponse(RequestMetadata());
}

void EntryServer::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    const http::Request &request = exchange->request();
    RequestMetadata metadata = protocol_.readRequestMetadata(request);
    const std::shared_ptr<const RouteTable> routes = state_.routes();
    if (std::optional<Refusal> refusal = refusalOfHead(request, metadata, routes.get())) {
        refuse(exchange, metadata, std::move(*refusal));
        return;
    }
    const RequestRoute *route = routes->match(http::headerOf(request, "Host"), http::fromView(request.target()));
    if (lastAnswerAt_ && detail::RequestTask::deadlineOf(*exchange, metadata, *route) > *lastAnswerAt_) {
        ++counters_.stopping;
        refuse(exchange, metadata, {detail::notRunResponse(Duration{0}), "process is stopping"});
        return;
    }
    const Fingerprint fingerprint = fingerprintOf(request);
    if (requestContext_->crashes.isBarred(BootClock::now(), fingerprint)) {
        ++counters_.barred;
        refuse(exchange, metadata, {detail::notRunResponse(CrashBar::entryLifetime()), "crashes searchers"});
        return;
    }
    if (requests_.size() >= maxOpenRequests()) {
        ++counters_.overloaded;
        refuse(exchange, metadata, {retryLaterResponse(metadata), "too many requests"});
        return;
    }
    if (!exchange->reserveHeadCopies(route->isGathered() ? route->shards.size() : 1)) {
        ++counters_.overloaded;
        refuse(exchange, metadata, {retryLaterResponse(metadata), "no memory for its calls"});
        return;
    }
    const std::shared_ptr<detail::RequestTask> task = std::make_shared<detail::RequestTask>(*requestContext_,
                                                                                            exchange,
                                                                                            std::move(metadata),
                                                                                            fingerprint,
                                                                                            routes,
                                                                                            *route,
                                                                                            backendsOf(*route),
                                                                                            callTimesOf(*route));
    requests_.emplace(task.get(), task);
    task->start();
}

void EntryServer::endRequests()
{
    std::vector<std::shared_ptr<detail::RequestTask>> open;
    open.reserve(requests_.size());
    for (const auto &[key, request] : requests_) {
        open.push_back(request);
    }
    for (const std::shared_ptr<detail::RequestTask> &request : open) {
        request->end();
    }
}

void EntryServer::refuse(const std::shared_ptr<http::Exchange> &exchange,
                         const RequestMetadata &metadata,
                         Refusal refusal)
{
    const unsigned status = refusal.response.result_int();
    exchange->respond(std::move(refusal.response));
    logRefusal(exchange->request(), metadata, refusal.reason, status);
}

void EntryServer::logRefusal(const http::Request &request,
                             const RequestMetadata &metadata,
                             const char *reason,
                             unsigned status)
{
    if (!refusalLines_->admit(BootClock::now())) {
        return;
    }
    log_.line(EventRank::Important, "request_refused")
        .text("request", metadata.requestId)
        .text("host", http::headerOf(request, "Host"))
        .text("target", http::fromView(request.target()))
        .text("reason", reason)
        .count("status", status)
        .count("open_requests", requests_.size())
        .count("not_logged", refusalLines_->takeOmitted())
        .count("configuration", state_.routes() ? state_.routes()->version() : 0);
}

http::Response EntryServer::retryLaterResponse(const RequestMetadata &metadata)
{
    return detail::notRunResponse(retryAfter({outageDuration(), metadata.timeout}, random_));
}

// Without a configuration, no request has been served since the start.
Duration EntryServer::outageDuration() const
{
    return state_.routes() ? Duration{0} : BootClock::now() - startedAt_;
}

std::vector<BackendPool *> EntryServer::backendsOf(const RequestRoute &route)
{
    std::vector<BackendPool *> backends;
    if (route.isGathered()) {
        for (const std::string &shard : route.shards) {
            backends.push_back(&pool_.backend(shard));
        }
    } else {
        backends.push_back(&pool_.backend(route.split[splits_.next(route)].backend));
    }
    return backends;
}

CallTimes &EntryServer::callTimesOf(const RequestRoute &route)
{
    return callTimes_.try_emplace(route.name, route.latencyTarget).first->second;
}

void EntryServer::onConfiguration(const RouteTable &routes)
{
    splits_.keepOnly(routes.configuration());
}

void EntryServer::onTick(TimePoint now)
{
    waitingCalls_.onTick(now);
    waitingRequests_.onTick(now);
}

} // namespace sassafrasvane
