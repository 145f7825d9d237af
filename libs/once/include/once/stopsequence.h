#pragma once

#include "base/error.h"
#include "base/time.h"

#include <cstddef>
#include <optional>
#include <vector>

/// \file
/// The phases of a planned stop.

namespace sassafrasvane
{

/// Where a daemon stands between serving and its exit. The phases come in this order; none is skipped or left out.
enum class StopPhase {
    Serving,     ///< No stop is planned.
    Unadvised,   ///< Left out of the advice and not ready; issues no tickets, but serves all work.
    Refusing,    ///< New work is refused as not run, with Errc::Draining and other addresses.
    Finishing,   ///< Takes no connections; work that was accepted is finished.
    HandingOver, ///< Tells others what they must know.
    Done,        ///< The process exits.
};

/// Stable lower-case name of \p phase, such as "handing_over".
const char *name(StopPhase phase) noexcept;

/// How long the phases last.
struct StopTimes {
    /// The longest lifetime of advice that callers may hold.
    Duration longestAdvice{0};
    /// The lifetime of a ticket. Tickets that expired before the exit cannot have an unknown outcome because of it.
    Duration longestTicket{0};
    /// How long connections are still accepted in order to refuse what crossed the end of the advice.
    Duration refusal = std::chrono::milliseconds(500);
    /// The longest deadline of accepted work. Work that is left afterwards is stuck and is given up.
    Duration longestWork{0};
    /// How long to wait for others to confirm the hand-over.
    Duration handOver = std::chrono::seconds(2);
};

/// What the sequence wants done after an event. The caller clears it before the next one.
struct StopActions {
    /// Phases entered, in order.
    std::vector<StopPhase> entered;
    /// When onTimer() wants to be called.
    std::optional<TimePoint> wakeAt;
    /// Set once, with phase Done: 0, or 1 if stuck work was given up.
    std::optional<int> exitCode;

    /// Empties all lists.
    void clear() noexcept;
};

/// Leads a daemon through a planned stop that cuts off no request.
///
/// The first signal or an operator's order begins the stop. A second one ends the wait for the callers' advice to run
/// out, which cuts nothing off: callers that still come are refused as not run and know other addresses. It shortens
/// nothing else.
///
/// \code
/// StopSequence stop = StopSequence::Builder().times(times).build().value();
/// StopActions actions;
/// stop.onSignal(now, actions);
/// // apply actions.entered; report work by onInFlight(); exit with actions.exitCode once it is set
/// \endcode
class StopSequence
{
public:
    class Builder;

    /// Takes a signal or an operator's order to stop.
    void onSignal(TimePoint now, StopActions &actions);

    /// Takes the present number of accepted requests that are not answered yet, whenever it changes.
    void onInFlight(TimePoint now, std::size_t count, StopActions &actions);

    /// Takes note that others confirmed the hand-over.
    void onHandedOver(TimePoint now, StopActions &actions);

    /// Moves on if the time of the present phase has run out.
    void onTimer(TimePoint now, StopActions &actions);

    /// The present phase.
    StopPhase phase() const noexcept { return phase_; }

    /// What the readiness address says.
    bool isReady() const noexcept { return phase_ == StopPhase::Serving; }

    /// What the liveness address says.
    bool isLive() const noexcept { return phase_ != StopPhase::Done; }

    /// True if new work is accepted rather than refused.
    bool isAccepting() const noexcept { return phase_ <= StopPhase::Unadvised; }

    /// Requests that were given up because they were stuck.
    std::size_t givenUp() const noexcept { return givenUp_; }

private:
    StopSequence() = default;
    void enter(TimePoint now, StopPhase phase, StopActions &actions);
    void advance(TimePoint now, StopActions &actions);

    StopTimes times_;
    StopPhase phase_ = StopPhase::Serving;
    /// When the present phase ends by itself.
    TimePoint phaseEnd_;
    std::size_t inFlight_ = 0;
    std::size_t givenUp_ = 0;
};

/// Collects what a StopSequence needs.
class StopSequence::Builder
{
public:
    /// Sets how long the phases last.
    Builder &times(const StopTimes &times) noexcept;

    /// \return the sequence, or Errc::Internal if a time is negative or there is none for accepted work.
    Result<StopSequence> build() const;

private:
    StopTimes times_;
};

} // namespace sassafrasvane
