#pragma once

#include "admission/gatemessages.h"

#include <optional>
#include <vector>

/// \file
/// A bounded queue ordered by deadline.

namespace sassafrasvane
{

/// Waiting calls. First calls come before extra ones (hedges and retries); within each group the earliest deadline
/// comes first.
///
/// \code
/// DeadlineQueue queue(maxWaiting);
/// const std::optional<GateRequest> evicted = queue.push(request);
/// const std::optional<GateRequest> next = queue.pop();
/// \endcode
class DeadlineQueue
{
public:
    /// \param capacity max number of waiting calls.
    explicit DeadlineQueue(std::size_t capacity);

    /// Adds \p request. \return the call that was evicted because the queue was full: the last in order, which may be
    /// \p request itself.
    std::optional<GateRequest> push(const GateRequest &request);

    /// Removes and returns the next call, or nothing if the queue is empty.
    std::optional<GateRequest> pop() noexcept;

    /// Removes and returns a call whose deadline is at or before \p now, or nothing if there is none.
    std::optional<GateRequest> popExpired(TimePoint now) noexcept;

    /// Removes \p call. \return false if it is not in the queue.
    bool erase(CallId call);

    /// Number of calls that would be served before \p request.
    std::size_t ahead(const GateRequest &request) const noexcept;

    /// The earliest deadline, or nothing if the queue is empty.
    std::optional<TimePoint> earliestDeadline() const noexcept;

    std::size_t size() const noexcept { return first_.size() + extra_.size(); }
    bool isEmpty() const noexcept { return first_.empty() && extra_.empty(); }

private:
    std::size_t capacity_;
    /// Both lists are sorted by descending deadline, so that the next call is taken from the end.
    std::vector<GateRequest> first_;
    std::vector<GateRequest> extra_;
};

} // namespace sassafrasvane
