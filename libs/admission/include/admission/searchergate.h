#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "settings/published.h"
#include "shardmap/holders.h"

#include <optional>
#include <vector>

/// \file
/// The limits that this daemon keeps towards one searcher.

namespace sassafrasvane
{

/// A call that wants to be sent.
struct GateRequest {
    CallId call;
    ClassIndex cls;
    /// The call is worthless after this time.
    TimePoint deadline;
    /// A hedge or a retry: gives way to first calls.
    bool isExtra = false;
};

/// How a call that was started came back.
struct GateResult {
    CallId call;
    enum class End {
        Answered,
        Refused, ///< The server refused without running it.
        Failed,  ///< Connection lost, timed out or undecodable.
    };
    End end = End::Failed;
    /// Time from start to end.
    Duration latency{0};
    /// The server's incarnation as it says in the reply; 0 if it says none.
    Incarnation incarnation;
    /// True if the server's refusal says that it is cold.
    bool saysCold = false;
    /// The server's own load report, only a hint: requests running and waiting. Negative if none.
    int reportedLoad = -1;
};

/// A call that is turned away without having been sent.
struct GateRefusal {
    CallId call;
    Errc reason = Errc::Overloaded;
    /// When it may be worth asking again.
    Duration retryAfter{0};
};

/// What the gate wants done after an event. The caller clears it before the next one.
struct GateActions {
    /// Calls to send now, in this order.
    std::vector<CallId> start;
    std::vector<GateRefusal> refuse;
    /// When onTimer() wants to be called.
    std::optional<TimePoint> wakeAt;

    /// Empties all lists.
    void clear() noexcept;
};

/// Bounds the calls that this daemon runs at one searcher.
///
/// The searcher's slots are divided among its holders by HolderShare, so that the sum over all holders stays within
/// them without any message. Calls over the share wait in a bounded queue in the order of their deadlines; a call whose
/// deadline passes while it waits is refused, which provably means that it did not run.
///
/// \code
/// SearcherGate gate = SearcherGate::Builder().limits(limits).share(share).build();
/// gate.offer(now, request, actions);
/// gate.onResult(now, result, actions);
/// \endcode
class SearcherGate
{
public:
    class Builder;

    /// Takes a call that wants to be sent.
    void offer(TimePoint now, const GateRequest &request, GateActions &actions);

    /// Takes the end of a call that was started.
    void onResult(TimePoint now, const GateResult &result, GateActions &actions);

    /// Drops a waiting call. \return false if it is not waiting.
    bool cancel(TimePoint now, CallId call, GateActions &actions);

    /// Refuses waiting calls whose deadline has passed.
    void onTimer(TimePoint now, GateActions &actions);

    /// Takes new limits or a new share. Calls that run are not touched.
    void setShare(TimePoint now, const BackEndLimits &limits, HolderShare share, GateActions &actions);

    /// Calls that run now.
    std::size_t running() const noexcept { return running_; }

    /// Calls that wait now.
    std::size_t waiting() const noexcept { return queue_.size(); }

private:
    SearcherGate() = default;
    void pump(TimePoint now, GateActions &actions);

    std::uint32_t concurrency_ = 1;
    std::size_t running_ = 0;
    /// Sorted by deadline, the latest first.
    std::vector<GateRequest> queue_;
};

/// Collects what a SearcherGate needs.
class SearcherGate::Builder
{
public:
    /// The published limits of the searcher.
    Builder &limits(const BackEndLimits &limits);

    /// This daemon's share of them.
    Builder &share(HolderShare share) noexcept;

    /// \return the gate.
    SearcherGate build() const;

private:
    BackEndLimits limits_;
    HolderShare share_;
};

} // namespace sassafrasvane
