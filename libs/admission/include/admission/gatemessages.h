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

/// A call that wants to be sent.
struct GateRequest {
    CallId call;
    ClassIndex cls;
    /// The call is worthless after this time.
    TimePoint deadline;
    /// A hedge or a retry: gives way to first calls.
    bool isExtra = false;
};

/// How a call that was started came back. It is reported only when the server cannot run the call any more: its reply
/// was read, its connection is closed or its deadline has passed.
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
    /// True if the connection broke or was refused, so that the server may have restarted.
    bool isConnectionLost = false;
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

} // namespace sassafrasvane
