#include "wire/backendapi.h"

#include "base/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

BackEndAnswer failed(Errc error)
{
    BackEndAnswer answer;
    answer.error = error;
    return answer;
}

/// The whole number at \p name; 0 if there is none.
template<std::unsigned_integral Whole = std::uint64_t>
Whole wholeAt(const json &document, const char *name)
{
    if (!document.is_object()) {
        throw std::invalid_argument("not an object");
    }
    return document.contains(name) ? wholeNumber<Whole>(document.at(name)) : Whole{0};
}

int readLoad(const json &load)
{
    const std::uint64_t calls
        = std::uint64_t{wholeAt<std::uint32_t>(load, "running")} + wholeAt<std::uint32_t>(load, "waiting");
    return static_cast<int>(std::min<std::uint64_t>(calls, std::numeric_limits<int>::max()));
}

Hit readHit(const json &document)
{
    return {
        wholeNumber(document.at("key")), document.at("score").get<double>(), document.at("body").get<std::string>()};
}

PartResult readPart(const json &document)
{
    PartResult part;
    part.part = PartId{wholeNumber<std::uint32_t>(document.at("part"))};
    for (const json &hit : document.at("hits")) {
        part.hits.push_back(readHit(hit));
    }
    return part;
}

BackEndAnswer readAnswered(const json &document)
{
    BackEndAnswer answer;
    answer.outcome = CallOutcome::Answered;
    answer.incarnation = Incarnation{wholeAt(document, "incarnation")};
    answer.version = IndexVersion{wholeAt(document, "index")};
    if (document.contains("parts")) {
        for (const json &part : document.at("parts")) {
            answer.parts.push_back(readPart(part));
        }
    }
    if (document.contains("result")) {
        answer.result = document.at("result").dump(-1, ' ', false, json::error_handler_t::replace);
    }
    if (document.contains("load")) {
        answer.reportedLoad = readLoad(document.at("load"));
    }
    return answer;
}

BackEndAnswer readRefusal(int status, const json &document)
{
    BackEndAnswer answer;
    answer.outcome = status == statusConflict ? CallOutcome::WrongVersion : CallOutcome::Refused;
    answer.error = status == statusConflict ? Errc::WrongVersion : Errc::Refused;
    answer.incarnation = Incarnation{wholeAt(document, "incarnation")};
    answer.saysCold = document.value("refused", std::string()) == "cold";
    return answer;
}

} // namespace

std::string writeSearchBody(const BackEndSearch &search)
{
    json parts = json::array();
    for (const PartId part : search.parts) {
        parts.push_back(part.value);
    }
    const json document{{"index", search.version.value},
                        {"parts", std::move(parts)},
                        {"query", search.query},
                        {"limit", search.hitLimit}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string writeRunBody(std::string_view identity, std::string_view request)
{
    const json document{{"key", identity}, {"request", json::parse(request, nullptr, false)}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string writeCancelBody(std::string_view call)
{
    return json{{"call", call}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

BackEndAnswer readBackEndAnswer(int httpStatus, std::string_view body)
{
    try {
        const json document = json::parse(body);
        if (httpStatus == statusOk) {
            return readAnswered(document);
        }
        if (httpStatus == statusUnavailable || httpStatus == statusConflict) {
            return readRefusal(httpStatus, document);
        }
        if (httpStatus == statusTimeout && document.value("cancelled", false)) {
            return failed(Errc::Cancelled);
        }
    } catch (const std::exception &) {
        return failed(Errc::BadMessage);
    }
    return failed(Errc::BadMessage);
}

} // namespace sassafrasvane
