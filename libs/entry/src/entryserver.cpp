#include "entry/entryserver.h"

#include "entry/retryadvice.h"
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
    , shared_(new detail::RequestContext{context,
                                         protocol,
                                         pool,
                                         dispatcher,
                                         crashes,
                                         waiting_,
                                         entrance_,
                                         log,
                                         counters_,
                                         random_,
                                         {}})
{
    shared_->release = [this](const detail::RequestTask *request) { requests_.erase(request); };
    dispatcher.setOnSearcherFree([this](const std::string &backend) { onFree(backend); });
}

EntryServer::~EntryServer() = default;

// Requests that have started go before those that have not: they hold searchers already.
void EntryServer::onFree(const std::string &backend)
{
    const TimePoint now = BootClock::now();
    waiting_.onSearcherFree(now, backend);
    entrance_.onTick(now);
}

void EntryServer::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    CallerTerms terms = protocol_.readCallerTerms(exchange->request());
    const std::shared_ptr<const RouteTable> routes = state_.routes();
    if (!routes) {
        ++counters_.unconfigured;
        refuse(exchange, terms, notRun(terms), "no configuration yet");
        return;
    }
    const http::Request &request = exchange->request();
    const std::string_view host = http::headerOf(request, "Host");
    const RequestRoute *route = routes->match(host, http::fromView(request.target()));
    if (route == nullptr) {
        ++counters_.unrouted;
        refuse(exchange, terms, http::emptyResponse(notFound), "no route");
        return;
    }
    if (terms.requestId.empty()) {
        ++counters_.malformed;
        refuse(exchange, terms, http::emptyResponse(badRequest), "no request id");
        return;
    }
    const Fingerprint fingerprint = fingerprintOf(request);
    if (shared_->crashes.isBarred(BootClock::now(), fingerprint)) {
        ++counters_.barred;
        refuse(exchange, terms, detail::notRunResponse(CrashBar::entryLifetime()), "crashes searchers");
        return;
    }
    if (requests_.size() >= mostRequests()) {
        ++counters_.overloaded;
        refuse(exchange, terms, notRun(terms), "too many requests");
        return;
    }
    const std::shared_ptr<detail::RequestTask> task = std::make_shared<detail::RequestTask>(
        *shared_, exchange, std::move(terms), fingerprint, routes, *route, backendsOf(*route), timesOf(*route));
    requests_.emplace(task.get(), task);
    task->start();
}

void EntryServer::refuse(const std::shared_ptr<http::Exchange> &exchange,
                         const CallerTerms &terms,
                         http::Response answer,
                         const char *reason)
{
    const unsigned status = answer.result_int();
    exchange->respond(std::move(answer));
    log_.line(EventRank::Important, "request_refused")
        .text("request", terms.requestId)
        .text("host", http::headerOf(exchange->request(), "Host"))
        .text("target", http::fromView(exchange->request().target()))
        .text("reason", reason)
        .count("status", status)
        .count("open_requests", requests_.size())
        .count("configuration", state_.routes() ? state_.routes()->version() : 0);
}

http::Response EntryServer::notRun(const CallerTerms &terms)
{
    return detail::notRunResponse(retryAfter({outage(), terms.patience}, random_));
}

// Without a configuration nothing was served since the start.
Duration EntryServer::outage() const
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

CallTimes &EntryServer::timesOf(const RequestRoute &route)
{
    return times_.try_emplace(route.name, route.latencyTarget).first->second;
}

void EntryServer::onConfiguration(const RouteTable &routes)
{
    splits_.keepOnly(routes.configuration());
}

void EntryServer::onTick(TimePoint now)
{
    waiting_.onTick(now);
    entrance_.onTick(now);
}

} // namespace sassafrasvane
