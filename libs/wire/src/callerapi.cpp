#include "wire/callerapi.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <initializer_list>

namespace sassafrasvane
{

namespace
{

using nlohmann::json;

constexpr double maxDeadlineMs = 600'000;

Error invalid(const std::string &detail)
{
    return Error{Errc::InvalidRequest, Step::Accept, {}, detail};
}

Result<json> parseObject(std::string_view body, std::initializer_list<std::string_view> known)
{
    if (body.size() > maxCallerBody) {
        return Error{
            Errc::TooLarge, Step::Accept, {}, "the body is larger than " + std::to_string(maxCallerBody) + " bytes"};
    }
    json document = json::parse(body, nullptr, false);
    if (document.is_discarded() || !document.is_object()) {
        return invalid("the body is not a JSON object");
    }
    for (const auto &[key, value] : document.items()) {
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            return invalid("the field /" + key + " is unknown");
        }
    }
    return document;
}

Result<std::string> requiredText(const json &document, const char *key)
{
    const auto found = document.find(key);
    if (found == document.end() || !found->is_string() || found->get_ref<const std::string &>().empty()) {
        return invalid(std::string("/") + key + " is not a string of at least one character");
    }
    return found->get<std::string>();
}

Result<std::optional<Duration>> deadline(const json &document)
{
    const auto found = document.find("deadlineMs");
    if (found == document.end()) {
        return std::optional<Duration>();
    }
    if (!found->is_number() || found->get<double>() <= 0 || found->get<double>() > maxDeadlineMs) {
        return invalid("/deadlineMs is not a number above 0 and up to 600000");
    }
    return std::optional<Duration>(fromMilliseconds(found->get<double>()));
}

std::string dumped(const json &document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

Result<CallerQuery> readCallerQuery(std::string_view body)
{
    const Result<json> document = parseObject(body, {"class", "query", "limit", "deadlineMs"});
    if (document.has_error()) {
        return document.error();
    }
    const Result<std::string> className = requiredText(document.value(), "class");
    const Result<std::string> query = requiredText(document.value(), "query");
    const Result<std::optional<Duration>> timeLeft = deadline(document.value());
    for (const Error *error : {className.has_error() ? &className.error() : nullptr,
                               query.has_error() ? &query.error() : nullptr,
                               timeLeft.has_error() ? &timeLeft.error() : nullptr}) {
        if (error != nullptr) {
            return *error;
        }
    }
    CallerQuery read{className.value(), query.value(), 10, timeLeft.value()};
    const auto limit = document.value().find("limit");
    if (limit != document.value().end()) {
        if (!limit->is_number_unsigned() || limit->get<std::uint64_t>() > maxHitLimit) {
            return invalid("/limit is not a whole number from 0 to " + std::to_string(maxHitLimit));
        }
        read.hitLimit = limit->get<std::uint32_t>();
    }
    return read;
}

Result<CallerRun> readCallerRun(std::string_view body)
{
    const Result<json> document = parseObject(body, {"class", "request", "deadlineMs"});
    if (document.has_error()) {
        return document.error();
    }
    const Result<std::string> className = requiredText(document.value(), "class");
    if (className.has_error()) {
        return className.error();
    }
    const Result<std::optional<Duration>> timeLeft = deadline(document.value());
    if (timeLeft.has_error()) {
        return timeLeft.error();
    }
    const auto request = document.value().find("request");
    if (request == document.value().end() || !request->is_object()) {
        return invalid("/request is not an object");
    }
    return CallerRun{className.value(), dumped(*request), timeLeft.value()};
}

std::string writeQueryAnswer(const QueryAnswer &answer, std::string_view trace, std::string_view conflict)
{
    json hits = json::array();
    for (const Hit &hit : answer.hits) {
        hits.push_back({{"key", hit.key}, {"score", hit.score}, {"body", hit.body}});
    }
    json missed = json::array();
    for (const MissedPart &part : answer.missed) {
        missed.push_back({{"part", part.part.value}, {"reason", name(part.reason)}});
    }
    json document{{"snapshot", answer.version.value},
                  {"coverage", answer.coverage},
                  {"parts", {{"covered", answer.coveredParts}, {"total", answer.totalParts}}},
                  {"missed", std::move(missed)},
                  {"hits", std::move(hits)},
                  {"load", {{"needed", answer.neededCalls}, {"sent", answer.sentCalls}, {"extra", answer.extraCalls}}},
                  {"restarted", answer.isRestarted},
                  {"trace", trace}};
    if (!conflict.empty()) {
        document["gaveWay"] = conflict;
    }
    return dumped(document);
}

std::string writeRunAnswer(const RunAnswer &answer)
{
    const json result = json::parse(answer.result, nullptr, false);
    return dumped({{"ran", "yes"}, {"result", result.is_discarded() ? json() : result}, {"trace", answer.trace}});
}

std::string writeEntriesAnswer(const EntriesAnswer &answer)
{
    json document{{"entries", answer.entries}, {"lifetimeMs", answer.lifetime.count() / 1000}};
    if (!answer.ticket.empty()) {
        document["ticket"] = answer.ticket;
    }
    return dumped(document);
}

std::string writeError(const Error &error, Ran ran, std::string_view trace, Duration retryAfter)
{
    json document{{"code", name(error.errc())},
                  {"message", error.message()},
                  {"step", name(error.step)},
                  {"peer", error.peer},
                  {"ran", name(ran)},
                  {"trace", trace}};
    if (retryAfter > Duration{0}) {
        document["retryAfterMs"] = retryAfter.count() / 1000;
    }
    return dumped(document);
}

int httpStatus(Errc code) noexcept
{
    switch (code) {
    case Errc::InvalidRequest:
    case Errc::TicketExpired:
    case Errc::NotAuthentic:
        return 400;
    case Errc::TooLarge:
        return 413;
    case Errc::Barred:
        return 422;
    case Errc::DeadlinePassed:
    case Errc::Timeout:
    case Errc::OutcomeUnknown:
        return 504;
    case Errc::BadMessage:
    case Errc::ConnectionLost:
        return 502;
    case Errc::Internal:
        return 500;
    default:
        return 503;
    }
}

} // namespace sassafrasvane
