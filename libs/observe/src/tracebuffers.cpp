#include "tracebuffers.h"

#include <algorithm>

namespace sassafrasvane
{

TraceSink::Buffers::Buffers(const TraceLimits &limits) : limits_(limits)
{
}

void TraceSink::Buffers::add(Span span)
{
    const std::lock_guard lock(mutex_);
    OpenTrace &trace = open(span.context.trace);
    if (trace.spans.size() >= limits_.spansPerTrace || openSpans_ >= limits_.openSpans) {
        ++droppedSpans_;
        return;
    }
    trace.spans.push_back(std::move(span));
    ++openSpans_;
}

TraceSpans TraceSink::Buffers::close(const TraceId &trace, bool isKept)
{
    const std::lock_guard lock(mutex_);
    const auto found = open_.find(trace);
    if (found == open_.end()) {
        return nullptr;
    }
    std::vector<Span> spans = std::move(found->second.spans);
    order_.erase(found->second.place);
    open_.erase(found);
    openSpans_ -= spans.size();
    if (!isKept || spans.empty()) {
        return nullptr;
    }
    TraceSpans shared = std::make_shared<const std::vector<Span>>(std::move(spans));
    keep(shared);
    return shared;
}

std::vector<Span> TraceSink::Buffers::find(const TraceId &trace) const
{
    std::vector<Span> spans;
    const std::lock_guard lock(mutex_);
    for (const TraceSpans &kept : recent_) {
        if (kept->front().context.trace == trace) {
            spans.insert(spans.end(), kept->begin(), kept->end());
        }
    }
    const auto found = open_.find(trace);
    if (found != open_.end()) {
        spans.insert(spans.end(), found->second.spans.begin(), found->second.spans.end());
    }
    std::stable_sort(
        spans.begin(), spans.end(), [](const Span &a, const Span &b) { return a.startMicros < b.startMicros; });
    return spans;
}

std::vector<TraceId> TraceSink::Buffers::recent(std::size_t limit) const
{
    std::vector<TraceId> traces;
    const std::lock_guard lock(mutex_);
    for (auto kept = recent_.rbegin(); kept != recent_.rend() && traces.size() < limit; ++kept) {
        traces.push_back((*kept)->front().context.trace);
    }
    return traces;
}

std::uint64_t TraceSink::Buffers::droppedSpans() const
{
    const std::lock_guard lock(mutex_);
    return droppedSpans_;
}

TraceSink::Buffers::OpenTrace &TraceSink::Buffers::open(const TraceId &trace)
{
    const auto found = open_.find(trace);
    if (found != open_.end()) {
        return found->second;
    }
    if (open_.size() >= limits_.openTraces) {
        dropOldest();
    }
    OpenTrace &opened = open_[trace];
    opened.place = order_.insert(order_.end(), trace);
    return opened;
}

// A trace that nobody finishes, such as that of a cancelled request, must not stay for ever.
void TraceSink::Buffers::dropOldest()
{
    const auto oldest = open_.find(order_.front());
    openSpans_ -= oldest->second.spans.size();
    droppedSpans_ += oldest->second.spans.size();
    open_.erase(oldest);
    order_.pop_front();
}

void TraceSink::Buffers::keep(TraceSpans spans)
{
    recentSpans_ += spans->size();
    recent_.push_back(std::move(spans));
    while (recentSpans_ > limits_.recentSpans) {
        recentSpans_ -= recent_.front()->size();
        recent_.pop_front();
    }
}

} // namespace sassafrasvane
