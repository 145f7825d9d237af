#include "otlp.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace sassafrasvane::detail
{

namespace
{

using Json = nlohmann::ordered_json;

/// SPAN_KIND_INTERNAL of the OTLP definition.
constexpr int internalKind = 1;

std::string spanText(SpanId span)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(span.value));
    return text.data();
}

// The JSON mapping of Protocol Buffers writes 64-bit integers as strings.
std::string nanosText(std::uint64_t micros)
{
    return std::to_string(micros) + "000";
}

Json valueJson(const AttributeValue &value)
{
    if (const auto *text = std::get_if<std::string>(&value)) {
        return {{"stringValue", *text}};
    }
    if (const auto *whole = std::get_if<std::int64_t>(&value)) {
        return {{"intValue", std::to_string(*whole)}};
    }
    if (const auto *number = std::get_if<double>(&value)) {
        return {{"doubleValue", *number}};
    }
    return {{"boolValue", std::get<bool>(value)}};
}

Json attributeJson(const std::string &name, const AttributeValue &value)
{
    return {{"key", name}, {"value", valueJson(value)}};
}

Json spanJson(const Span &span)
{
    Json json;
    json["traceId"] = span.context.trace.toString();
    json["spanId"] = spanText(span.context.span);
    if (span.parent != SpanId{}) {
        json["parentSpanId"] = spanText(span.parent);
    }
    json["name"] = span.name;
    json["kind"] = internalKind;
    json["startTimeUnixNano"] = nanosText(span.startMicros);
    json["endTimeUnixNano"] = nanosText(span.endMicros);
    json["attributes"] = Json::array();
    for (const SpanAttribute &attribute : span.attributes) {
        json["attributes"].push_back(attributeJson(attribute.name, attribute.value));
    }
    json["status"]["code"] = static_cast<int>(span.status);
    if (!span.statusMessage.empty()) {
        json["status"]["message"] = span.statusMessage;
    }
    return json;
}

} // namespace

std::string otlpJson(std::span<const Span> spans, std::string_view instance)
{
    Json list = Json::array();
    for (const Span &span : spans) {
        list.push_back(spanJson(span));
    }
    Json scopeSpans;
    scopeSpans["scope"]["name"] = "sassafrasvane";
    scopeSpans["spans"] = std::move(list);
    Json resourceSpans;
    resourceSpans["resource"]["attributes"]
        = Json::array({attributeJson("service.name", std::string("sassafrasvaned")),
                       attributeJson("service.instance.id", std::string(instance))});
    resourceSpans["scopeSpans"] = Json::array({std::move(scopeSpans)});
    Json request;
    request["resourceSpans"] = Json::array({std::move(resourceSpans)});
    return request.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace sassafrasvane::detail
