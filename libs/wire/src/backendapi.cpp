#include "wire/backendapi.h"

#include <nlohmann/json.hpp>

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

Hit readHit(const json &document)
{
    return {document.at("key").get<std::uint64_t>(),
            document.at("score").get<double>(),
            document.at("body").get<std::string>()};
}

PartResult readPart(const json &document)
{
    PartResult part;
    part.part = PartId{document.at("part").get<std::uint32_t>()};
    for (const json &hit : document.at("hits")) {
        part.hits.push_back(readHit(hit));
    }
    return part;
}

BackEndAnswer readAnswered(const json &document)
{
    BackEndAnswer answer;
    answer.outcome = CallOutcome::Answered;
    answer.incarnation = Incarnation{document.value("incarnation", std::uint64_t{0})};
    answer.version = IndexVersion{document.value("index", std::uint64_t{0})};
    if (document.contains("parts")) {
        for (const json &part : document.at("parts")) {
            answer.parts.push_back(readPart(part));
        }
    }
    if (document.contains("result")) {
        answer.result = document.at("result").dump(-1, ' ', false, json::error_handler_t::replace);
    }
    if (document.contains("load")) {
        const json &load = document.at("load");
        answer.reportedLoad = load.value("running", 0) + load.value("waiting", 0);
    }
    return answer;
}

BackEndAnswer readRefusal(int status, const json &document)
{
    BackEndAnswer answer;
    answer.outcome = status == statusConflict ? CallOutcome::WrongVersion : CallOutcome::Refused;
    answer.error = status == statusConflict ? Errc::WrongVersion : Errc::Refused;
    answer.incarnation = Incarnation{document.value("incarnation", std::uint64_t{0})};
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
    } catch (const json::exception &) {
        return failed(Errc::BadMessage);
    }
    return failed(Errc::BadMessage);
}

} // namespace sassafrasvane
