#include "entry/entryserver.h"

#include "entry/retryadvice.h"
#include "linebudget.h"
#include "refusal.h"
#include "requesttask.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace sassafrasvane
{

namespace
{

constexpr unsigned badRequest = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned notFound = 404;
constexpr unsigned tooManyRequests = 429;
/// Calls of a tenant with less than this share of its bucket left go after those of others.
constexpr double lowQuotaShare = 0.25;

// If several tenants have the same name, the first one's quota holds for all of them.
std::vector<TenantQuota> tenantQuotas(const RoutingConfiguration &configuration)
{
    std::vector<TenantQuota> quotas;
    if (!configuration.tenants) {
        return quotas;
    }
    std::unordered_set<std::string_view> names;
    for (const Tenant &tenant : *configuration.tenants) {
        if (names.insert(tenant.name).second) {
            quotas.push_back({tenant.name, tenant.requestsPerSecond, tenant.burst});
        }
    }
    return quotas;
}

} // namespace

EntryServer::EntryServer(boost::asio::io_context &context,
                         const EntryProtocol &protocol,
                         SearcherPool &pool,
                         Dispatcher &dispatcher,
                         CrashWatch &crashes,
                         TenantQuotas &quotas,
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
                                                 quotas,
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
    const RequestRoute *route = routes->match(http::headerOf(head, "Host"), http::fromView(head.target()));
    if (route == nullptr) {
        ++counters_.unrouted;
        return Refusal{http::emptyResponse(notFound), "no route"};
    }
    if (const std::optional<KeyFault> fault = keyFault(*routes, *route, metadata)) {
        ++counters_.keyFaults.at(static_cast<std::size_t>(*fault));
        return Refusal{unauthorizedResponse(), name(*fault)};
    }
    if (metadata.requestId.empty()) {
        ++counters_.malformed;
        const Tenant *tenant = metadata.apiKey ? routes->tenantOf(*metadata.apiKey) : nullptr;
        return Refusal{http::emptyResponse(badRequest), "no request id", tenant};
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
    recordRefusal(head, metadata, *refusal, refusal->response.result_int());
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
    const Tenant *tenant = metadata.apiKey ? routes->tenantOf(*metadata.apiKey) : nullptr;
    if (lastAnswerAt_ && detail::RequestTask::deadlineOf(*exchange, metadata, *route) > *lastAnswerAt_) {
        ++counters_.stopping;
        refuse(exchange, metadata, {detail::notRunResponse(Duration{0}), "process is stopping", tenant});
        return;
    }
    const Fingerprint fingerprint = fingerprintOf(request);
    if (requestContext_->crashes.isBarred(BootClock::now(), fingerprint)) {
        ++counters_.barred;
        refuse(exchange, metadata, {detail::notRunResponse(CrashBar::entryLifetime()), "crashes searchers", tenant});
        return;
    }
    if (requests_.size() >= maxOpenRequests()) {
        ++counters_.overloaded;
        refuse(exchange, metadata, {retryLaterResponse(metadata), "too many requests", tenant});
        return;
    }
    if (!exchange->reserveHeadCopies(route->isGathered() ? route->shards.size() : 1)) {
        ++counters_.overloaded;
        refuse(exchange, metadata, {retryLaterResponse(metadata), "no memory for its calls", tenant});
        return;
    }
    const QuotaDecision decision = admit(tenant);
    if (!decision.isAdmitted) {
        refuseOverQuota(exchange, metadata, *tenant, decision);
        return;
    }
    const detail::RequestCaller caller{tenant, decision.left < lowQuotaShare};
    const std::shared_ptr<detail::RequestTask> task = std::make_shared<detail::RequestTask>(*requestContext_,
                                                                                            exchange,
                                                                                            std::move(metadata),
                                                                                            fingerprint,
                                                                                            routes,
                                                                                            *route,
                                                                                            caller,
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
    recordRefusal(exchange->request(), metadata, refusal, status);
}

void EntryServer::recordRefusal(const http::Request &request,
                                const RequestMetadata &metadata,
                                const Refusal &refusal,
                                unsigned status)
{
    std::optional<EventLine> line = refusalLine(request, metadata, refusal.reason, status);
    if (refusal.tenant == nullptr) {
        return;
    }
    counters_.tenantRequests.add(refusal.tenant->name, "refused");
    if (line) {
        line->text("tenant", refusal.tenant->name);
    }
}

// Returns the log line of a refusal, to which more can be added; nothing once too many were written lately.
std::optional<EventLine> EntryServer::refusalLine(const http::Request &request,
                                                  const RequestMetadata &metadata,
                                                  const char *reason,
                                                  unsigned status)
{
    if (!refusalLines_->admit(BootClock::now())) {
        return std::nullopt;
    }
    EventLine line = log_.line(EventRank::Important, "request_refused");
    line.text("request", metadata.requestId)
        .text("host", http::headerOf(request, "Host"))
        .text("target", http::fromView(request.target()))
        .text("reason", reason)
        .count("status", status)
        .count("open_requests", requests_.size())
        .count("not_logged", refusalLines_->takeOmitted())
        .count("configuration", state_.routes() ? state_.routes()->version() : 0);
    return line;
}

http::Response EntryServer::unauthorizedResponse() const
{
    http::Response response = http::emptyResponse(unauthorized);
    response.set(http::beast_http::field::www_authenticate, protocol_.apiKeyChallenge);
    return response;
}

std::vector<TenantUsage> EntryServer::tenantUsage(TimePoint now) const
{
    return requestContext_->quotas.usage(now);
}

// Requests without a tenant have no quota.
QuotaDecision EntryServer::admit(const Tenant *tenant)
{
    return tenant == nullptr ? QuotaDecision() : requestContext_->quotas.admit(BootClock::now(), tenant->name);
}

void EntryServer::refuseOverQuota(const std::shared_ptr<http::Exchange> &exchange,
                                  const RequestMetadata &metadata,
                                  const Tenant &tenant,
                                  const QuotaDecision &decision)
{
    ++counters_.overQuota;
    counters_.tenantRequests.add(tenant.name, "over_quota");
    exchange->respond(detail::notRunResponse(decision.retryAfter, tooManyRequests));
    std::optional<EventLine> line = refusalLine(exchange->request(), metadata, "over quota", tooManyRequests);
    if (!line) {
        return;
    }
    line->text("tenant", tenant.name)
        .number("requests_per_second", tenant.requestsPerSecond)
        .number("burst", tenant.burst)
        .number("bucket_left", decision.left)
        .text("basis", name(decision.basis))
        .milliseconds("age_ms", decision.age)
        .milliseconds("retry_after_ms", decision.retryAfter);
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
    requestContext_->quotas.setQuotas(BootClock::now(), tenantQuotas(routes.configuration()));
    if (!routes.repeatedKeys().empty()) {
        const RepeatedKey &first = routes.repeatedKeys().front();
        log_.line(EventRank::Important, "api_keys_repeated")
            .count("configuration", routes.version())
            .count("keys", routes.repeatedKeys().size())
            .text("tenant", first.holder->name)
            .text("other", first.other->name);
    }
}

void EntryServer::onTick(TimePoint now)
{
    waitingCalls_.onTick(now);
    waitingRequests_.onTick(now);
}

} // namespace sassafrasvane
