#include "admission/entryadmission.h"

#include <algorithm>
#include <limits>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Maximum number of running queries per class in one daemon, which bounds the memory.
constexpr std::uint32_t maxRunning = 4096;
constexpr Duration minRetryAfter = 1ms;
/// Ratio of the latency to its floor above which the back end is assumed to queue, and the minimum of that ratio when
/// the latency target sets the limit.
constexpr double queueingFactor = 2;
constexpr double minQueueingFactor = 1.2;
/// Fraction of the latency target above which the latency is too high, unless minQueueingFactor allows more.
constexpr double targetFraction = 0.5;

// DeadlineQueue stores calls, so queries are converted to calls and back.
GateRequest toQueued(const EntryRequest &request) noexcept
{
    return {CallId{request.query.value}, request.cls, request.deadline, false};
}

QueryId queryOf(const GateRequest &queued) noexcept
{
    return QueryId{queued.call.value};
}

std::uint32_t limitOf(const ConcurrencyLimit &limit) noexcept
{
    return limit.within(maxRunning);
}

} // namespace

void EntryActions::clear() noexcept
{
    start.clear();
    refuse.clear();
    wakeAt.reset();
}

EntryAdmission::EntryAdmission(std::span<const RequestClass> classes)
{
    EntryActions none;
    setClasses(TimePoint(), classes, none);
}

void EntryAdmission::setClasses(TimePoint now, std::span<const RequestClass> classes, EntryActions &actions)
{
    std::vector<ClassState> former = std::move(classes_);
    classes_ = std::vector<ClassState>(classes.size());
    for (std::size_t i = 0; i < classes.size(); ++i) {
        const auto known = std::find_if(former.begin(), former.end(), [&classes, i](const ClassState &state) {
            return state.name == classes[i].name;
        });
        if (known != former.end()) {
            classes_[i] = std::move(*known);
            former.erase(known);
        }
        classes_[i].name = classes[i].name;
        classes_[i].target = classes[i].target.latency;
    }
    for (ClassState &removed : former) {
        while (const std::optional<GateRequest> queued = removed.queue.pop()) {
            actions.refuse.push_back({queryOf(*queued), Errc::InvalidRequest, Duration{0}});
        }
    }
    onTimer(now, actions);
}

void EntryAdmission::offer(TimePoint now, const EntryRequest &request, EntryActions &actions)
{
    if (request.cls.value >= classes_.size()) {
        actions.refuse.push_back({request.query, Errc::InvalidRequest, Duration{0}});
        return;
    }
    ClassState &state = classes_[request.cls.value];
    if (request.deadline <= now) {
        actions.refuse.push_back({request.query, Errc::DeadlinePassed, Duration{0}});
    } else if (!canMeetDeadline(now, state, request)) {
        refuse(state, request.query, actions);
    } else if (const std::optional<GateRequest> evicted = state.queue.push(toQueued(request))) {
        refuse(state, queryOf(*evicted), actions);
    }
    processQueue(now, state, actions);
    setWakeUp(actions);
}

void EntryAdmission::onFinished(TimePoint now, const EntryResult &result, EntryActions &actions)
{
    for (ClassState &state : classes_) {
        const auto found = std::find(state.running.begin(), state.running.end(), result.query);
        if (found == state.running.end()) {
            continue;
        }
        updateLimit(now, state, result);
        *found = state.running.back();
        state.running.pop_back();
        processQueue(now, state, actions);
        break;
    }
    setWakeUp(actions);
}

bool EntryAdmission::cancel(TimePoint now, QueryId query, EntryActions &actions)
{
    bool isErased = false;
    for (ClassState &state : classes_) {
        isErased = state.queue.erase(CallId{query.value}) || isErased;
    }
    onTimer(now, actions);
    return isErased;
}

void EntryAdmission::onTimer(TimePoint now, EntryActions &actions)
{
    for (ClassState &state : classes_) {
        processQueue(now, state, actions);
    }
    setWakeUp(actions);
}

