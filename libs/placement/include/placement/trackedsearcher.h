#pragma once

#include "base/time.h"
#include "catalog/searcherentry.h"

#include <cstdint>
#include <optional>
#include <vector>

/// \file
/// One searcher as this process has found it.

namespace sassafrasvane
{

/// What a searcher says of its load.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// How a call to a searcher ended.
enum class CallEnd {
    Answered,      ///< The searcher answered as it should.
    Rejected,      ///< The searcher says that it did not run the call.
    WrongSearcher, ///< Another searcher has the address.
    ServerError,   ///< The searcher ran the call and answered with a failure, or with bytes that are no answer.
    Broken,        ///< The connection was lost after the call was sent.
    Crashed,       ///< The connection was lost after the call was sent, and no other one can be opened.
    NotConnected,  ///< No connection could be opened; nothing was sent.
    TimedOut,      ///< No answer in time.
    Cancelled,     ///< Nobody waits for the answer any more; says nothing of the searcher.
};

/// Stable lower-case name of \p end, for log lines.
const char *name(CallEnd end) noexcept;

/// A searcher with what this process's own calls tell of it.
///
/// Searchers are compared by the time that a call is expected to take, in multiples of the usual time of its route.
class TrackedSearcher
{
public:
    TrackedSearcher(TimePoint now, const SearcherEntry &entry);

    const SearcherEntry &entry() const noexcept { return entry_; }

    /// Takes a new registration of the same process.
    void update(TimePoint now, const SearcherEntry &entry);

    /// True if the searcher is cold.
    bool isCold(TimePoint now) const noexcept { return now < coldUntil_; }

    /// True if the searcher is left alone after failures.
    bool isBlocked(TimePoint now) const noexcept { return now < blockedUntil_; }

    /// True if the searcher could not be reached. No call is sent until a connection to it has opened.
    bool isUnreachable() const noexcept { return isUnreachable_; }

    /// Notes that a connection to an unreachable searcher has opened.
    void onReachable(TimePoint now);

    /// Notes that no connection to the searcher could be opened.
    void onUnreachable(TimePoint now);

    /// When the searcher may be tried again.
    TimePoint blockedUntil() const noexcept { return blockedUntil_; }

    /// Calls of this process that are open.
    std::size_t openCalls() const noexcept { return calls_.size(); }

    /// Notes a call. \param typicalDuration usual time of the call's route. \return a number that identifies it.
    std::uint64_t beginCall(TimePoint now, Duration typicalDuration);

    /// Notes the end of call \p number. \param load what the searcher said of its load, if it did.
    void endCall(TimePoint now, std::uint64_t number, CallEnd end, std::optional<LoadReport> load);

    /// True if an open call has taken much longer than usual: the searcher may be standing still.
    bool isOverdue(TimePoint now) const noexcept;

    /// Time that a call waits there for a slot, in multiples of the usual time, as the searcher last told its load; 0
    /// if that was long ago.
    double relativeQueueWait(TimePoint now) const noexcept
    {
        return now < queueReportValidUntil_ ? relativeQueueWait_ : 0;
    }

    /// True if this process has not had its part of what the searcher bears for now.
    bool hasTurn(TimePoint now) const noexcept { return now >= nextTurnAt_; }

    /// Notes that this process has taken its turn. \param turn time until the next one.
    void takeTurn(TimePoint now, Duration turn) noexcept;

    /// Time of a call in its slot, without the wait for it, in multiples of the usual time.
    double relativeServiceTime() const noexcept { return relativeServiceTime_; }

    /// Expected time of one more call with its wait for a slot, in multiples of the usual time.
    double relativeExpectedTime(TimePoint now) const noexcept;

    /// What one more call is expected to cost its request, in multiples of the usual time: beside its own time, that of
    /// failures and of an overdue call.
    double cost(TimePoint now) const noexcept;

    /// Failures in a row.
    std::uint32_t failuresInRow() const noexcept { return failuresInRow_; }

    /// Measured time of calls, in multiples of the usual time; fades towards 1.
    double slowness(TimePoint now) const noexcept;

private:
    struct OpenCall {
        std::uint64_t number = 0;
        TimePoint startedAt;
        Duration typicalDuration{0};
        TimePoint overdueAt;
    };

    void onSuccess(TimePoint now, Duration elapsed, Duration typicalDuration);
    void onFailure(TimePoint now, const OpenCall &call, CallEnd end);
    void block(TimePoint now, std::uint32_t doublings, Duration maxTime);
    void addLoad(TimePoint now, const LoadReport &load);
    void addServiceTime(double relativeTime, const LoadReport &load) noexcept;
    void addSlownessSample(TimePoint now, double sample);
    void addFailureSample(TimePoint now, double sample);
    double failureShare(TimePoint now) const noexcept;
    double expectedCalls(TimePoint now) const noexcept;
    double relativeSlotWait(TimePoint now) const noexcept;

    SearcherEntry entry_;
    std::vector<OpenCall> calls_;
    std::uint64_t lastNumber_ = 0;
    double slowness_ = 1;
    TimePoint slownessAt_;
    double failureShare_ = 0;
    TimePoint failureAt_;
    std::uint32_t failuresInRow_ = 0;
    TimePoint blockedUntil_;
    bool isUnreachable_ = false;
    /// When the searcher last answered anything.
    TimePoint lastReplyAt_;
    TimePoint coldUntil_;
    /// Calls of other processes that the searcher had when it last told its load.
    double otherProcessCalls_ = 0;
    TimePoint loadReportedAt_;
    double relativeQueueWait_ = 0;
    TimePoint queueReportValidUntil_;
    TimePoint nextTurnAt_;
    double relativeServiceTime_ = 1;
};

} // namespace sassafrasvane
