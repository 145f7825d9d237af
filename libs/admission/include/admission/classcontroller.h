#pragma once

#include "admission/latencyhistogram.h"
#include "base/time.h"
#include "settings/published.h"

#include <cstddef>
#include <cstdint>
#include <optional>

/// \file
/// Derives the bounds of a class's queries from its targets.

namespace sassafrasvane
{

/// Time limits of one query, as delays from its start, and the coverage at which it may end early.
struct QueryBounds {
    /// The answer is sent at this time at the latest, with the parts that were merged by then.
    Duration deadline{0};
    /// Parts without an answer are hedged at this time; equal to the deadline if the class allows no extra load.
    Duration hedgeDelay{0};
    /// From this time on, the answer may be sent as soon as its coverage reaches \ref quorum.
    Duration earlyStopDelay{0};
    /// Coverage that counts as complete enough, in (0, 1].
    double quorum = 1;
};

/// Measurements of one finished query.
struct QuerySample {
    /// Time from its arrival to its answer, including the time spent outside of the query itself.
    Duration latency{0};
    double coverage = 1;
    /// Share of the key space, in [0, 1], for which at least one server could be called.
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

/// Stable lower-case name of \p target.
const char *name(GivesWay target) noexcept;

/// A conflict between the targets: they could not all be met in the last bad control period.
struct TargetConflict {
    /// The target that is missed.
    GivesWay missedTarget = GivesWay::Coverage;
    ConflictCause cause = ConflictCause::Slow;
    /// Latency at the target's percentile.
    Duration latency{0};
    /// Share of the answers, in [0, 1], whose coverage was below the target's completeness.
    double incompleteShare = 0;
    /// Lowest coverage of an answer.
    double minCoverage = 1;
    /// Ratio of extra calls to needed calls.
    double extraLoad = 0;
};

/// Feedback controller that keeps one class at its targets, based on the measurements of its queries.
///
/// The extra-load target never gives way. If coverage gives way, the deadline stays within the latency target and the
/// answer is sent as soon as it is complete enough. If latency gives way, the deadline is stretched, up to
/// maxDeadlineStretch(), until the answers are complete. Deadline and quorum change once per control period, by bounded
/// steps. A bound that was changed is restored only after several good periods, and each failed attempt doubles the
/// number of good periods before the next one, so that the controller does not oscillate. The hedge delay follows the
/// latency quantile of the calls above which as many calls remain to be hedged as the extra-load target allows (Dean
/// and Barroso, "The tail at scale", 2013).
///
/// \code
/// ClassController controller(target, GivesWay::Coverage);
/// const QueryBounds bounds = controller.bounds();
/// controller.onCall(callLatency);
/// controller.onQuery(sample);
/// if (const std::optional<TargetConflict> conflict = controller.conflict()) { ... }
/// \endcode
class ClassController
{
public:
    /// Queries per control period. A period ends earlier if an attempt to restore a bound has failed.
    static constexpr std::uint32_t queriesPerPeriod() noexcept { return 200; }

    /// The maximum deadline, as a multiple of the latency target, if latency gives way.
    static constexpr double maxDeadlineStretch() noexcept { return 4; }

    /// The maximum deadline as a fraction of the latency target, if coverage gives way. The rest of the target is for
    /// merging and sending the answer.
    static constexpr double maxDeadlineFraction() noexcept { return 0.9; }

    /// The minimum deadline as a fraction of the latency target.
    static constexpr double minDeadlineFraction() noexcept { return 0.5; }

    /// \param target valid targets. \param givesWay the target that may be missed so that the others are met.
    ClassController(const ClassTarget &target, GivesWay givesWay) noexcept;

    /// Replaces the targets and resets the bounds. The measured latencies of the calls are kept.
    void setTarget(const ClassTarget &target, GivesWay givesWay) noexcept;

    /// Records the latency of an answered call, or the running time of a call that was abandoned.
    void onCall(Duration latency) noexcept { calls_.add(latency); }

    /// Records a finished query.
    void onQuery(const QuerySample &sample) noexcept;

    /// The bounds for the next query.
    const QueryBounds &bounds() const noexcept { return bounds_; }

    /// The target that is missed at present, and why; std::nullopt while all targets are met.
    const std::optional<TargetConflict> &conflict() const noexcept { return conflict_; }

private:
    /// Counters of one control period.
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
    /// Ratio of the deadline to the latency target.
    double deadlineFactor_ = 1;
    /// Factor on the extra-load target that gives the share of calls to hedge.
    double hedgeFactor_ = 1;
    double quorum_ = 1;
    LatencyHistogram calls_;
    LatencyHistogram queries_;
    Period period_;
    /// Consecutive good periods.
    std::uint32_t goodPeriods_ = 0;
    /// Consecutive good periods that are needed before the next attempt to restore the deadline.
    std::uint32_t requiredGoodPeriods_ = 1;
    /// True if the last change of the deadline was an attempt to restore it, which may fail.
    bool isProbing_ = false;
    std::optional<TargetConflict> conflict_;
};

} // namespace sassafrasvane
