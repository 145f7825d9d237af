#pragma once

#include "base/time.h"
#include "catalog/searcherentry.h"
#include "placement/incarnationstate.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

/// \file
/// State and statistics of one searcher, as this process observes it.

namespace sassafrasvane
{

/// Load that a searcher reports about itself. The first three members count calls.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes at the searcher at this moment, in multiples of what is usual there.
    std::optional<double> relativeWorkTime{};
};

/// How a call to a searcher ended.
enum class CallEnd {
    Answered,      ///< The searcher returned a valid answer.
    Rejected,      ///< The searcher replied that it did not run the call.
    WrongSearcher, ///< Another searcher listens on the address.
    ServerError,   ///< The searcher replied with an error or an invalid answer; it may have run the call.
    Broken,        ///< The connection was lost after the call was sent.
    Crashed,       ///< The connection was lost after the call was sent, and opening a new one failed with an error.
    NotConnected,  ///< No connection could be opened; nothing was sent.
    TimedOut,      ///< The answer did not arrive in time.
    Cancelled,     ///< The answer is no longer needed. Does not count as a failure of the searcher.
};

/// Stable lower-case name of \p end, as written to log lines.
const char *name(CallEnd end) noexcept;

/// A searcher with the statistics from this process's own calls to it.
///
/// Searchers are compared by the expected duration of a call. To make calls of different routes comparable, all
/// relative values are multiples of the typical duration of the call's route.
class TrackedSearcher
{
public:
    /// \param state what the searcher asks of its callers, known from an earlier registration of the same process.
    TrackedSearcher(TimePoint now,
                    const SearcherEntry &entry,
                    std::shared_ptr<IncarnationState> state = std::make_shared<IncarnationState>());

    const SearcherEntry &entry() const noexcept { return entry_; }

    /// Applies a newer registration of the same searcher process.
    void update(TimePoint now, const SearcherEntry &entry);

    /// True if the searcher has started recently and is still cold.
    bool isCold(TimePoint now) const noexcept { return now < coldUntil_; }

    /// True if the searcher gets no calls for now because of failures.
    bool isBlocked(TimePoint now) const noexcept { return now < blockedUntil_; }

    /// True if the searcher could not be reached. It gets no calls until a connection to it has been opened.
    bool isUnreachable() const noexcept { return isUnreachable_; }

    /// Records that a connection to an unreachable searcher has been opened.
    void onReachable(TimePoint now);

    /// Records that no connection to the searcher could be opened.
    void onUnreachable(TimePoint now);

    /// Time until which the searcher is blocked.
    TimePoint blockedUntil() const noexcept { return blockedUntil_; }

    /// Number of open calls of this process.
    std::size_t openCalls() const noexcept { return calls_.size(); }

    /// Records the start of a call. \param typicalDuration typical duration of a call of the route. \return the number
    /// of the call, for endCall().
    std::uint64_t beginCall(TimePoint now, Duration typicalDuration);

    /// Records the end of call \p number; an unknown number is ignored. \param load load report of the searcher, if its
    /// reply had one.
    void endCall(TimePoint now, std::uint64_t number, CallEnd end, std::optional<LoadReport> load);

    /// True if an open call has taken much longer than expected: the searcher may hang.
    bool isOverdue(TimePoint now) const noexcept;

    /// Time that a call waits for a slot according to the last load report, in multiples of the typical duration; 0 if
    /// the report is stale.
    double relativeQueueWait(TimePoint now) const noexcept
    {
        return now < queueReportValidUntil_ ? relativeQueueWait_ : 0;
    }

    /// True if this process has not used up its share of the rate that the searcher sustains.
    bool hasTurn(TimePoint now) const noexcept { return now >= nextTurnAt_; }

    /// Records that this process has used its turn. \param turn interval between two turns.
    void takeTurn(TimePoint now, Duration turn) noexcept;

    /// The rate limit that the searcher states for all VMs together.
    StatedLimit &statedLimit() noexcept { return state_->statedLimit; }
    const StatedLimit &statedLimit() const noexcept { return state_->statedLimit; }

    /// True if the rate of calls is limited: the searcher states a limit, or recovers from one.
    bool isLimited(TimePoint now) const noexcept { return statedLimit().isInForce() || state_->recovery.isActive(now); }

    /// This VM's share of the limited rate; meaningful while isLimited().
    PacedShare &pacedShare() noexcept { return state_->pacedShare; }
    const PacedShare &pacedShare() const noexcept { return state_->pacedShare; }

    /// True if the searcher leaves, according to its registration or to one of its replies.
    bool isLeaving() const noexcept { return entry_.isLeaving || state_->isLeaving; }

    /// True if the searcher has asked this VM for a pause that has not ended.
    bool isPaused(TimePoint now) const noexcept { return state_->pause.isInForce(now); }

    /// What the searcher asks of its callers.
    const std::shared_ptr<IncarnationState> &incarnationState() const noexcept { return state_; }

