#pragma once

#include "base/random.h"
#include "base/time.h"
#include "http/message.h"
#include "observe/eventlog.h"
#include "observe/trace.h"

#include <optional>
#include <string_view>

/// \file
/// Trace spans of requests and of their calls.

namespace sassafrasvane
{

/// A span that is being recorded, and the one that caused it.
struct TraceSpan {
    TraceContext context;
    SpanId parent;
    /// True if the next hop is told of the trace.
    bool isPropagated = false;
};

/// One request in this many is recorded if its caller does not say.
constexpr std::uint64_t requestsPerTrace = 1'000;

/// The span of a request, if it is to be recorded.
///
/// A caller with a traceparent header decides: its trace goes on, and searchers are told of it. For other callers a few
/// requests begin a trace of their own, of which no searcher is told, as their headers are passed on unchanged.
std::optional<TraceSpan> beginTrace(const http::Request &request, Random &random);

/// The span of a call that belongs to the request of \p cause.
TraceSpan childSpan(const TraceSpan &cause, Random &random);

/// Writes the trace header of \p span to \p request.
void writeTraceHeader(http::Request &request, const TraceSpan &span);

/// The log line of a span that ends now.
EventLine spanLine(EventLog &log, const TraceSpan &span, std::string_view name, Duration elapsed);

} // namespace sassafrasvane
