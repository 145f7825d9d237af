#include "entry/waitinglist.h"

#include <vector>

namespace sassafrasvane
{

bool WaitingList::add(std::string_view backend, std::uint32_t priority, Attempt attempt)
{
    const auto known = queues_.find(backend);
    Queue &queue = known == queues_.end() ? queues_[std::string(backend)] : known->second;
    if (queue.size() >= mostPerBackend()) {
        return false;
    }
    queue.emplace(Rank{priority, ++lastOrder_}, std::move(attempt));
    return true;
}

void WaitingList::onFree(std::string_view backend)
{
    const auto known = queues_.find(backend);
    // An attempt may free a searcher again; the outer loop goes on with it.
    if (known == queues_.end() || isTrying_) {
        return;
    }
    isTrying_ = true;
    Queue &queue = known->second;
    while (!queue.empty()) {
        const Rank rank = queue.begin()->first;
        const Attempt attempt = queue.begin()->second;
        if (!attempt()) {
            break;
        }
        queue.erase(rank);
    }
    isTrying_ = false;
}

void WaitingList::onTick()
{
    std::vector<std::string> backends;
    for (const auto &[backend, queue] : queues_) {
        if (!queue.empty()) {
            backends.push_back(backend);
        }
    }
    for (const std::string &backend : backends) {
        onFree(backend);
    }
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