    /// True if the limited rate, if there is one, lets this VM send a call now.
    bool isWithinLimit(TimePoint now) const noexcept { return !isLimited(now) || pacedShare().mayCall(now); }

    /// True if this VM's share of the limited rate, if there is one, is not used up by the calls that come.
    bool hasSpareCalls(TimePoint now) const noexcept { return !isLimited(now) || pacedShare().headroom(now) >= 1; }

    /// Expected time that a call occupies a slot, without the wait for the slot, in multiples of the typical duration.
    double relativeServiceTime(TimePoint now) const noexcept { return relativeServiceTime_ * workTime(now); }

    /// Expected relative work time (LoadReport::relativeWorkTime): the last report counts less the older it is, and the
    /// average of the reports counts instead. 1 if there are no reports.
    double workTime(TimePoint now) const noexcept;

    /// Expected duration of one more call including its wait for a slot, in multiples of the typical duration.
    double relativeExpectedTime(TimePoint now) const noexcept { return expectation(now).time; }

    /// The same as far as the last report and the calls of this process tell. Unlike the mean of earlier reports, these
    /// are reason enough to hold a call back.
    double relativeReportedTime(TimePoint now) const noexcept;

    /// What one more call is expected to take, in multiples of the typical duration.
    struct Expectation {
        /// The duration including the wait for a slot.
        double time = 1;
        /// The same without single slow calls. Decides whether a call leaves its failure domain.
        double steadyTime = 1;
        /// The duration plus penalties for recent failures and for an overdue call.
        double cost = 1;
        /// True if an open call has taken much longer than expected, as isOverdue().
        bool isOverdue = false;
    };

    /// Computes all of them at once, as each call asks for each replica.
    Expectation expectation(TimePoint now) const noexcept;

    /// Expected cost of one more call.
    double cost(TimePoint now) const noexcept { return expectation(now).cost; }

    /// Number of consecutive failures.
    std::uint32_t failuresInRow() const noexcept { return failuresInRow_; }

    /// Moving average of the share of calls that fail. Decays towards 0 over time.
    double failureShare(TimePoint now) const noexcept;

    /// Expected call duration in multiples of the typical duration: the moving average of the call durations, which
    /// decays towards 1, times workTime().
    double slowness(TimePoint now) const noexcept;

private:
    struct OpenCall {
        std::uint64_t number = 0;
        TimePoint startedAt;
        Duration typicalDuration{0};
        TimePoint overdueAt;
    };

    void onSuccess(TimePoint now, double relativeTime);
    double usualSlowness(TimePoint now) const noexcept;
    void addWorkTime(TimePoint now, double workTime) noexcept;
    void onFailure(TimePoint now, const OpenCall &call, CallEnd end);
    void block(TimePoint now, std::uint32_t doublings, Duration maxTime);
    void addLoad(TimePoint now, const LoadReport &load);
    void addOtherCalls(TimePoint now, double calls) noexcept;
    void addServiceTime(double relativeTime, const LoadReport &load) noexcept;
    void addSlownessSample(TimePoint now, double sample);
    double medianWithFormer(double sample) noexcept;
    void addFailureSample(TimePoint now, double sample);
    double reportedCalls(TimePoint now) const noexcept;
    double expectedCalls(TimePoint now) const noexcept;
    double relativeSlotWait(double calls) const noexcept;

    SearcherEntry entry_;
    std::vector<OpenCall> calls_;
    std::uint64_t lastNumber_ = 0;
    /// Moving average of the call durations, each divided by the relative work time that came with it.
    double slowness_ = 1;
    TimePoint slownessAt_;
    /// As slowness_, of the median of the last three samples: searchers pause for a moment now and then, and one slow
    /// call says little of the next ones.
    double steadySlowness_ = 1;
    std::array<double, 2> formerSamples_{1, 1};
    /// Relative work time in the last report that had one, and the moving average of all.
    double workTime_ = 1;
    double meanWorkTime_ = 1;
    TimePoint workTimeAt_;
    bool hasWorkTime_ = false;
    double failureShare_ = 0;
    TimePoint failureAt_;
    std::uint32_t failuresInRow_ = 0;
    TimePoint blockedUntil_;
    bool isUnreachable_ = false;
    /// Time of the last reply of any kind.
    TimePoint lastReplyAt_;
    TimePoint coldUntil_;
    /// Calls of other processes at the searcher, according to the last load report.
    double otherProcessCalls_ = 0;
    /// Moving average of the calls of other processes.
    double meanOtherCalls_ = 0;
    TimePoint loadReportedAt_;
    double relativeQueueWait_ = 0;
    TimePoint queueReportValidUntil_;
    TimePoint nextTurnAt_;
    double relativeServiceTime_ = 1;
    std::shared_ptr<IncarnationState> state_;
};

} // namespace sassafrasvane
