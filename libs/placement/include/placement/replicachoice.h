#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>
#include <span>

/// \file
/// Chooses among the searchers that can take a call.

namespace sassafrasvane
{

/// A searcher that can take a call.
struct ReplicaCandidate {
    /// Expected cost of the call, in multiples of its typical duration. It includes penalties for failures.
    double cost = 1;
    /// Expected duration of the call including its wait for a slot.
    Duration expectedTime{0};
    /// Share of recent calls that failed, from 0 to 1.
    double failureShare = 0;
    /// True if the searcher is in the failure domain of this VM.
    bool isLocal = false;
    /// True if the searcher may be preferred for being local: it is not cold, limited or overdue, and its last call
    /// did not fail.
    bool isSound = true;
};

/// Why a searcher was chosen.
enum class ChoiceReason {
    Local,         ///< It is in the failure domain of this VM, and there is time to spare.
    TimeShort,     ///< The local searchers would use too much of the time left, so all searchers competed.
    LocalImpaired, ///< The local searchers are not sound, so all searchers competed.
    NoneLocal,     ///< No local searcher can take the call.
    Unrestricted,  ///< The call has no target, or it is a retry or a hedge, so all searchers competed.
};

/// Number of values of ChoiceReason.
constexpr std::size_t choiceReasonCount = 5;

/// Stable lower-case name of \p reason, as written to metrics and log lines.
const char *name(ChoiceReason reason) noexcept;

/// The searcher that was chosen among candidates.
struct ReplicaChoice {
    /// Position in the list of candidates.
    std::size_t index = 0;
    ChoiceReason reason = ChoiceReason::Unrestricted;
};

/// Chooses one of \p candidates. A call stays local if it would take neither too large a part of the time that is left
/// at some sound local searcher, nor longer there than elsewhere by too large a part. It then goes to the cheapest
/// local searcher, sound or not, so that one that has recovered is called again. Otherwise all candidates compete by
/// cost.
///
/// \param timeLeft time until the target of the request; nothing if local searchers are not preferred.
/// \param caution random number in [0, 1). It makes the preference for local searchers fade gradually: a part of the
/// calls that corresponds to the urgency competes, and the rest stays local.
/// \return nothing if there are no candidates.
///
/// \code
/// const std::optional<ReplicaChoice> choice = chooseReplica(candidates, timeLeft, random.unit());
/// \endcode
std::optional<ReplicaChoice> chooseReplica(std::span<const ReplicaCandidate> candidates,
                                           std::optional<Duration> timeLeft,
                                           double caution) noexcept;

} // namespace sassafrasvane
