#pragma once

#include "admission/concurrencylimit.h"
#include "admission/deadlinequeue.h"
#include "admission/servicetime.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "settings/published.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// Admission control of queries at the entry to the system.

namespace sassafrasvane
{

/// A query that asks for admission.
struct EntryRequest {
    QueryId query;
    ClassIndex cls;
    /// The caller cannot use an answer after this time.
    TimePoint deadline;
};

/// Result of a query that was started.
struct EntryResult {
    QueryId query;
    /// Time from its start to its end.
    Duration latency{0};
    /// True if some of its calls were refused for lack of capacity, or if it ended at its deadline.
    bool isOverloaded = false;
};

/// Refusal of a query. The query did not run.
struct EntryRefusal {
    QueryId query;
    Errc reason = Errc::Overloaded;
    /// Delay after which a retry may succeed; 0 unless the reason is Errc::Overloaded.
    Duration retryAfter{0};
};

/// Actions that the caller has to carry out after an event. The caller clears them before the next event.
struct EntryActions {
    /// Queries to start now.
    std::vector<QueryId> start;
    std::vector<EntryRefusal> refuse;
    /// Time at which onTimer() has to be called; std::nullopt if no query waits.
    std::optional<TimePoint> wakeAt;

    /// Removes all actions.
    void clear() noexcept;
};

/// Admission control per class that refuses early the queries that cannot be answered in time.
///
/// Each class has a concurrency limit that adapts to the latency of the class, and a bounded queue ordered by deadline.
/// A query that is expected to miss its deadline, according to the measured latencies, is refused at once. When queues
/// build up at the back end, only classes that run at least their fair share of all queries lower their limits. So a
/// class with little load, such as a lookup, is not starved by an overloaded one, such as a browse.
///
/// The latency of a class counts as too high above twice its floor (the lowest recent mean), or already above half of
/// the class's latency target but no lower than 1.2 times the floor. The second limit is needed because the floor
/// itself rises during a lasting overload.
///
/// \code
/// EntryAdmission entry(configuration.classes);
/// entry.offer(now, request, actions);
/// entry.onFinished(now, result, actions);
/// \endcode
class EntryAdmission
{
public:
    /// Maximum number of waiting queries per class.
    static constexpr std::size_t maxWaiting() noexcept { return 256; }

    /// Concurrency limit of a class before its latency was measured.
    static constexpr std::uint32_t initialLimit() noexcept { return 8; }

    /// \param classes the published classes; a ClassIndex is a position in this list.
    explicit EntryAdmission(std::span<const RequestClass> classes);

    /// Replaces the classes. Classes that keep their name also keep their measurements and queries; the waiting queries
    /// of removed classes are refused with Errc::InvalidRequest.
    void setClasses(TimePoint now, std::span<const RequestClass> classes, EntryActions &actions);

    /// Starts, queues or refuses a query. A query of an unknown class is refused with Errc::InvalidRequest.
    void offer(TimePoint now, const EntryRequest &request, EntryActions &actions);

    /// Records the end of a query that was started. Other queries are ignored.
    void onFinished(TimePoint now, const EntryResult &result, EntryActions &actions);

    /// Removes a waiting query without a refusal. \return false if it is not waiting.
    bool cancel(TimePoint now, QueryId query, EntryActions &actions);

    /// Refuses waiting queries that cannot be answered in time any more, and starts those that the limits allow.
    void onTimer(TimePoint now, EntryActions &actions);

    /// Number of running queries of \p cls; 0 if the class is unknown.
    std::size_t running(ClassIndex cls) const noexcept;

    /// Number of waiting queries of \p cls; 0 if the class is unknown.
    std::size_t waiting(ClassIndex cls) const noexcept;

private:
    struct ClassState {
        std::string name;
        Duration target{0};
        ConcurrencyLimit limit{initialLimit()};
        ServiceTime service;
        DeadlineQueue queue{maxWaiting()};
        std::vector<QueryId> running;
    };

    void processQueue(TimePoint now, ClassState &state, EntryActions &actions);
    void setWakeUp(EntryActions &actions) const;
    void updateLimit(TimePoint now, ClassState &state, const EntryResult &result);
    bool isAboveFairShare(const ClassState &state) const noexcept;
    static bool canMeetDeadline(TimePoint now, const ClassState &state, const EntryRequest &request) noexcept;
    static Duration queueTime(const ClassState &state, std::size_t ahead) noexcept;
    static void refuse(const ClassState &state, QueryId query, EntryActions &actions);

    std::vector<ClassState> classes_;
};

} // namespace sassafrasvane
