#include "entry/waitinglist.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <vector>

namespace sassafrasvane
{

namespace
{

/// If the first call has waited for more than this share of its time until targetAt, the newest call of its priority
/// goes first.
constexpr double longWaitShare = 0.25;

} // namespace

bool WaitingList::add(std::string_view backend, const QueueParameters &parameters, Attempt attempt)
{
    const auto known = queues_.find(backend);
    Queue &queue = known == queues_.end() ? queues_[std::string(backend)] : known->second;
    if (queue.size() >= maxPerBackend()) {
        return false;
    }
    queue.emplace(Rank{false, parameters.priority, parameters.isLowOnQuota, ++lastSequence_},
                  Call{parameters, std::move(attempt)});
    return true;
}

void WaitingList::reorderLateCalls(TimePoint now, Queue &queue)
{
    for (Queue::iterator place = queue.begin(); place != queue.end() && !place->first.isLate;) {
        if (now < place->second.parameters.targetAt) {
            ++place;
            continue;
        }
        Queue::node_type call = queue.extract(place++);
        call.key().isLate = true;
        call.key().isLowOnQuota = false;
        queue.insert(std::move(call));
    }
}

WaitingList::Queue::iterator WaitingList::selectNext(TimePoint now, Queue &queue)
{
    const Queue::iterator earliest = queue.begin();
    const Rank &rank = earliest->first;
    const QueueParameters &parameters = earliest->second.parameters;
    const bool isLongWait = now - parameters.addedAt > shareOf(parameters.targetAt - parameters.addedAt, longWaitShare);
    if (rank.isLate || !isLongWait) {
        return earliest;
    }
    return std::prev(queue.upper_bound(Rank{false, rank.priority, rank.isLowOnQuota, UINT64_MAX}));
}

void WaitingList::onSearcherFree(TimePoint now, std::string_view backend)
{
    const auto known = queues_.find(backend);
    // An attempt may call this function again through a searcher that becomes free; the outer loop continues then.
    if (known == queues_.end() || isRunningAttempts_) {
        return;
    }
    isRunningAttempts_ = true;
    const std::unique_ptr<bool, void (*)(bool *)> guard(&isRunningAttempts_,
                                                        [](bool *isRunning) { *isRunning = false; });
    Queue &queue = known->second;
    reorderLateCalls(now, queue);
    Queue skipped;
    while (!queue.empty()) {
        // Attempts may add calls, but only this loop removes them.
        const Queue::iterator call = selectNext(now, queue);
        const Attempt attempt = call->second.attempt;
        const AttemptResult result = attempt();
        if (result == AttemptResult::Busy) {
            break;
        }
        if (result == AttemptResult::Skipped) {
            skipped.insert(queue.extract(call));
        } else {
            queue.erase(call);
        }
    }
    queue.merge(skipped);
    if (queue.empty()) {
        queues_.erase(known);
    }
}

void WaitingList::onTick(TimePoint now)
{
    std::vector<std::string> backends;
    for (const auto &[backend, queue] : queues_) {
        if (!queue.empty()) {
            backends.push_back(backend);
        }
    }
    for (const std::string &backend : backends) {
        onSearcherFree(now, backend);
    }
}

bool WaitingList::hasTimelyCall(TimePoint now, std::string_view backend) const
{
    const auto known = queues_.find(backend);
    return known != queues_.end() && std::any_of(known->second.begin(), known->second.end(), [now](const auto &entry) {
               return now < entry.second.parameters.targetAt;
           });
}

std::size_t WaitingList::size() const noexcept
{
    std::size_t size = 0;
    for (const auto &[backend, queue] : queues_) {
        size += queue.size();
    }
    return size;
}

} // namespace sassafrasvane
