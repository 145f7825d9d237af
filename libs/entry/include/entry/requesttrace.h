#pragma once

#include "base/random.h"
#include "base/time.h"
#include "http/message.h"
#include "observe/eventlog.h"
#include "observe/trace.h"

#include <optional>
#include <string_view>

/// \file
/// Trace spans of requests and of their calls to searchers.

namespace sassafrasvane
{

/// A span that is being recorded, and its parent.
struct TraceSpan {
    TraceContext context;
    /// Zero for the root span of a trace.
    SpanId parent;
    /// True if the trace header is sent to searchers.
    bool isPropagated = false;
};

/// One in this many requests without a trace header is sampled.
constexpr std::uint64_t requestsPerTrace = 1'000;

/// Starts the span of a request. \return nothing if the request is not sampled.
///
/// If the request has a traceparent header, its sampled flag decides, and the trace is continued and propagated to
/// searchers. Of the other requests, a random sample starts a new trace. It is not propagated, because the headers of
/// these requests are forwarded unchanged.
std::optional<TraceSpan> beginTrace(const http::Request &request, Random &random);

/// Starts the span of a call that belongs to the request with the span \p parent.
TraceSpan childSpan(const TraceSpan &parent, Random &random);

/// Sets the traceparent header of \p request to \p span.
void writeTraceHeader(http::Request &request, const TraceSpan &span);

/// Starts the log line of a span that ends now.
EventLine spanLine(EventLog &log, const TraceSpan &span, std::string_view name, Duration elapsed);

} // namespace sassafrasvane
