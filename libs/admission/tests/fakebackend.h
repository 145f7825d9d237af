#pragma once

#include "admission/entryadmission.h"
#include "base/random.h"

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace sassafrasvane
{

/// A stream of queries of one class.
struct FakeStream {
    ClassIndex cls;
    /// Mean time between two queries.
    Duration interval{0};
    /// Mean time for which a query occupies a slot of the back end.
    Duration service{0};
    /// Time from arrival to deadline.
    Duration timeLimit{0};
};

/// Outcomes of the queries of one class.
struct FakeCounts {
    std::size_t offered = 0;
    std::size_t refused = 0;
    std::size_t inTime = 0;
};

/// A simulated back end in virtual time, with a fixed number of slots and a first-in-first-out queue behind an
/// EntryAdmission.
class FakeBackEnd
{
public:
    /// \param admission nullptr to admit every query.
    FakeBackEnd(std::size_t slots, EntryAdmission *admission, std::uint64_t seed)
        : freeSlots_(slots), admission_(admission), random_(seed)
    {
    }

    /// Runs \p streams for \p time of virtual time. \return the counts by class.
    std::map<ClassIndex, FakeCounts> run(const std::vector<FakeStream> &streams, Duration time)
    {
        for (const FakeStream &stream : streams) {
            schedule(now_ + exponential(stream.interval), [this, stream] { arrive(stream); });
        }
        const TimePoint end = now_ + time;
        while (!events_.empty() && events_.top().at < end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
        return counts_;
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    struct Query {
        FakeStream stream;
        TimePoint startedAt;
        TimePoint deadline;
    };

    void schedule(TimePoint at, std::function<void()> action) { events_.push({at, ++order_, std::move(action)}); }

    Duration exponential(Duration mean)
    {
        return Duration(static_cast<Duration::rep>(-std::log(1 - random_.unit()) * static_cast<double>(mean.count())));
    }

    void arrive(const FakeStream &stream)
    {
        schedule(now_ + exponential(stream.interval), [this, stream] { arrive(stream); });
        const QueryId id{++lastQuery_};
        queries_[id] = {stream, now_, now_ + stream.timeLimit};
        ++counts_[stream.cls].offered;
        if (admission_ == nullptr) {
            enter(id);
            return;
        }
        EntryActions actions;
        admission_->offer(now_, {id, stream.cls, now_ + stream.timeLimit}, actions);
        apply(actions);
    }

    void apply(const EntryActions &actions)
    {
        for (const EntryRefusal &refusal : actions.refuse) {
            ++counts_[queries_.at(refusal.query).stream.cls].refused;
            queries_.erase(refusal.query);
        }
        for (const QueryId id : actions.start) {
            enter(id);
        }
        if (actions.wakeAt && (nextWake_ <= now_ || *actions.wakeAt < nextWake_)) {
            nextWake_ = *actions.wakeAt;
            schedule(nextWake_, [this] {
                EntryActions later;
                admission_->onTimer(now_, later);
                apply(later);
            });
        }
    }

    void enter(QueryId id)
    {
        queries_.at(id).startedAt = now_;
        waiting_.push_back(id);
        serve();
    }

    void serve()
    {
        while (freeSlots_ > 0 && !waiting_.empty()) {
            const QueryId id = waiting_.front();
            waiting_.pop_front();
            --freeSlots_;
            schedule(now_ + exponential(queries_.at(id).stream.service), [this, id] { finish(id); });
        }
    }

    void finish(QueryId id)
    {
        const Query query = queries_.at(id);
        queries_.erase(id);
        ++freeSlots_;
        counts_[query.stream.cls].inTime += now_ <= query.deadline ? 1 : 0;
        if (admission_ != nullptr) {
            EntryActions actions;
            admission_->onFinished(now_, {id, now_ - query.startedAt, now_ > query.deadline}, actions);
            apply(actions);
        }
        serve();
    }

    std::size_t freeSlots_;
    EntryAdmission *admission_;
    Random random_;
    TimePoint now_{std::chrono::seconds(100)};
    TimePoint nextWake_;
    std::uint64_t order_ = 0;
    std::uint64_t lastQuery_ = 0;
    std::priority_queue<Event> events_;
    std::deque<QueryId> waiting_;
    std::map<QueryId, Query> queries_;
    std::map<ClassIndex, FakeCounts> counts_;
};

} // namespace sassafrasvane
