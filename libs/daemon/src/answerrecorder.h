#pragma once

#include "daemon/entrytask.h"
#include "observe/decisionjournal.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "observe/tracesink.h"

#include <memory>
#include <mutex>
#include <string>

/// \file
/// What operators can see of a daemon, and the recording of callers' requests in it.

namespace sassafrasvane::detail
{

/// Where a daemon records what it does. Shared by its tasks.
struct Observability {
    std::unique_ptr<Logger> logger;
    std::unique_ptr<TraceSink> traces;
    Metrics metrics;
    DecisionJournal journal{DecisionJournal::defaultCapacity};
};

/// A caller's request while it is being answered.
struct RequestTrace {
    /// The span of this daemon's work.
    TraceContext context;
    /// The caller's span; 0 if it sent none.
    SpanId parent;
    std::string className;
    std::uint64_t startMicros = 0;
    TimePoint start;
    /// The class's latency target; an answer beyond it is slow.
    Duration target{0};
};

/// Starts traces and records how requests ended. Callable from any thread.
class AnswerRecorder
{
public:
    /// \param observability kept by the caller.
    /// \param sampledShare share of the traces begun here that is recorded whatever the answer is, in [0, 1].
    AnswerRecorder(Observability &observability, double sampledShare, std::uint64_t seed);

    /// The trace of a request. \param traceparent as the caller sent it; a new trace begins if it is not valid.
    RequestTrace begin(const std::string &traceparent);

    /// Records the outcome in the class's metrics, the trace and the journal.
    void end(const RequestTrace &request, const CallerOutcome &outcome);

private:
    void recordMetrics(const RequestTrace &request, const CallerOutcome &outcome);
    void recordSpan(const RequestTrace &request, const CallerOutcome &outcome);
    void recordDecisions(const RequestTrace &request, const CallerOutcome &outcome);

    Observability &observability_;
    const double sampledShare_;
    std::mutex mutex_;
    Random random_;
};

} // namespace sassafrasvane::detail
