#pragma once

#include "base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

/// \file
/// Calls and whole requests that wait for a free searcher.

namespace sassafrasvane
{

/// Queues of waiting calls or of requests that have not started, one for each backend. Below, a call is either of them.
///
/// Calls that can still meet their latency target go before late calls. Within each group, the most urgent priority
/// goes first. Among the calls of one priority that are not late, those of tenants that have used up most of their
/// quota go last, so that one busy tenant does not take the searchers from the others. Calls that are equal in this go
/// in order of arrival. If the first call has waited for long, the newest of its equals goes first instead, because
/// under overload the order of arrival makes every call late.
///
/// \code
/// waiting.add("desk", {route.priority, now, targetAt}, [] { return tryToSend(); });
/// waiting.onSearcherFree(now, "desk");
/// \endcode
class WaitingList
{
public:
    /// The result of an attempt to send a waiting call.
    enum class AttemptResult {
        Done,    ///< The call was sent or is no longer needed; it leaves the queue.
        Busy,    ///< No searcher is free for any call; no further calls are tried.
        Skipped, ///< This call cannot be sent now, but others may be; it keeps its place.
    };

    using Attempt = std::function<AttemptResult()>;

    /// Determines the position of a call in its queue.
    struct QueueParameters {
        /// Priority of the tenant or route; 0 is the most urgent.
        std::uint32_t priority = 0;
        TimePoint addedAt;
        /// From this time on the call is late: it can no longer meet its latency target.
        TimePoint targetAt;
        /// True if the tenant has used up most of its quota.
        bool isLowOnQuota = false;
    };

    /// Maximum number of calls or whole requests that wait for one backend in one list.
    static constexpr std::size_t maxPerBackend() noexcept { return 200; }

    /// Adds a call. \return false if maxPerBackend() calls are waiting already.
    bool add(std::string_view backend, const QueueParameters &parameters, Attempt attempt);

    /// Tries the calls for \p backend in order until an attempt returns Busy. Must be called when a searcher may be
    /// free.
    void onSearcherFree(TimePoint now, std::string_view backend);

    /// Tries the calls for all backends. Must be called periodically.
    void onTick(TimePoint now);

    /// Number of waiting calls of all backends.
    std::size_t size() const noexcept;

    /// True if a call that is not late yet waits for \p backend.
    bool hasTimelyCall(TimePoint now, std::string_view backend) const;

private:
    /// Order of a call in its queue.
    struct Rank {
        bool isLate = false;
        std::uint32_t priority = 0;
        /// Always false for late calls.
        bool isLowOnQuota = false;
        std::uint64_t sequence = 0;

        friend auto operator<=>(const Rank &, const Rank &) noexcept = default;
    };

    struct Call {
        QueueParameters parameters;
        Attempt attempt;
    };
    using Queue = std::map<Rank, Call>;

    static void reorderLateCalls(TimePoint now, Queue &queue);
    static Queue::iterator selectNext(TimePoint now, Queue &queue);

    std::map<std::string, Queue, std::less<>> queues_;
    std::uint64_t lastSequence_ = 0;
    bool isRunningAttempts_ = false;
};

} // namespace sassafrasvane
