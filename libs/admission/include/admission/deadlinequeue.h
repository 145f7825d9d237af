#pragma once

#include "admission/gatemessages.h"

#include <optional>
#include <vector>

/// \file
/// A bounded queue that serves by deadline.

namespace sassafrasvane
{

/// Waiting calls: first calls before extra ones, and among each the earliest deadline first.
///
/// \code
/// DeadlineQueue queue(maxWaiting);
/// const std::optional<GateRequest> evicted = queue.push(request);
/// const std::optional<GateRequest> next = queue.pop();
/// \endcode
class DeadlineQueue
{
public:
    /// \param capacity most calls that wait.
    explicit DeadlineQueue(std::size_t capacity);

    /// Adds \p request. \return the call that had to make room: the last in order, which may be \p request itself.
    std::optional<GateRequest> push(const GateRequest &request);

    /// Takes out the next call, or nothing if none waits.
    std::optional<GateRequest> pop() noexcept;

    /// Takes out a call whose deadline is not after \p now, or nothing if there is none.
    std::optional<GateRequest> popExpired(TimePoint now) noexcept;

    /// Takes out \p call. \return false if it does not wait.
    bool erase(CallId call);

    /// Calls that would be served before \p request.
    std::size_t ahead(const GateRequest &request) const noexcept;

    /// The earliest deadline, or nothing if none waits.
    std::optional<TimePoint> earliestDeadline() const noexcept;

    std::size_t size() const noexcept { return first_.size() + extra_.size(); }
    bool isEmpty() const noexcept { return first_.empty() && extra_.empty(); }

private:
    std::size_t capacity_;
    /// Both sorted by deadline, the latest first, so that the next one is taken from the end.
    std::vector<GateRequest> first_;
    std::vector<GateRequest> extra_;
};

} // namespace sassafrasvane
