#pragma once

#include "admission/latencyhistogram.h"
#include "base/time.h"
#include "settings/published.h"

#include <cstddef>
#include <cstdint>
#include <optional>

/// \file
/// Turns the targets of a class into the bounds of its queries.

namespace sassafrasvane
{

/// Bounds of one query, as delays from its start.
struct QueryBounds {
    /// The answer goes out by then with whatever was merged.
    Duration deadline{0};
    /// Parts without an answer are hedged then; equal to the deadline if there is nothing to hedge with.
    Duration hedgeDelay{0};
    /// From then on the answer may go out when \ref quorum is covered.
    Duration earlyStopDelay{0};
    /// Coverage that is complete enough, in (0, 1].
    double quorum = 1;
};

/// What a finished query came to.
struct QuerySample {
    /// Time from its arrival to its answer, whatever was spent outside of the query included.
    Duration latency{0};
    double coverage = 1;
    /// Share of the key space for which a server could be asked at all.
    double reachableShare = 1;
    std::size_t neededCalls = 0;
    std::size_t extraCalls = 0;
};

/// Why the targets cannot be met together.
enum class ConflictCause {
    Slow,           ///< Too many servers answer after the latency target.
    ExtraLoadSpent, ///< More hedges and retries would help, but the extra-load target is used up.
    Unreachable,    ///< Parts of the index have no server that may be asked.
};

/// Stable lower-case name of \p cause, for metrics, answers and log lines.
const char *name(ConflictCause cause) noexcept;

/// Stable lower-case name of the target that gave way.
const char *name(GivesWay target) noexcept;

/// That the targets are not met together, as measured over the last control period.
struct TargetConflict {
    /// The target that is missed.
    GivesWay missedTarget = GivesWay::Coverage;
    ConflictCause cause = ConflictCause::Slow;
    /// Latency at the target's percentile.
    Duration latency{0};
    /// Share of the answers whose coverage was below the target's completeness.
    double incompleteShare = 0;
    /// Least coverage of an answer.
    double minCoverage = 1;
    /// Extra calls over needed calls.
    double extraLoad = 0;
};

/// Keeps one class at its targets by what its queries measure.
///
/// The extra-load target never gives way. If coverage gives way, the deadline stays within the latency target and the
/// answer goes out as soon as it is complete enough. If latency gives way, the deadline is stretched, up to
/// maxStretch(), until the answers are complete. Both move once a control period by bounded steps. A bound that was
/// moved is moved back only after several good periods, and after each attempt that fails the next one waits twice as
/// long, so the controller does not oscillate. The hedge delay follows the quantile of the calls' latencies that
/// leaves as many calls to hedge as the extra-load target allows (Dean and Barroso, "The tail at scale", 2013).
///
/// \code
/// ClassController controller(target, GivesWay::Coverage);
/// const ClassTerms terms = controller.terms();
/// controller.onCall(callLatency);
/// controller.onQuery(sample);
/// if (const std::optional<TargetConflict> conflict = controller.conflict()) { ... }
/// \endcode
class ClassController
{
public:
    /// Queries in a control period.
    static constexpr std::uint32_t queriesPerPeriod() noexcept { return 200; }

    /// The longest deadline, as a multiple of the latency target, if latency gives way.
    static constexpr double maxDeadlineStretch() noexcept { return 4; }

    /// The longest deadline as a fraction of the latency target, if coverage gives way: the rest is for merging and
    /// sending the answer.
    static constexpr double maxDeadlineFraction() noexcept { return 0.9; }

    /// The shortest deadline as a fraction of the latency target.
    static constexpr double minDeadlineFraction() noexcept { return 0.5; }

    /// \param target a valid target. \param givesWay the one that yields.
    ClassController(const ClassTarget &target, GivesWay givesWay) noexcept;

    /// Takes new targets. What was measured of the calls is kept.
    void setTarget(const ClassTarget &target, GivesWay givesWay) noexcept;

    /// Notes the latency of a call that was answered, or the time for which one ran that was given up.
    void onCall(Duration latency) noexcept { calls_.add(latency); }

    /// Notes a finished query.
    void onQuery(const QuerySample &sample) noexcept;

    /// The bounds for the next query.
    const QueryBounds &bounds() const noexcept { return bounds_; }

    /// Which target gives way at present, and why; nothing while all are met.
    const std::optional<TargetConflict> &conflict() const noexcept { return conflict_; }

private:
    /// What one control period measured.
    struct Period {
        std::uint32_t queries = 0;
        std::uint32_t late = 0;
        std::uint32_t incomplete = 0;
        std::uint32_t unreachable = 0;
        double minCoverage = 1;
        std::uint64_t neededCalls = 0;
        std::uint64_t extraCalls = 0;
    };

    enum class Level {
        Good,
        Acceptable,
        Bad,
    };

    void endPeriod() noexcept;
    bool isFailedProbe() const noexcept;
    Level levelOf(std::uint32_t misses) const noexcept;
    void holdLatencyTarget(Level latency) noexcept;
    void holdCoverageTarget(Level latency, Level coverage) noexcept;
    void shortenDeadline() noexcept;
    void updateConflict(Level latency, Level coverage) noexcept;
    void updateHedgeDelay() noexcept;
    void updateBounds() noexcept;
    double extraLoad() const noexcept;

    ClassTarget target_;
    GivesWay givesWay_ = GivesWay::Coverage;
    QueryBounds bounds_;
    /// Deadline over the latency target.
    double deadlineFactor_ = 1;
    /// Multiplies the share of calls that are left to hedge.
    double hedgeFactor_ = 1;
    double quorum_ = 1;
    LatencyHistogram calls_;
    LatencyHistogram queries_;
    Period period_;
    /// Periods in a row with room to spare.
    std::uint32_t goodPeriods_ = 0;
    /// Good periods before the next such attempt.
    std::uint32_t requiredGoodPeriods_ = 1;
    /// The last change of the deadline was an attempt that may fail.
    bool isProbing_ = false;
    std::optional<TargetConflict> conflict_;
};

} // namespace sassafrasvane
