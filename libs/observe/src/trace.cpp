#include "observe/trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <optional>

namespace sassafrasvane
{

namespace
{

constexpr std::size_t traceLength = 32;
constexpr std::size_t spanLength = 16;
// "00-" trace "-" span "-" flags
constexpr std::size_t traceAt = 3;
constexpr std::size_t spanAt = traceAt + traceLength + 1;
constexpr std::size_t flagsAt = spanAt + spanLength + 1;
constexpr std::size_t contextLength = flagsAt + 2;
constexpr unsigned sampledFlag = 1;

// Reads lower-case digits only, as the standard demands.
std::optional<std::uint64_t> hexNumber(std::string_view text)
{
    const bool isLowerHex = std::all_of(
        text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    std::uint64_t number = 0;
    if (!isLowerHex || std::from_chars(text.data(), text.data() + text.size(), number, 16).ec != std::errc{}) {
        return std::nullopt;
    }
    return number;
}

Error malformed()
{
    return Error{Errc::InvalidRequest, Step::Accept, {}, "malformed trace context"};
}

bool hasDashes(std::string_view text)
{
    return text[traceAt - 1] == '-' && text[spanAt - 1] == '-' && text[flagsAt - 1] == '-';
}

// Version 00 has nothing after the flags; a later one may go on after a dash; version ff is forbidden.
bool isKnownShape(std::string_view text)
{
    if (text.size() < contextLength || !hasDashes(text) || !hexNumber(text.substr(0, 2)) || text.starts_with("ff")) {
        return false;
    }
    return text.size() == contextLength || (!text.starts_with("00") && text[contextLength] == '-');
}

std::uint64_t nonZero(Random &random) noexcept
{
    std::uint64_t number = 0;
    while (number == 0) {
        number = random.next();
    }
    return number;
}

} // namespace

std::string TraceId::toString() const
{
    std::array<char, traceLength + 1> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%016llx%016llx",
                  static_cast<unsigned long long>(high),
                  static_cast<unsigned long long>(low));
    return text.data();
}

Result<TraceId> TraceId::parse(std::string_view text)
{
    if (text.size() != traceLength) {
        return malformed();
    }
    const std::optional<std::uint64_t> high = hexNumber(text.substr(0, traceLength / 2));
    const std::optional<std::uint64_t> low = hexNumber(text.substr(traceLength / 2));
    if (!high || !low || (*high == 0 && *low == 0)) {
        return malformed();
    }
    return TraceId{*high, *low};
}

std::string TraceContext::toTraceparent() const
{
    std::array<char, contextLength + 1> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "00-%016llx%016llx-%016llx-%02x",
                  static_cast<unsigned long long>(trace.high),
                  static_cast<unsigned long long>(trace.low),
                  static_cast<unsigned long long>(span.value),
                  isSampled ? sampledFlag : 0U);
    return text.data();
}

Result<TraceContext> TraceContext::parse(std::string_view traceparent)
{
    if (!isKnownShape(traceparent)) {
        return malformed();
    }
    const Result<TraceId> trace = TraceId::parse(traceparent.substr(traceAt, traceLength));
    const std::optional<std::uint64_t> span = hexNumber(traceparent.substr(spanAt, spanLength));
    const std::optional<std::uint64_t> flags = hexNumber(traceparent.substr(flagsAt, 2));
    if (trace.has_error() || !span || *span == 0 || !flags) {
        return malformed();
    }
    return TraceContext{trace.value(), SpanId{*span}, (*flags & sampledFlag) != 0};
}

TraceContext TraceContext::root(Random &random, bool isSampled) noexcept
{
    TraceContext context;
    context.trace = TraceId{nonZero(random), random.next()};
    context.span = SpanId{nonZero(random)};
    context.isSampled = isSampled;
    return context;
}

TraceContext TraceContext::child(Random &random) const noexcept
{
    TraceContext context = *this;
    context.span = SpanId{nonZero(random)};
    return context;
}

const AttributeValue *findAttribute(const Span &span, std::string_view name) noexcept
{
    const auto found = std::find_if(span.attributes.begin(),
                                    span.attributes.end(),
                                    [name](const SpanAttribute &attribute) { return attribute.name == name; });
    return found == span.attributes.end() ? nullptr : &found->value;
}

} // namespace sassafrasvane
