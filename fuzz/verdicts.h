#pragma once

#include <array>
#include <optional>
#include <string>

/// \file
/// The properties that must always hold, and the failures that an oracle found.

namespace sassafrasvane
{

/// What must always hold.
enum class Property {
    EveryAnswerComesFromOneSnapshot,
    ReportedCoverageIsTheCoverageItHas,
    ColdServerNeverOverloaded,
    DomainTakenOutGetsNoNewWork,
    EachCallerGetsItsOwnWholeAnswer,
    NotRunMeansNotRun,
    NonIdempotentRunsAtMostOnce,
    LeavingServerGetsNoNewWork,
    PlannedStopCutsOffNothing,
    AcceptedConfigurationNeverReverts,
    StoreHistoryIsFollowed,
};

/// The number of properties.
inline constexpr std::size_t propertyCount = 11;

/// Collects the first failure of each property.
class Verdicts
{
public:
    /// Notes a failure of \p property unless \p holds.
    void require(Property property, bool holds, const std::string &what)
    {
        std::optional<std::string> &failure = failures_[static_cast<std::size_t>(property)];
        if (!holds && !failure) {
            failure = what;
        }
    }

    /// The first failure of \p property, or nothing.
    const std::optional<std::string> &failure(Property property) const noexcept
    {
        return failures_[static_cast<std::size_t>(property)];
    }

private:
    std::array<std::optional<std::string>, propertyCount> failures_;
};

} // namespace sassafrasvane
