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
/// Admission of queries where they enter the system.

namespace sassafrasvane
{

/// A query that wants to run.
struct EntryRequest {
    QueryId query;
    ClassIndex cls;
    /// The answer is worthless after this time.
    TimePoint deadline;
};

/// How a query that was started ended.
struct EntryResult {
    QueryId query;
    /// Time from its start to its end.
    Duration latency{0};
    /// True if calls of it were refused for lack of capacity or its deadline cut it off.
    bool isOverloaded = false;
};

/// A query that is turned away; it did not run.
struct EntryRefusal {
    QueryId query;
    Errc reason = Errc::Overloaded;
    /// When it may be worth asking again.
    Duration retryAfter{0};
};

/// What the admission wants done after an event. The caller clears it before the next one.
struct EntryActions {
    /// Queries to run now.
    std::vector<QueryId> start;
    std::vector<EntryRefusal> refuse;
    /// When onTimer() wants to be called.
    std::optional<TimePoint> wakeAt;

    /// Empties all lists.
    void clear() noexcept;
};

/// Refuses early what cannot be answered in time, class by class.
///
/// Each class has a limit of concurrent queries that follows its own latency, and a bounded queue by deadline. A query
/// that would not be answered before its deadline by the measured time is refused at once. When the back end queues,
/// only classes that run at least their fair share of all queries give way, so a class with little work, such as a
/// lookup, is not starved by a full browse beside it.
///
/// The latency of a class counts as too long above twice its floor, and in any case above half of the class's latency
/// target: under an overload that lasts, the floor itself rises.
///
/// \code
/// EntryAdmission entry(configuration.classes);
/// entry.offer(now, request, actions);
/// entry.onFinished(now, result, actions);
/// \endcode
class EntryAdmission
{
public:
    /// Most queries of a class that wait.
    static constexpr std::size_t maxWaiting() noexcept { return 256; }

    /// Queries of a class that run at the same time before anything was measured.
    static constexpr std::uint32_t initialLimit() noexcept { return 8; }

    /// \param classes the published classes; ClassIndex is the position in them.
    explicit EntryAdmission(std::span<const RequestClass> classes);

    /// Takes new classes. What was learned of those that keep their name is kept; waiting queries of others are
    /// refused.
    void setClasses(TimePoint now, std::span<const RequestClass> classes, EntryActions &actions);

    /// Takes a query. One of an unknown class is refused with Errc::InvalidRequest.
    void offer(TimePoint now, const EntryRequest &request, EntryActions &actions);

    /// Takes the end of a query that was started; others are ignored.
    void onFinished(TimePoint now, const EntryResult &result, EntryActions &actions);

    /// Drops a waiting query. \return false if it is not waiting.
    bool cancel(TimePoint now, QueryId query, EntryActions &actions);

    /// Refuses waiting queries that cannot be answered in time any more.
    void onTimer(TimePoint now, EntryActions &actions);

    /// Queries of \p cls that run.
    std::size_t running(ClassIndex cls) const noexcept;

    /// Queries of \p cls that wait.
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
