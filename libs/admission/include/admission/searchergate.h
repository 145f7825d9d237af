#pragma once

#include "admission/coldstart.h"
#include "admission/concurrencylimit.h"
#include "admission/deadlinequeue.h"
#include "admission/gatemessages.h"
#include "admission/servicetime.h"
#include "settings/published.h"
#include "shardmap/holders.h"

#include <optional>
#include <vector>

/// \file
/// Admission control of this daemon for one searcher.

namespace sassafrasvane
{

/// Limits the number of calls that this daemon runs at one searcher.
///
/// The searcher's slots are divided among its holders by HolderShare, so that the sum over all holders stays within
/// the slots without any messages. Within its share, the gate adapts to the searcher: a cold searcher gets its cold
/// allowance (see ColdStart), one that queues, refuses or fails gets fewer concurrent calls (see ConcurrencyLimit).
/// Further calls wait in a bounded queue ordered by deadline, first calls before extra ones. A call that cannot be
/// served before its deadline is refused at once; a call whose deadline passes while it waits is refused then. A
/// refused call has never been sent. Every offered call gets exactly one start or one refusal, unless cancel() removed
/// it.
///
/// \code
/// SearcherGate gate = SearcherGate::Builder().limits(limits).share(share).becameHolderAt(now).build();
/// gate.offer(now, request, actions);
/// gate.onResult(now, result, actions);
/// \endcode
class SearcherGate
{
public:
    class Builder;

    /// Time for which an added share stays unused. It is longer than the 3 s within which the former holder stops
    /// starting calls, plus the time for which its last calls may run.
    static constexpr Duration holdOff() noexcept { return std::chrono::seconds(6); }

    /// Max transit time of a peer's report; the age that onPeerWarmth() assumes by default.
    static constexpr Duration maxReportAge() noexcept { return std::chrono::seconds(1); }

    /// Starts, queues or refuses a call.
    void offer(TimePoint now, const GateRequest &request, GateActions &actions);

    /// Handles the end of a call that was started. The result of a call that is not running is ignored.
    void onResult(TimePoint now, const GateResult &result, GateActions &actions);

    /// Handles a started call that was certainly not sent, for a reason unrelated to the searcher: its slot becomes
    /// free, and no limit changes.
    void onNotSent(TimePoint now, CallId call, GateActions &actions);

    /// Removes a waiting call. \return false if it is not waiting. A running call ends by onResult() or onNotSent()
    /// only.
    bool cancel(TimePoint now, CallId call, GateActions &actions);

    /// Refuses waiting calls whose deadline has passed and starts the calls that may start now.
    void onTimer(TimePoint now, GateActions &actions);

    /// Applies new limits or a new share. A smaller share applies at once, a larger one after holdOff(). Running calls
    /// are not affected.
    void setShare(TimePoint now, const BackEndLimits &limits, HolderShare share, GateActions &actions);

    /// Starts no call before holdOff() is over. To be called when this daemon may have missed a published table,
    /// because it was paused or disconnected while more than one was published: another daemon may have been holder in
    /// between.
    void suspend(TimePoint now) noexcept;

    /// Handles another holder's report on the same searcher.
    /// \param age upper bound of the time since WarmthReport::confirmedAt, transit included.
    void onPeerWarmth(TimePoint now, Incarnation incarnation, std::uint32_t allowance, Duration age = maxReportAge());

    /// Handles the answer of the searcher's process to a health check that was sent at \p askedAt. A check every second
    /// while no calls run keeps the level of an idle searcher confirmed, and the holders of higher rank need not wait
    /// for a report.
    void onAlive(TimePoint now, TimePoint askedAt, Incarnation incarnation) noexcept;

    /// Handles an idle connection that the searcher closed or that broke: the searcher may have restarted.
    void onConnectionLost(TimePoint now) noexcept;

    /// The report to send to the other holders, or nothing.
    std::optional<WarmthReport> warmth() const noexcept { return cold_.warmth(); }

    /// Refuses all waiting calls, for a daemon that stops or is no longer a holder.
    void refuseAll(Errc reason, GateActions &actions);

    /// Max number of calls that may run at \p now.
    std::uint32_t concurrency(TimePoint now) const noexcept;

    /// Why the searcher's allowance is below its slots; ColdCause::None if it is not.
    ColdCause coldCause(TimePoint now) const noexcept { return cold_.cause(now); }

    /// Number of running calls.
    std::size_t running() const noexcept { return running_.size(); }

    /// Number of waiting calls.
    std::size_t waiting() const noexcept { return queue_.size(); }

private:
    /// A former share, which still limits the calls for holdOff() after its replacement.
    struct EarlierShare {
        HolderShare share;
        TimePoint until;
    };

    SearcherGate();
    void dispatch(TimePoint now, GateActions &actions);
    void startNext(TimePoint now, std::uint32_t allowed, GateActions &actions);
    void setWakeUp(TimePoint now, GateActions &actions) const;
    bool canMeetDeadline(TimePoint now, const GateRequest &request, std::uint32_t allowed) const noexcept;
    Duration queueTime(std::size_t ahead, std::uint32_t allowed) const noexcept;
    Duration retryAfter(TimePoint now, std::uint32_t allowed) const noexcept;
    bool isRunning(CallId call) const noexcept;
    void recordResult(TimePoint now, const GateResult &result);
    void recordAnswer(TimePoint now, const GateResult &result);

    BackEndLimits limits_;
    HolderShare share_;
    std::vector<EarlierShare> earlierShares_;
    /// No call starts before this time.
    TimePoint heldOffUntil_;
    ColdStart cold_;
    ConcurrencyLimit limit_;
    ServiceTime service_;
    DeadlineQueue queue_;
    std::vector<CallId> running_;
};

/// Builds a SearcherGate.
class SearcherGate::Builder
{
public:
    /// The published limits of the searcher.
    Builder &limits(const BackEndLimits &limits);

    /// This daemon's share of them.
    Builder &share(HolderShare share) noexcept;

    /// The daemon became a holder of the searcher at \p now: no call starts before holdOff() is over, because the
    /// former holder may still be sending.
    Builder &becameHolderAt(TimePoint now) noexcept;

    /// \return the gate.
    SearcherGate build() const;

private:
    BackEndLimits limits_;
    HolderShare share_;
    std::optional<TimePoint> becameHolderAt_;
};

} // namespace sassafrasvane
