#include "entry/entryserver.h"

#include "entry/retryadvice.h"
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

void EntryServer::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    RequestMetadata metadata = protocol_.readRequestMetadata(exchange->request());
    const std::shared_ptr<const RouteTable> routes = state_.routes();
    if (!routes) {
        ++counters_.unconfigured;
        refuse(exchange, metadata, nullptr, retryLaterResponse(metadata), "no configuration yet");
        return;
    }
    const http::Request &request = exchange->request();
    const std::string_view host = http::headerOf(request, "Host");
    const RequestRoute *route = routes->match(host, http::fromView(request.target()));
    if (route == nullptr) {
        ++counters_.unrouted;
        refuse(exchange, metadata, nullptr, http::emptyResponse(notFound), "no route");
        return;
    }
    if (const std::optional<KeyFault> fault = keyFault(*routes, *route, metadata)) {
        ++counters_.keyFaults.at(static_cast<std::size_t>(*fault));
        refuse(exchange, metadata, nullptr, unauthorizedResponse(), name(*fault));
        return;
    }
    const Tenant *tenant = metadata.apiKey ? routes->tenantOf(*metadata.apiKey) : nullptr;
    if (metadata.requestId.empty()) {
        ++counters_.malformed;
        refuse(exchange, metadata, tenant, http::emptyResponse(badRequest), "no request id");
        return;
    }
    if (lastAnswerAt_ && detail::RequestTask::deadlineOf(*exchange, metadata, *route) > *lastAnswerAt_) {
        ++counters_.stopping;
        refuse(exchange, metadata, tenant, detail::notRunResponse(Duration{0}), "process is stopping");
        return;
    }
    const Fingerprint fingerprint = fingerprintOf(request);
    if (requestContext_->crashes.isBarred(BootClock::now(), fingerprint)) {
        ++counters_.barred;
        refuse(exchange, metadata, tenant, detail::notRunResponse(CrashBar::entryLifetime()), "crashes searchers");
        return;
    }
    if (requests_.size() >= maxOpenRequests()) {
        ++counters_.overloaded;
        refuse(exchange, metadata, tenant, retryLaterResponse(metadata), "too many requests");
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

// Returns the log line of the refusal, to which more can be added.
EventLine EntryServer::refuse(const std::shared_ptr<http::Exchange> &exchange,
                              const RequestMetadata &metadata,
                              const Tenant *tenant,
                              http::Response response,
                              const char *reason)
{
    const unsigned status = response.result_int();
    exchange->respond(std::move(response));
    EventLine line = log_.line(EventRank::Important, "request_refused");
    line.text("request", metadata.requestId)
        .text("host", http::headerOf(exchange->request(), "Host"))
        .text("target", http::fromView(exchange->request().target()))
        .text("reason", reason)
        .count("status", status)
        .count("open_requests", requests_.size())
        .count("configuration", state_.routes() ? state_.routes()->version() : 0);
    if (tenant != nullptr) {
        counters_.tenantRequests.add(tenant->name, status == tooManyRequests ? "over_quota" : "refused");
        line.text("tenant", tenant->name);
    }
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
    refuse(exchange, metadata, &tenant, detail::notRunResponse(decision.retryAfter, tooManyRequests), "over quota")
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
