#include "entry/requesttrace.h"

#include <array>
#include <cstdio>
#include <string>

namespace sassafrasvane
{

namespace
{

constexpr const char *traceHeader = "traceparent";

std::string hexText(SpanId span)
{
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(span.value));
    return text.data();
}

} // namespace

std::optional<TraceSpan> beginTrace(const http::Request &request, Random &random)
{
    const std::string_view header = http::headerOf(request, traceHeader);
    if (!header.empty()) {
        const Result<TraceContext> caller = TraceContext::parse(header);
        if (caller.has_error() || !caller.value().isSampled) {
            return std::nullopt;
        }
        return TraceSpan{caller.value().child(random), caller.value().span, true};
    }
    if (random.below(requestsPerTrace) != 0) {
        return std::nullopt;
    }
    return TraceSpan{TraceContext::root(random, true), SpanId{}, false};
}

TraceSpan childSpan(const TraceSpan &parent, Random &random)
{
    return {parent.context.child(random), parent.context.span, parent.isPropagated};
}

void writeTraceHeader(http::Request &request, const TraceSpan &span)
{
    request.set(traceHeader, span.context.toTraceparent());
}

EventLine spanLine(EventLog &log, const TraceSpan &span, std::string_view name, Duration elapsed)
{
    EventLine line = log.line(EventRank::Routine, "span");
    line.text("name", name)
        .text("trace", span.context.trace.toString())
        .text("span", hexText(span.context.span))
        .text("parent", hexText(span.parent))
        .milliseconds("elapsed_ms", elapsed);
    return line;
}

} // namespace sassafrasvane
