#pragma once

#include "base/error.h"
#include "base/room.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

/// \file
/// Scatter-gather of one request: decides which calls to send and when the answer is complete.

namespace sassafrasvane
{

/// Why a call for a part is sent to a searcher.
enum class CallPurpose {
    First, ///< The first call of the part.
    Retry, ///< A previous call failed.
    Hedge, ///< A previous call has not answered within the hedge delay.
};

/// Stable lower-case name of \p purpose, as written to log lines.
const char *name(CallPurpose purpose) noexcept;

/// Result of GatherHooks::place().
enum class Placement {
    Sent,     ///< The call was sent.
    Waiting,  ///< All searchers are busy. Gather::onPlaced() or Gather::giveUpWaiting() may follow.
    Declined, ///< No searcher can take the call, or the retry budget is spent.
};

/// How a request ends.
enum class GatherEnd {
    Answered, ///< At least minParts parts were answered.
    Unserved, ///< No call has run or will run.
    Failed,   ///< Fewer than minParts parts can still be answered, and some call may have run.
    TimedOut, ///< The deadline passed with fewer than minParts answers, and some call was sent.
};

/// Stable lower-case name of \p end, as written to log lines and metrics.
const char *name(GatherEnd end) noexcept;

/// Parameters of one request.
struct GatherParameters {
    /// Number of shards that the request is sent to; 1 for a request to a single searcher.
    std::size_t partCount = 1;
    /// Number of parts that must be answered for the request to succeed.
    std::size_t minParts = 1;
    /// Maximum number of searchers that may run one part.
    std::uint32_t maxAttempts = 1;
    /// False if a call that may have run must not be sent again.
    bool isIdempotent = true;
    /// Time after which an unanswered call is also sent to a second searcher.
    Duration hedgeDelay{0};
    /// From this time on, an answer with minParts parts is sent without waiting for the rest.
    TimePoint targetAt;
    /// If no call was sent by this time, the request is refused.
    TimePoint refuseAt;
    /// The request ends at this time at the latest.
    TimePoint deadline;
};

/// Callbacks from Gather to its owner.
struct GatherHooks {
    /// Returns how soon a searcher could take a call for \p part.
    std::function<Room(std::size_t part)> room;
    /// Sends \p part to a searcher that has not had it yet, either now or when one is free.
    std::function<Placement(std::size_t part, CallPurpose purpose)> place;
    /// Called once, when the request ends. \p end is Answered only if at least minParts parts were answered.
    std::function<void(GatherEnd end)> finish;
};

/// State machine of one request that consists of one or more parts.
///
/// No call is sent until the searchers of minParts parts have room: most of them now and the rest soon. This way a
/// query does not hold searchers of some shards while it waits for others, and a query that cannot start can be refused
/// as not run. Then all parts are sent at once, except those that the answer does not need and whose searchers have no
/// turn left for this process. Those are left out and sent only if other parts are late or lost. A late part is hedged
/// and a failed part is retried, on other searchers and within maxAttempts. The request ends as soon as its outcome
/// cannot improve in time: when every part is answered or lost, when minParts can no longer be reached, at targetAt if
/// minParts parts are answered, or at the deadline.
///
/// \code
/// Gather gather(parameters, hooks);
/// const bool isStarted = gather.start(now);
/// gather.onAnswered(now, part);
/// gather.onTimer(now);
/// \endcode
class Gather
{
public:
    Gather(const GatherParameters &parameters, GatherHooks hooks);

    /// Sends the parts. \return false if too few parts have room. In that case nothing was sent, and start() may be
    /// called again.
    bool start(TimePoint now);

    /// If no call was sent, ends the request as Unserved.
    void refuse();

    /// Must be called when a waiting call of \p part has been sent.
    void onPlaced(TimePoint now, std::size_t part);

    /// Marks all waiting parts as lost, as they will not be sent.
    void giveUpWaiting(TimePoint now);

    /// Must be called when a call has answered \p part.
    void onAnswered(TimePoint now, std::size_t part);

    /// Must be called when a call of \p part has failed. \param ran whether the searcher may have run it. If it did not
    /// run, the call does not count towards maxAttempts.
    void onFailed(TimePoint now, std::size_t part, Ran ran);

    /// Ends the request as at its deadline: with the parts that are answered, if they suffice.
    void expire();

    /// Hedges late parts and ends the request at refuseAt, targetAt or the deadline. Must be called at wakeAt().
    void onTimer(TimePoint now);

    /// When onTimer() must be called next; empty once the request has ended.
    std::optional<TimePoint> wakeAt() const;

    bool isFinished() const noexcept { return isFinished_; }
    /// True if some call is in flight.
    bool hasOpenCalls() const noexcept;
    std::size_t answeredParts() const noexcept { return answered_; }
    /// Number of parts that were not sent because their searchers had no room and the answer did not need them.
    std::size_t leftOutParts() const noexcept { return leftOut_; }
    bool isAnswered(std::size_t part) const { return parts_[part].state == State::Answered; }
    /// True if a searcher may have run some call.
    bool mayHaveRun() const noexcept { return mayHaveRun_; }

private:
    enum class State {
        Idle,
        LeftOut,
        Waiting,
        Running,
        Answered,
        Lost,
    };

    struct Part {
        State state = State::Idle;
        Room room = Room::None;
        std::uint32_t openCalls = 0;
        /// Calls that may have run or may still run.
        std::uint32_t attempts = 0;
        TimePoint sentAt;
        bool isHedged = false;
    };

    void place(TimePoint now, std::size_t part, CallPurpose purpose);
    void leaveOutQueuedParts(std::size_t includedParts);
    void sendLeftOutPart(TimePoint now, Room minRoom);
    std::size_t possibleParts() const noexcept;
    void markLost(std::size_t part);
    void endIfDecided(TimePoint now);
    void hedgeLateParts(TimePoint now);
    bool mayHedge(const Part &part) const noexcept;
    void finish(GatherEnd end);

    GatherParameters parameters_;
    GatherHooks hooks_;
    std::vector<Part> parts_;
    std::size_t answered_ = 0;
    std::size_t lost_ = 0;
    /// Number of parts that are sent only if others are late or lost.
    std::size_t leftOut_ = 0;
    std::size_t sent_ = 0;
    bool mayHaveRun_ = false;
    bool isFinished_ = false;
    bool isStarting_ = false;
};

} // namespace sassafrasvane
