#include "observe/decisionjournal.h"

#include <algorithm>
#include <array>

namespace sassafrasvane
{

namespace
{

constexpr std::array<const char *, 17> kindNames{"snapshot_chosen",
                                                 "snapshot_changed",
                                                 "hedge_sent",
                                                 "retry_sent",
                                                 "part_missed",
                                                 "limit_hit",
                                                 "request_refused",
                                                 "request_barred",
                                                 "server_cold",
                                                 "server_warm",
                                                 "domain_out",
                                                 "domain_back",
                                                 "configuration_accepted",
                                                 "configuration_rejected",
                                                 "target_conflict",
                                                 "ticket_used",
                                                 "draining"};
static_assert(kindNames.size() == static_cast<std::size_t>(DecisionKind::Draining) + 1);

bool matches(const Decision &decision, const DecisionFilter &filter)
{
    return (!filter.trace || decision.trace == *filter.trace) && (!filter.cls || decision.cls == *filter.cls)
        && (!filter.server || decision.server == *filter.server);
}

} // namespace

const char *name(DecisionKind kind) noexcept
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::optional<DecisionKind> decisionKind(std::string_view text) noexcept
{
    for (std::size_t i = 0; i < kindNames.size(); ++i) {
        if (text == kindNames[i]) {
            return static_cast<DecisionKind>(i);
        }
    }
    return std::nullopt;
}

DecisionJournal::DecisionJournal(std::size_t capacity) : capacity_(std::max<std::size_t>(1, capacity))
{
}

void DecisionJournal::record(Decision decision)
{
    if (decision.text.size() > maxTextLength) {
        decision.text.resize(maxTextLength);
    }
    if (decision.cls.size() > maxTextLength) {
        decision.cls.resize(maxTextLength);
    }
    const std::lock_guard lock(mutex_);
    if (ring_.size() < capacity_) {
        ring_.push_back(std::move(decision));
    } else {
        ring_[recorded_ % capacity_] = std::move(decision);
    }
    ++recorded_;
}

std::vector<Decision> DecisionJournal::find(const DecisionFilter &filter) const
{
    std::vector<Decision> found;
    const std::lock_guard lock(mutex_);
    for (std::size_t age = 1; age <= ring_.size() && found.size() < filter.limit; ++age) {
        const Decision &decision = ring_[(recorded_ - age) % capacity_];
        if (matches(decision, filter)) {
            found.push_back(decision);
        }
    }
    std::reverse(found.begin(), found.end());
    return found;
}

std::uint64_t DecisionJournal::recordedDecisions() const
{
    const std::lock_guard lock(mutex_);
    return recorded_;
}

} // namespace sassafrasvane
