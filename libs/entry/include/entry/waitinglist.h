#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

/// \file
/// Calls that wait for a free searcher.

namespace sassafrasvane
{

/// The waiting calls of each back end.
///
/// Calls that can still be in time go before those that are late anyway, and among them the most urgent route goes
/// first. Calls of one route go in the order of their arrival, unless the earliest one has waited for long: then the
/// latest goes first, as with more load than the searchers bear the order of arrival makes every call late.
///
/// \code
/// waiting.add("desk", {route.priority, now, targetAt}, [] { return tryToSend(); });
/// waiting.onSearcherFree(now, "desk");
/// \endcode
class WaitingList
{
public:
    /// What became of the attempt to send a waiting call.
    enum class AttemptResult {
        Done,    ///< The call need not wait any longer, sent or not.
        Busy,    ///< No searcher is free for any call.
        Skipped, ///< This call cannot go now, but another one may.
    };

    using Attempt = std::function<AttemptResult()>;

    /// Whose turn a call is.
    struct Terms {
        /// Rank of the route; 0 is the most urgent.
        std::uint32_t priority = 0;
        TimePoint addedAt;
        /// When the call is late.
        TimePoint targetAt;
    };

    /// Calls that may wait for one back end.
    static constexpr std::size_t maxPerBackend() noexcept { return 200; }

    /// Adds a call. \return false if too many wait.
    bool add(std::string_view backend, const Terms &terms, Attempt attempt);

    /// A searcher of \p backend may be free: tries the calls in turn until all searchers are busy.
    void onSearcherFree(TimePoint now, std::string_view backend);

    /// Tries the calls of all back ends.
    void onTick(TimePoint now);

    std::size_t size() const noexcept;

    /// True if a call for \p backend waits that can still be in time.
    bool hasTimelyCall(TimePoint now, std::string_view backend) const;

private:
    /// Whether the call is late, its priority, and its order of arrival.
    using Rank = std::tuple<bool, std::uint32_t, std::uint64_t>;

    struct Call {
        Terms terms;
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