std::size_t EntryAdmission::running(ClassIndex cls) const noexcept
{
    return cls.value < classes_.size() ? classes_[cls.value].running.size() : 0;
}

std::size_t EntryAdmission::waiting(ClassIndex cls) const noexcept
{
    return cls.value < classes_.size() ? classes_[cls.value].queue.size() : 0;
}

void EntryAdmission::processQueue(TimePoint now, ClassState &state, EntryActions &actions)
{
    while (const std::optional<GateRequest> expired = state.queue.popExpired(now)) {
        actions.refuse.push_back({queryOf(*expired), Errc::DeadlinePassed, Duration{0}});
    }
    while (state.running.size() < limitOf(state.limit) && !state.queue.isEmpty()) {
        const GateRequest next = *state.queue.pop();
        // While other queries wait, one that is likely to miss its deadline would only take capacity from them. When
        // nothing runs, a query is always started, as only its result can show that the back end has recovered.
        const Duration needed = state.queue.isEmpty() ? state.service.mean() : state.service.upperBound();
        if (!state.running.empty() && now + needed > next.deadline) {
            refuse(state, queryOf(next), actions);
            continue;
        }
        actions.start.push_back(queryOf(next));
        state.running.push_back(queryOf(next));
    }
}

void EntryAdmission::setWakeUp(EntryActions &actions) const
{
    actions.wakeAt.reset();
    for (const ClassState &state : classes_) {
        const std::optional<TimePoint> earliest = state.queue.earliestDeadline();
        if (earliest && (!actions.wakeAt || *earliest < *actions.wakeAt)) {
            actions.wakeAt = earliest;
        }
    }
}

void EntryAdmission::updateLimit(TimePoint now, ClassState &state, const EntryResult &result)
{
    state.service.add(now, result.latency);
    const Duration mean = state.service.steadyMean();
    const std::size_t running = state.running.size();
    const double floor = static_cast<double>(state.service.meanFloor(now).count());
    const double maxLatencyByTarget = targetFraction * static_cast<double>(state.target.count());
    const double maxLatency = std::max(minQueueingFactor * floor, std::min(queueingFactor * floor, maxLatencyByTarget));
    const bool isLatencyHigh = floor > 0 && static_cast<double>(mean.count()) > maxLatency;
    const bool isStrained = result.isOverloaded || isLatencyHigh;
    if (!isStrained) {
        state.limit.onAnswered(now, mean, mean, running, true);
    } else if (isAboveFairShare(state) && result.isOverloaded) {
        state.limit.onOverload(now, result.latency, running);
    } else if (isAboveFairShare(state)) {
        state.limit.onQueueing(now, mean, running);
    }
}

bool EntryAdmission::isAboveFairShare(const ClassState &state) const noexcept
{
    std::size_t total = 0;
    std::size_t active = 0;
    for (const ClassState &other : classes_) {
        total += other.running.size();
        active += other.running.empty() ? 0 : 1;
    }
    return state.running.size() * active >= total;
}

bool EntryAdmission::canMeetDeadline(TimePoint now, const ClassState &state, const EntryRequest &request) noexcept
{
    if (state.running.empty()) {
        return true;
    }
    if (state.queue.isEmpty() && state.running.size() < limitOf(state.limit)) {
        return now + state.service.mean() <= request.deadline;
    }
    const Duration wait = queueTime(state, state.queue.ahead(toQueued(request)));
    return now + wait + state.service.upperBound() <= request.deadline;
}

Duration EntryAdmission::queueTime(const ClassState &state, std::size_t ahead) noexcept
{
    // On average, half of a running query is done. The queries ahead then share all slots of the limit.
    const Duration mean = state.service.mean();
    return (mean / 2 + mean * ahead) / std::max<std::uint32_t>(limitOf(state.limit), 1);
}

void EntryAdmission::refuse(const ClassState &state, QueryId query, EntryActions &actions)
{
    const Duration retryAfter = std::max(minRetryAfter, queueTime(state, state.queue.size()));
    actions.refuse.push_back({query, Errc::Overloaded, retryAfter});
}

} // namespace sassafrasvane
