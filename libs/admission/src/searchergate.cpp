#include "admission/searchergate.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Most calls that wait for one searcher.
constexpr std::size_t maxWaiting = 256;

} // namespace

void GateActions::clear() noexcept
{
    start.clear();
    refuse.clear();
    wakeAt.reset();
}

void SearcherGate::offer(TimePoint now, const GateRequest &request, GateActions &actions)
{
    if (request.deadline <= now) {
        actions.refuse.push_back({request.call, Errc::DeadlinePassed, Duration{0}});
        return;
    }
    if (queue_.size() >= maxWaiting) {
        actions.refuse.push_back({request.call, Errc::Overloaded, request.deadline - now});
        return;
    }
    const auto place = std::find_if(queue_.begin(), queue_.end(), [&request](const GateRequest &other) {
        return other.deadline <= request.deadline;
    });
    queue_.insert(place, request);
    pump(now, actions);
}

void SearcherGate::onResult(TimePoint now, const GateResult &, GateActions &actions)
{
    running_ -= running_ > 0 ? 1 : 0;
    pump(now, actions);
}

bool SearcherGate::cancel(TimePoint now, CallId call, GateActions &actions)
{
    const std::size_t erased
        = std::erase_if(queue_, [call](const GateRequest &request) { return request.call == call; });
    pump(now, actions);
    return erased > 0;
}

void SearcherGate::onTimer(TimePoint now, GateActions &actions)
{
    pump(now, actions);
}

void SearcherGate::setShare(TimePoint now, const BackEndLimits &limits, HolderShare share, GateActions &actions)
{
    concurrency_ = std::min(share.of(limits.slots), share.of(limits.connections));
    pump(now, actions);
}

void SearcherGate::pump(TimePoint now, GateActions &actions)
{
    while (!queue_.empty() && queue_.back().deadline <= now) {
        actions.refuse.push_back({queue_.back().call, Errc::DeadlinePassed, Duration{0}});
        queue_.pop_back();
    }
    while (!queue_.empty() && running_ < concurrency_) {
        actions.start.push_back(queue_.back().call);
        queue_.pop_back();
        ++running_;
    }
    if (!queue_.empty()) {
        actions.wakeAt = queue_.back().deadline;
    }
}

SearcherGate::Builder &SearcherGate::Builder::limits(const BackEndLimits &limits)
{
    limits_ = limits;
    return *this;
}

SearcherGate::Builder &SearcherGate::Builder::share(HolderShare share) noexcept
{
    share_ = share;
    return *this;
}

SearcherGate SearcherGate::Builder::build() const
{
    SearcherGate gate;
    GateActions actions;
    gate.setShare(TimePoint(), limits_, share_, actions);
    return gate;
}

} // namespace sassafrasvane
