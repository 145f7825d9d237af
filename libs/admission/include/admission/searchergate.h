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
/// The limits that this daemon keeps towards one searcher.

namespace sassafrasvane
{

/// Bounds the calls that this daemon runs at one searcher.
///
/// The searcher's slots are divided among its holders by HolderShare, so that the sum over all holders stays within
/// them without any message. Within its share the gate follows the searcher: a cold one gets its cold allowance (see
/// ColdStart), one that queues, refuses or fails gets fewer calls at a time (see ConcurrencyLimit). Calls over that
/// wait in a bounded queue by deadline, first calls before extra ones. A call that cannot be served before its deadline
/// is refused at once, one whose deadline passes while it waits is refused then; a refused call provably did not run.
/// Every offered call gets exactly one start or one refusal, unless cancel() took it out.
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

    /// Time for which an added share stays unused: longer than the 3 s within which the former holder stops starting
    /// calls, plus the time for which its last calls may run.
    static constexpr Duration holdOff() noexcept { return std::chrono::seconds(6); }

    /// Longest transit of a peer's report that onPeerWarmth() assumes when it is not told.
    static constexpr Duration maxReportAge() noexcept { return std::chrono::seconds(1); }

    /// Takes a call that wants to be sent.
    void offer(TimePoint now, const GateRequest &request, GateActions &actions);

    /// Takes the end of a call that was started. The end of a call that does not run is ignored.
    void onResult(TimePoint now, const GateResult &result, GateActions &actions);

    /// A call that was started was provably not sent, for a reason that says nothing of the searcher.
    void onNotSent(TimePoint now, CallId call, GateActions &actions);

    /// Drops a waiting call. \return false if it is not waiting. A running call ends by onResult() only.
    bool cancel(TimePoint now, CallId call, GateActions &actions);

    /// Refuses waiting calls whose deadline has passed and starts what may start by now.
    void onTimer(TimePoint now, GateActions &actions);

    /// Takes new limits or a new share. A smaller share applies at once, a larger one after holdOff(). Calls that run
    /// are not touched.
    void setShare(TimePoint now, const BackEndLimits &limits, HolderShare share, GateActions &actions);

    /// Starts nothing before holdOff() is over. To be called when this daemon may have missed a published table, as it
    /// slept or was cut off while more than one came out: another daemon may have been holder in between.
    void suspend(TimePoint now) noexcept;

    /// Takes another holder's report on the same searcher.
    /// \param age upper bound of the time since WarmthReport::confirmedAt, transit included.
    void onPeerWarmth(TimePoint now, Incarnation incarnation, std::uint32_t allowance, Duration age = maxReportAge());

    /// The searcher's process itself answered a health check that was sent at \p askedAt. Asked every second while no
    /// calls run, an idle searcher is not in doubt, and the holders of higher rank need not wait for a report.
    void onAlive(TimePoint now, TimePoint askedAt, Incarnation incarnation) noexcept;

    /// An idle connection to the searcher was closed by its end or broke: it may have restarted.
    void onConnectionLost(TimePoint now) noexcept;

    /// What to tell the other holders, or nothing.
    std::optional<WarmthReport> warmth() const noexcept { return cold_.warmth(); }

    /// Refuses all waiting calls, for a daemon that stops or is no holder any more.
    void refuseAll(Errc reason, GateActions &actions);

    /// Calls that may run at \p now.
    std::uint32_t concurrency(TimePoint now) const noexcept;

    /// Why the searcher is not used in full; None if it is.
    ColdCause coldCause(TimePoint now) const noexcept { return cold_.cause(now); }

    /// Calls that run now.
    std::size_t running() const noexcept { return running_.size(); }

    /// Calls that wait now.
    std::size_t waiting() const noexcept { return queue_.size(); }

private:
    /// A share that counts for a time after it was replaced.
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

/// Collects what a SearcherGate needs.
class SearcherGate::Builder
{
public:
    /// The published limits of the searcher.
    Builder &limits(const BackEndLimits &limits);

    /// This daemon's share of them.
    Builder &share(HolderShare share) noexcept;

    /// The daemon became a holder of the searcher at \p now: nothing starts before holdOff() is over, as the former
    /// holder may still be sending.
    Builder &becameHolderAt(TimePoint now) noexcept;

    /// \return the gate.
    SearcherGate build() const;

private:
    BackEndLimits limits_;
    HolderShare share_;
    std::optional<TimePoint> becameHolderAt_;
};

} // namespace sassafrasvane
