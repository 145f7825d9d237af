#include "requesttask.h"

#include "headers.h"

#include <algorithm>
#include <cmath>

// The start of a request, its time limits and its timer.

namespace sassafrasvane::detail
{

namespace
{

/// Time that a request and its answer spend in queues of this VM and of the caller.
constexpr Duration queueTime = std::chrono::milliseconds(7);
/// Round trips until a request has arrived and its answer is back, on a new connection and on a reused one.
constexpr int newConnectionRoundTrips = 2;
constexpr int reusedConnectionRoundTrips = 1;
/// Maximum share of the latency target that is set aside for the network time.
constexpr double maxNetworkShare = 0.4;
/// A request that could not start is refused early enough that the caller learns it within this share of the latency
/// target.
constexpr double refusalShare = 0.2;
/// How long before the caller's deadline the answer is sent.
constexpr Duration deadlineMargin = std::chrono::milliseconds(5);

} // namespace

RequestTask::RequestTask(RequestContext &shared,
                         std::shared_ptr<http::Exchange> exchange,
                         RequestMetadata metadata,
                         Fingerprint fingerprint,
                         std::shared_ptr<const RouteTable> table,
                         const RequestRoute &route,
                         const RequestCaller &caller,
                         std::vector<BackendPool *> backends,
                         CallTimes &times)
    : shared_(shared)
    , exchange_(std::move(exchange))
    , metadata_(std::move(metadata))
    , fingerprint_(fingerprint)
    , span_(beginTrace(exchange_->request(), shared.random))
    , table_(std::move(table))
    , route_(route)
    , caller_(caller)
    , times_(times)
    , parts_(backends.size())
    , deadline_(deadlineOf(*exchange_, metadata_, route))
    , gatherParameters_(makeGatherParameters())
    , gather_(gatherParameters_, gatherHooks())
    , timer_(shared.context)
{
    for (std::size_t part = 0; part < backends.size(); ++part) {
        parts_[part].backend = backends[part];
    }
    request_ = prepareCall();
}

// The caller is identified last, so that no header of its request can remove the tenant's name.
std::shared_ptr<const http::Request> RequestTask::prepareCall()
{
    const std::shared_ptr<http::Request> call = exchange_->shareRequest();
    removeConnectionHeaders(*call);
    if (table_->configuration().tenants) {
        shared_.protocol.identifyCaller(*call, caller_.tenant == nullptr ? std::string_view() : caller_.tenant->name);
    }
    call->prepare_payload();
    return call;
}

TimePoint RequestTask::deadlineOf(const http::Exchange &exchange,
                                  const RequestMetadata &metadata,
                                  const RequestRoute &route)
{
    const Duration timeLimit = std::min(metadata.timeout.value_or(route.timeLimit), route.timeLimit);
    return exchange.receivedAt() + timeLimit - deadlineMargin;
}

GatherParameters RequestTask::makeGatherParameters() const
{
    const TimePoint receivedAt = exchange_->receivedAt();
    GatherParameters parameters;
    parameters.partCount = parts_.size();
    parameters.minParts = route_.isGathered()
        ? std::max<std::size_t>(
            1, static_cast<std::size_t>(std::ceil(route_.minShardShare * static_cast<double>(parts_.size()) - 1e-9)))
        : 1;
    parameters.maxAttempts = route_.maxAttempts;
    parameters.isIdempotent = route_.isIdempotent;
    parameters.hedgeDelay = times_.hedgeDelay();
    const int roundTrips = exchange_->isFirstOnConnection() ? newConnectionRoundTrips : reusedConnectionRoundTrips;
    const Duration networkTime = exchange_->roundTrip() * roundTrips + queueTime;
    parameters.targetAt
        = receivedAt + route_.latencyTarget - std::min(networkTime, shareOf(route_.latencyTarget, maxNetworkShare));
    const Duration refuseAfter = shareOf(route_.latencyTarget, refusalShare);
    parameters.refuseAt = receivedAt + refuseAfter - std::min(exchange_->roundTrip(), refuseAfter / 2);
    parameters.deadline = deadline_;
    return parameters;
}

GatherHooks RequestTask::gatherHooks()
{
    GatherHooks hooks;
    hooks.room = [this](std::size_t part) { return room(part); };
    hooks.place = [this](std::size_t part, CallPurpose purpose) { return place(part, purpose); };
    hooks.finish = [this](GatherEnd end) { finish(end); };
    return hooks;
}

Room RequestTask::room(std::size_t part) const
{
    const TimePoint now = BootClock::now();
    const BackendPool &backend = *parts_[part].backend;
    return shared_.pool.room(
        now, backend, callParameters(now, false), shared_.waiting.hasTimelyCall(now, backend.name()));
}

void RequestTask::start()
{
    const TimePoint now = BootClock::now();
    exchange_->setOnAbandoned([weak = weak_from_this()] {
        if (const std::shared_ptr<RequestTask> self = weak.lock()) {
            self->onAbandoned();
        }
    });
    for (Part &part : parts_) {
        part.backend->budget().onRequest();
    }
    if (!canBeServed(now)) {
        finish(GatherEnd::Unserved);
        return;
    }
    if (!gather_.start(now)) {
        if (askedToWaitUntil(now) > gatherParameters_.refuseAt) {
            gather_.refuse();
            return;
        }
        waitToStart();
    }
    schedule();
}

void RequestTask::waitToStart()
{
    const WaitingList::Attempt attempt = [weak = weak_from_this()] {
        const std::shared_ptr<RequestTask> self = weak.lock();
        if (!self || self->gather_.isFinished()) {
            return WaitingList::AttemptResult::Done;
        }
        if (!self->gather_.start(BootClock::now())) {
            return WaitingList::AttemptResult::Busy;
        }
        self->schedule();
        return WaitingList::AttemptResult::Done;
    };
    if (!shared_.startQueue.add(parts_.front().backend->name(), queueParameters(), attempt)) {
        gather_.refuse();
    }
}

// True if the backends that are serving suffice for an answer with enough parts. Otherwise nothing is sent.
bool RequestTask::canBeServed(TimePoint now) const
{
    const std::ptrdiff_t serving = std::count_if(parts_.begin(), parts_.end(), [this, now](const Part &part) {
        return shared_.pool.hasAvailableSearcher(now, *part.backend);
    });
    return static_cast<std::size_t>(serving) >= gatherParameters_.minParts;
}

// When the limits and pauses that searchers ask for let this VM call enough backends for an answer; now if none is in
// the way.
TimePoint RequestTask::askedToWaitUntil(TimePoint now) const
{
    std::vector<TimePoint> waits;
    for (const Part &part : parts_) {
        if (const std::optional<TimePoint> until = shared_.pool.askedToWaitUntil(now, *part.backend)) {
            waits.push_back(*until);
        }
    }
    const std::size_t callable = parts_.size() - waits.size();
    if (callable >= gatherParameters_.minParts) {
        return now;
    }
    const std::vector<TimePoint>::iterator last
        = waits.begin() + static_cast<std::ptrdiff_t>(gatherParameters_.minParts - callable - 1);
    std::nth_element(waits.begin(), last, waits.end());
    return *last;
}

void RequestTask::schedule()
{
    const std::optional<TimePoint> wakeAt = gather_.wakeAt();
    if (!wakeAt || wakeAt == timerAt_) {
        return;
    }
    timerAt_ = wakeAt;
    timer_.expires_after(std::max(Duration{0}, *wakeAt - BootClock::now()));
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<RequestTask> self = weak.lock();
        if (!error && self) {
            self->onTimer();
        }
    });
}

void RequestTask::end()
{
    gather_.expire();
}

void RequestTask::onTimer()
{
    timerAt_.reset();
    gather_.onTimer(BootClock::now());
    schedule();
}

} // namespace sassafrasvane::detail
