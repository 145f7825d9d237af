#include "leafimplementation.h"

namespace sassafrasvane
{

namespace
{

/// Questions whose answers are awaited.
constexpr std::size_t maxWarmthQuestions = 64;

} // namespace

void LeafTask::Implementation::takeHealth(SearcherId searcher, const detail::SearcherHealth &health)
{
    const auto found = held.find(searcher);
    if (found == held.end()) {
        return;
    }
    const TimePoint now = BootClock::now();
    if (health.incarnation == Incarnation{}) {
        found->second.gate.onConnectionLost(now);
    } else {
        found->second.gate.onAlive(now, health.askedAt, health.incarnation);
    }
}

// Asks the other holders about the searchers that are not known to be warm. Asking, rather than being told, bounds the
// age of the answer by this daemon's own clock.
void LeafTask::Implementation::askWarmth(TimePoint now)
{
    std::map<DaemonId, WarmthQuery> queries;
    for (const auto &[id, searcher] : held) {
        if (searcher.gate.coldCause(now) == ColdCause::None) {
            continue;
        }
        for (const DaemonId holder : searcher.otherHolders) {
            queries[holder].searchers.push_back(id);
        }
    }
    for (auto &[holder, query] : queries) {
        query.number = ++lastWarmthQuery;
        warmthAskedAt[query.number] = now;
        hooks.sendWarmthQuery(holder, std::move(query));
    }
    while (warmthAskedAt.size() > maxWarmthQuestions) {
        warmthAskedAt.erase(warmthAskedAt.begin());
    }
}

WarmthReply LeafTask::Implementation::answerWarmth(const WarmthQuery &query) const
{
    WarmthReply reply;
    reply.number = query.number;
    const TimePoint now = BootClock::now();
    for (const SearcherId id : query.searchers) {
        const auto found = held.find(id);
        const std::optional<WarmthReport> report = found == held.end() ? std::nullopt : found->second.gate.warmth();
        if (report) {
            reply.entries.push_back({id, report->incarnation, report->allowance, now - report->confirmedAt});
        }
    }
    return reply;
}

void LeafTask::Implementation::takeWarmth(const WarmthReply &reply)
{
    const auto asked = warmthAskedAt.find(reply.number);
    if (asked == warmthAskedAt.end()) {
        return;
    }
    const TimePoint now = BootClock::now();
    for (const WarmthEntry &entry : reply.entries) {
        const auto found = held.find(entry.searcher);
        if (found != held.end() && entry.age >= Duration{0}) {
            found->second.gate.onPeerWarmth(now, entry.incarnation, entry.allowance, entry.age + (now - asked->second));
        }
    }
    warmthAskedAt.erase(asked);
}

} // namespace sassafrasvane
