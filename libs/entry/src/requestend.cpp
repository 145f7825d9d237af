#include "requesttask.h"

#include "gather/recordmerge.h"
#include "headers.h"
#include "refusal.h"

#include <algorithm>

// The end of a request and its answer.

namespace sassafrasvane::detail
{

void RequestTask::onAbandoned()
{
    if (gather_.isFinished()) {
        return;
    }
    ++shared_.counters.abandoned;
    countForTenant("abandoned");
    if (!hasSentCalls()) {
        refundQuota();
    }
    shared_.log.line(EventRank::Important, "request_abandoned")
        .text("request", metadata_.requestId)
        .text("route", route_.name)
        .milliseconds("elapsed_ms", BootClock::now() - exchange_->receivedAt());
    const std::shared_ptr<RequestTask> self = shared_from_this();
    reportCrashes();
    endCalls(true);
    timer_.cancel();
    shared_.release(this);
}

void RequestTask::finish(GatherEnd end)
{
    const std::shared_ptr<RequestTask> self = shared_from_this();
    http::Response response = answer(end);
    const unsigned status = response.result_int();
    exchange_->respond(std::move(response));
    logEnd(end, status);
    if (end == GatherEnd::Unserved) {
        refundQuota();
    }
    reportCrashes();
    endCalls(false);
    timer_.cancel();
    shared_.release(this);
}

void RequestTask::endCalls(bool isAbandoned)
{
    for (Part &part : parts_) {
        for (const CallHandle &call : part.calls) {
            if (isAbandoned) {
                shared_.dispatcher.cancel(call);
            } else {
                shared_.dispatcher.detach(call);
            }
        }
    }
}

http::Response RequestTask::answer(GatherEnd end)
{
    constexpr unsigned badGateway = 502;
    constexpr unsigned gatewayTimeout = 504;
    switch (end) {
    case GatherEnd::Answered:
        if (route_.isGathered()) {
            return mergedAnswer();
        }
        removeConnectionHeaders(*parts_.front().response);
        parts_.front().response->prepare_payload();
        return std::move(*parts_.front().response);
    case GatherEnd::Unserved:
        return notRunResponse(retryAfter(refusalCause(BootClock::now()), shared_.random));
    case GatherEnd::Failed:
        if (failureResponse_ && !route_.isGathered() && !isNotRunStatus(failureResponse_->result_int())) {
            removeConnectionHeaders(*failureResponse_);
            failureResponse_->prepare_payload();
            return std::move(*failureResponse_);
        }
        return http::emptyResponse(badGateway);
    case GatherEnd::TimedOut:
        break;
    }
    return http::emptyResponse(gatewayTimeout);
}

RefusalCause RequestTask::refusalCause(TimePoint now) const
{
    RefusalCause cause;
    cause.outage = longestOutage(now);
    cause.askedToWaitFor = askedToWaitUntil(now) - now;
    cause.callerTimeout = metadata_.timeout;
    return cause;
}

// The longest time since a searcher was chosen at one of the backends that have no available searcher now. Backends
// that were never chosen from are left out; 0 if none remains.
Duration RequestTask::longestOutage(TimePoint now) const
{
    Duration longest{0};
    for (const Part &part : parts_) {
        const std::optional<TimePoint> lastChosenAt = part.backend->lastChosenAt();
        if (lastChosenAt && !shared_.pool.hasAvailableSearcher(now, *part.backend)) {
            longest = std::max(longest, now - *lastChosenAt);
        }
    }
    return longest;
}

http::Response RequestTask::mergedAnswer()
{
    std::vector<std::string_view> bodies;
    std::vector<std::string_view> stamps;
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        if (gather_.isAnswered(part)) {
            bodies.push_back(parts_[part].response->body());
            stamps.push_back(parts_[part].stamp);
        }
    }
    http::Response response
        = http::textResponse(200, "application/octet-stream", mergeRecords(bodies, route_.topRecords));
    shared_.protocol.writeCoverage(response, stamps, parts_.size() - stamps.size());
    return response;
}

// The comma-separated names of the backends of the parts for which isListed is true.
std::string RequestTask::backendsWhere(const std::function<bool(std::size_t part)> &isListed) const
{
    std::string names;
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        if (isListed(part)) {
            names += (names.empty() ? "" : ",") + parts_[part].backend->name();
        }
    }
    return names;
}

bool RequestTask::hasSentCalls() const
{
    return std::any_of(parts_.begin(), parts_.end(), [](const Part &part) { return !part.calls.empty(); });
}

// Only for requests that have not run.
void RequestTask::refundQuota()
{
    if (caller_.tenant != nullptr) {
        shared_.quotas.refund(BootClock::now(), caller_.tenant->name);
    }
}

void RequestTask::countForTenant(std::string_view end) const
{
    if (caller_.tenant != nullptr) {
        shared_.counters.tenantRequests.add(caller_.tenant->name, end);
    }
}

void RequestTask::logEnd(GatherEnd end, unsigned status) const
{
    const Duration elapsed = BootClock::now() - exchange_->receivedAt();
    shared_.counters.record(route_.name, end, elapsed);
    countForTenant(name(end));
    if (span_) {
        spanLine(shared_.log, *span_, "request", elapsed)
            .text("request", metadata_.requestId)
            .text("route", route_.name)
            .text("end", name(end));
    }
    const EventRank rank = end == GatherEnd::Answered ? EventRank::Routine : EventRank::Important;
    EventLine line = shared_.log.line(rank, "request_ended");
    line.text("request", metadata_.requestId)
        .text("route", route_.name)
        .text("end", name(end))
        .count("status", status)
        .milliseconds("elapsed_ms", elapsed)
        .count("parts", parts_.size())
        .count("answered", gather_.answeredParts())
        .count("extra_calls", extraCalls_)
        .count("remote_calls", remoteCalls_)
        .count("time_short_calls", timeShortCalls_)
        .count("local_impaired_calls", localImpairedCalls_)
        .count("crashed_searchers", crashedSearchers_)
        .milliseconds("typical_call_ms", times_.typicalDuration())
        .milliseconds("hedge_after_ms", gatherParameters_.hedgeDelay)
        .count("configuration", table_->version());
    if (caller_.tenant != nullptr) {
        line.text("tenant", caller_.tenant->name);
    }
    if (gather_.answeredParts() < parts_.size()) {
        line.text("missing", backendsWhere([this](std::size_t part) { return !gather_.isAnswered(part); }))
            .count("left_out", gather_.leftOutParts());
    }
    if (end == GatherEnd::Unserved) {
        const TimePoint now = BootClock::now();
        line.text("without_room", backendsWhere([this](std::size_t part) { return room(part) == Room::None; }))
            .milliseconds("limited_ms", askedToWaitUntil(now) - now);
    }
}

} // namespace sassafrasvane::detail
