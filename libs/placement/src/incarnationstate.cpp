#include "placement/incarnationstate.h"

#include <algorithm>

namespace sassafrasvane
{

void RetainedIncarnations::keep(const SearcherEntry &entry, std::shared_ptr<IncarnationState> state)
{
    if (!state->statedLimit.isInForce() && state->nextColdCallAt == TimePoint()) {
        return;
    }
    if (retained_.size() >= maxStates()) {
        retained_.pop_front();
    }
    retained_.push_back({entry.instance, entry.startedAtMs, std::move(state)});
}

std::shared_ptr<IncarnationState> RetainedIncarnations::take(const SearcherEntry &entry)
{
    const std::deque<Retained>::iterator found
        = std::find_if(retained_.begin(), retained_.end(), [&entry](const Retained &retained) {
              return retained.instance == entry.instance && retained.startedAtMs == entry.startedAtMs;
          });
    if (found == retained_.end()) {
        return std::make_shared<IncarnationState>();
    }
    std::shared_ptr<IncarnationState> state = std::move(found->state);
    retained_.erase(found);
    return state;
}

} // namespace sassafrasvane
