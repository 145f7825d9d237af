#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <vector>

/// \file
/// Typed messages into and out of a SearcherGate.

namespace sassafrasvane
{

/// A request to send a call.
struct GateRequest {
    CallId call;
    ClassIndex cls;
    /// The result of the call is of no use after this time.
    TimePoint deadline;
    /// True for a hedge or a retry: first calls go before it.
    bool isExtra = false;
};

/// The result of a call that was started. It is reported only when the server can no longer be running the call: its
/// reply was read, its connection is closed or its deadline has passed.
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
    /// The server's incarnation as given in the reply; 0 if the reply has none.
    Incarnation incarnation;
    /// True if the server gives a cold start as the reason of its refusal.
    bool saysCold = false;
    /// Requests running and waiting, as reported by the server; only a hint. Negative if not reported.
    int reportedLoad = -1;
    /// True if the connection broke or was refused, so that the server may have restarted.
    bool isConnectionLost = false;
};

/// A call that is refused without having been sent.
struct GateRefusal {
    CallId call;
    Errc reason = Errc::Overloaded;
    /// Time after which a retry may succeed.
    Duration retryAfter{0};
};

/// Actions that the caller has to carry out after an event. The caller clears them before the next event.
struct GateActions {
    /// Calls to send now, in this order.
    std::vector<CallId> start;
    std::vector<GateRefusal> refuse;
    /// When SearcherGate::onTimer() has to be called; nothing if no call waits.
    std::optional<TimePoint> wakeAt;

    /// Removes all actions.
    void clear() noexcept;
};

} // namespace sassafrasvane
