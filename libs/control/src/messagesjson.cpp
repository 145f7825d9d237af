#include "messagesjson.h"

#include "base/jsonnumber.h"
#include "jsonfields.h"

namespace sassafrasvane
{

namespace
{

using Json = nlohmann::json;

Json decisionJson(const Decision &decision)
{
    Json json = {{"timeMicros", decision.timeMicros},
                 {"kind", name(decision.kind)},
                 {"class", decision.cls},
                 {"text", decision.text}};
    if (decision.trace.isValid()) {
        json["trace"] = decision.trace.toString();
    }
    if (decision.server.port != 0) {
        json["server"] = decision.server.toString();
    }
    return json;
}

Decision readDecision(const Json &json)
{
    Decision decision;
    json.at("timeMicros").get_to(decision.timeMicros);
    decision.kind = detail::enumAt(json, "kind", DecisionKind::Draining);
    json.at("class").get_to(decision.cls);
    json.at("text").get_to(decision.text);
    if (json.contains("trace")) {
        decision.trace = detail::valueOrThrow(TraceId::parse(json.at("trace").get_ref<const std::string &>()));
    }
    if (json.contains("server")) {
        decision.server = detail::addressAt(json, "server");
    }
    return decision;
}

Json attributeJson(const SpanAttribute &attribute)
{
    Json json = {{"name", attribute.name}};
    std::visit([&json](const auto &value) { json["value"] = value; }, attribute.value);
    return json;
}

SpanAttribute readAttribute(const Json &json)
{
    SpanAttribute attribute;
    json.at("name").get_to(attribute.name);
    const Json &value = json.at("value");
    if (value.is_boolean()) {
        attribute.value = value.get<bool>();
    } else if (value.is_number_integer()) {
        attribute.value = value.get<std::int64_t>();
    } else if (value.is_number()) {
        attribute.value = value.get<double>();
    } else {
        attribute.value = value.get<std::string>();
    }
    return attribute;
}

Json spanJson(const Span &span)
{
    Json attributes = Json::array();
    for (const SpanAttribute &attribute : span.attributes) {
        attributes.push_back(attributeJson(attribute));
    }
    return {{"name", span.name},
            {"context", span.context.toTraceparent()},
            {"parent", span.parent.value},
            {"startMicros", span.startMicros},
            {"endMicros", span.endMicros},
            {"attributes", std::move(attributes)},
            {"status", static_cast<int>(span.status)},
            {"statusMessage", span.statusMessage}};
}

Span readSpan(const Json &json)
{
    Span span;
    json.at("name").get_to(span.name);
    span.context = detail::valueOrThrow(TraceContext::parse(json.at("context").get_ref<const std::string &>()));
    span.parent.value = wholeNumber(json.at("parent"));
    json.at("startMicros").get_to(span.startMicros);
    json.at("endMicros").get_to(span.endMicros);
    for (const Json &attribute : json.at("attributes")) {
        span.attributes.push_back(readAttribute(attribute));
    }
    const std::uint64_t status = wholeNumber(json.at("status"));
    if (status > static_cast<std::uint64_t>(SpanStatus::Error)) {
        throw std::invalid_argument("unknown span status");
    }
    span.status = static_cast<SpanStatus>(status);
    json.at("statusMessage").get_to(span.statusMessage);
    return span;
}

} // namespace

void to_json(nlohmann::json &json, const WhyReply &reply)
{
    json = {{"decisions", Json::array()}, {"spans", Json::array()}};
    for (const Decision &decision : reply.decisions) {
        json["decisions"].push_back(decisionJson(decision));
    }
    for (const Span &span : reply.spans) {
        json["spans"].push_back(spanJson(span));
    }
}

void from_json(const nlohmann::json &json, WhyReply &reply)
{
    for (const Json &decision : json.at("decisions")) {
        reply.decisions.push_back(readDecision(decision));
    }
    for (const Json &span : json.at("spans")) {
        reply.spans.push_back(readSpan(span));
    }
}

void to_json(nlohmann::json &json, const EntriesReply &reply)
{
    json = {{"entries", Json::array()}, {"lifetimeSeconds", reply.lifetimeSeconds}};
    for (const EntryStatus &entry : reply.entries) {
        json["entries"].push_back({{"callers", entry.callers.toString()}, {"failureDomain", entry.failureDomain}});
    }
}

void from_json(const nlohmann::json &json, EntriesReply &reply)
{
    json.at("lifetimeSeconds").get_to(reply.lifetimeSeconds);
    for (const Json &entry : json.at("entries")) {
        reply.entries.push_back({detail::addressAt(entry, "callers"), entry.at("failureDomain").get<std::string>()});
    }
}

void to_json(nlohmann::json &json, const DrainReply &reply)
{
    json = {{"phase", name(reply.phase)}, {"openRequests", reply.openRequests}};
}

void from_json(const nlohmann::json &json, DrainReply &reply)
{
    reply.phase = detail::enumAt(json, "phase", DaemonPhase::Stopped);
    json.at("openRequests").get_to(reply.openRequests);
}

} // namespace sassafrasvane
