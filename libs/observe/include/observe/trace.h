#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/random.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// Trace contexts (W3C Trace Context, level 1) and spans.

namespace sassafrasvane
{

/// Identity of a trace: 16 bytes, not all zero.
struct TraceId {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    constexpr auto operator<=>(const TraceId &) const noexcept = default;

    /// False if it is all zero, which means that there is none.
    constexpr bool isValid() const noexcept { return high != 0 || low != 0; }

    /// 32 lower-case hexadecimal digits.
    std::string toString() const;

    /// Reads 32 lower-case hexadecimal digits, not all zero.
    static Result<TraceId> parse(std::string_view text);
};

/// Identity of a span within its trace; 0 means none.
using SpanId = StrongId<struct SpanTag, std::uint64_t>;

/// What a request carries from hop to hop so that its spans can be joined.
///
/// \code
/// const TraceContext context = TraceContext::parse(header).value();
/// const TraceContext hop = context.child(random);
/// request.set_header("traceparent", hop.toTraceparent());
/// \endcode
struct TraceContext {
    TraceId trace;
    /// The span of the hop that holds this context.
    SpanId span;
    /// True if the trace was chosen to be recorded at its first hop.
    bool isSampled = false;

    bool operator==(const TraceContext &) const noexcept = default;

    /// The value of a traceparent header of version 00.
    std::string toTraceparent() const;

    /// Reads the value of a traceparent header. Later versions are read as far as version 00 goes, as the standard
    /// asks. \return the context, or Errc::InvalidRequest.
    static Result<TraceContext> parse(std::string_view traceparent);

    /// The context of a new trace.
    static TraceContext root(Random &random, bool isSampled) noexcept;

    /// A context with a new span in the same trace.
    TraceContext child(Random &random) const noexcept;
};

/// The value of a span's attribute.
using AttributeValue = std::variant<std::string, std::int64_t, double, bool>;

/// A named property of a span.
struct SpanAttribute {
    std::string name;
    AttributeValue value;
};

/// How the work of a span ended.
enum class SpanStatus {
    Unset,
    Ok,
    Error,
};

/// One hop of a request: what was done for how long.
struct Span {
    /// What was done, such as "query" or "searcher call".
    std::string name;
    /// Trace and identity of this span.
    TraceContext context;
    /// The span that caused it; 0 if none is known.
    SpanId parent;
    /// Start, in microseconds since the Unix epoch.
    std::uint64_t startMicros = 0;
    /// End, in microseconds since the Unix epoch.
    std::uint64_t endMicros = 0;
    std::vector<SpanAttribute> attributes;
    SpanStatus status = SpanStatus::Unset;
    /// Why it failed; empty unless the status is Error.
    std::string statusMessage;
};

/// The attribute \p name of \p span, or nullptr.
const AttributeValue *findAttribute(const Span &span, std::string_view name) noexcept;

} // namespace sassafrasvane
