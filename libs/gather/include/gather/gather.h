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
/// Decides which calls one request needs and when its answer is ready.

namespace sassafrasvane
{

/// Why a part is sent to a searcher.
enum class CallPurpose {
    First, ///< The part's first call.
    Retry, ///< An earlier call failed.
    Hedge, ///< An earlier call is late.
};

/// Stable lower-case name of \p purpose, for log lines.
const char *name(CallPurpose purpose) noexcept;

/// What became of the wish to send a part.
enum class Placement {
    Sent,     ///< The call is on its way.
    Waiting,  ///< All searchers are busy; Gather::onPlaced() or giveUpWaiting() may follow.
    Declined, ///< There is no searcher for it, or no budget for an extra call.
};

/// How a request ends.
enum class GatherEnd {
    Answered, ///< All parts, or enough of them, are there.
    Unserved, ///< Nothing was run, and nothing will be.
    Failed,   ///< Too many parts failed, and some call may have run.
    TimedOut, ///< The deadline has passed, and some call may have run.
};

/// Stable lower-case name of \p end, for log lines.
const char *name(GatherEnd end) noexcept;

/// The parameters of one request.
struct GatherParameters {
    /// Shards that the request goes to; 1 for a request to a single searcher.
    std::size_t partCount = 1;
    /// Parts that an answer must have.
    std::size_t minParts = 1;
    /// Searchers that may run one part.
    std::uint32_t maxAttempts = 1;
    /// False if a call that may have run must not be repeated.
    bool isIdempotent = true;
    /// Time after which an unanswered call is sent to a second searcher as well.
    Duration hedgeDelay{0};
    /// From then on an answer with minParts goes out without waiting for the rest.
    TimePoint targetAt;
    /// A request of which nothing was sent by then is refused.
    TimePoint refuseAt;
    /// The answer must be out by then.
    TimePoint deadline;
};

/// What Gather wants done.
struct GatherHooks {
    /// How soon a searcher could take \p part.
    std::function<Room(std::size_t part)> room;
    /// Sends \p part to a searcher that it has not been sent to, now or when one is free.
    std::function<Placement(std::size_t part, CallPurpose purpose)> place;
    /// The request ends; called once. \p end is Answered only if minParts parts are there.
    std::function<void(GatherEnd end)> finish;
};

/// One request over one or more parts.
///
/// Nothing is sent until the parts that an answer needs have room, most of them now and the rest soon: a query must not
/// hold searchers of some shards while it waits for others, and one that cannot start can be refused as not run. Then
/// every part is sent at once, but for those that an answer can do without and whose searchers have no turn left for
/// this process: they are sent only if others are late or lost. A late part is hedged and a failed one retried, on
/// other searchers and within maxAttempts. The request ends as soon as its outcome cannot improve in time: when every
/// part is answered or lost, when minParts can no longer be reached, at the target if minParts are there, or at the
/// deadline.
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

    /// Sends all parts. \return false if too few of them have room: nothing was sent then, and start() may be called
    /// again.
    bool start(TimePoint now);

    /// Ends a request that could not start.
    void refuse();

    /// A part that was waiting has been sent.
    void onPlaced(TimePoint now, std::size_t part);

    /// The parts that are waiting will not be sent.
    void giveUpWaiting(TimePoint now);

    /// A call has answered \p part.
    void onAnswered(TimePoint now, std::size_t part);

    /// A call of \p part has failed. \param ran whether the searcher may have run it; if not, it is no attempt.
    void onFailed(TimePoint now, std::size_t part, Ran ran);

    /// Hedges late parts, and ends the request at its target or deadline.
    void onTimer(TimePoint now);

    /// When onTimer() wants to be called; nothing once the request has ended.
    std::optional<TimePoint> wakeAt() const;

    bool isFinished() const noexcept { return isFinished_; }
    /// True if some call is on its way.
    bool hasOpenCalls() const noexcept;
    std::size_t answeredParts() const noexcept { return answered_; }
    /// Parts that were not sent, as their searchers were full and the answer could do without them.
    std::size_t leftOutParts() const noexcept { return leftOut_; }
    bool isAnswered(std::size_t part) const { return parts_[part].state == State::Answered; }
    /// True if some call may have run.
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
    /// Parts that are called only if others are late or lost.
    std::size_t leftOut_ = 0;
    std::size_t sent_ = 0;
    bool mayHaveRun_ = false;
    bool isFinished_ = false;
    bool isStarting_ = false;
};

} // namespace sassafrasvane
