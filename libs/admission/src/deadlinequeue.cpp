#include "admission/deadlinequeue.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

bool isLater(const GateRequest &left, const GateRequest &right) noexcept
{
    return left.deadline > right.deadline;
}

std::size_t earlierOrEqual(const std::vector<GateRequest> &list, const GateRequest &request) noexcept
{
    const auto place = std::lower_bound(list.begin(), list.end(), request, isLater);
    return static_cast<std::size_t>(list.end() - place);
}

void insert(std::vector<GateRequest> &list, const GateRequest &request)
{
    // Equal deadlines keep their order of arrival.
    list.insert(std::lower_bound(list.begin(), list.end(), request, isLater), request);
}

bool eraseFrom(std::vector<GateRequest> &list, CallId call)
{
    const auto found
        = std::find_if(list.begin(), list.end(), [call](const GateRequest &request) { return request.call == call; });
    if (found == list.end()) {
        return false;
    }
    list.erase(found);
    return true;
}

std::optional<GateRequest> popFrom(std::vector<GateRequest> &list) noexcept
{
    const GateRequest next = list.back();
    list.pop_back();
    return next;
}

} // namespace

DeadlineQueue::DeadlineQueue(std::size_t capacity) : capacity_(capacity)
{
}

std::optional<GateRequest> DeadlineQueue::push(const GateRequest &request)
{
    insert(request.isExtra ? extra_ : first_, request);
    if (size() <= capacity_) {
        return std::nullopt;
    }
    std::vector<GateRequest> &last = extra_.empty() ? first_ : extra_;
    const GateRequest evicted = last.front();
    last.erase(last.begin());
    return evicted;
}

std::optional<GateRequest> DeadlineQueue::pop() noexcept
{
    if (!first_.empty()) {
        return popFrom(first_);
    }
    return extra_.empty() ? std::nullopt : popFrom(extra_);
}

std::optional<GateRequest> DeadlineQueue::popExpired(TimePoint now) noexcept
{
    if (!first_.empty() && first_.back().deadline <= now) {
        return popFrom(first_);
    }
    if (!extra_.empty() && extra_.back().deadline <= now) {
        return popFrom(extra_);
    }
    return std::nullopt;
}

bool DeadlineQueue::erase(CallId call)
{
    return eraseFrom(first_, call) || eraseFrom(extra_, call);
}

std::size_t DeadlineQueue::ahead(const GateRequest &request) const noexcept
{
    return request.isExtra ? first_.size() + earlierOrEqual(extra_, request) : earlierOrEqual(first_, request);
}

std::optional<TimePoint> DeadlineQueue::earliestDeadline() const noexcept
{
    if (isEmpty()) {
        return std::nullopt;
    }
    TimePoint earliest = TimePoint::max();
    if (!first_.empty()) {
        earliest = first_.back().deadline;
    }
    if (!extra_.empty()) {
        earliest = std::min(earliest, extra_.back().deadline);
    }
    return earliest;
}

} // namespace sassafrasvane
