#pragma once

#include "base/random.h"
#include "observe/tracesink.h"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

/// \file
/// The spans of the traces that are open or were kept recently.

namespace sassafrasvane
{

/// The spans of one finished trace.
using TraceSpans = std::shared_ptr<const std::vector<Span>>;

/// Bounded buffers of spans by trace. May be used by any thread.
class TraceSink::Buffers
{
public:
    explicit Buffers(const TraceLimits &limits);

    /// Adds \p span to its open trace.
    void add(Span span);

    /// Closes \p trace; its spans are kept for find() if \p isKept. \return them, or null if not kept or none.
    TraceSpans close(const TraceId &trace, bool isKept);

    std::vector<Span> find(const TraceId &trace) const;
    std::vector<TraceId> recent(std::size_t limit) const;
    std::uint64_t droppedSpans() const;

private:
    struct IdHash {
        std::size_t operator()(const TraceId &id) const noexcept { return mix(id.high, id.low); }
    };

    struct OpenTrace {
        std::vector<Span> spans;
        /// Its place in order_.
        std::list<TraceId>::iterator place;
    };

    OpenTrace &open(const TraceId &trace);
    void dropOldest();
    void keep(TraceSpans spans);

    const TraceLimits limits_;
    mutable std::mutex mutex_;
    std::unordered_map<TraceId, OpenTrace, IdHash> open_;
    /// Open traces, oldest first.
    std::list<TraceId> order_;
    std::size_t openSpans_ = 0;
    /// Kept traces, oldest first.
    std::deque<TraceSpans> recent_;
    std::size_t recentSpans_ = 0;
    std::uint64_t droppedSpans_ = 0;
};

} // namespace sassafrasvane
