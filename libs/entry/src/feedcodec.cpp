#include "entry/feedcodec.h"

#include "base/jsonnumber.h"
#include "base/number.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view itemsPrefix = "/v1/published?after=";
constexpr std::string_view revisionPrefix = "/v1/revision?after=";
/// Longest wait that a question may ask for, in milliseconds.
constexpr std::uint64_t longestWaitMs = 60'000;
/// Ages beyond this one say no more, in milliseconds.
constexpr std::uint64_t longestAgeMs = 3'600'000;
constexpr std::string_view waitParameter = "&waitMs=";

} // namespace

std::string encodeFeedAnswer(const FeedAnswer &answer)
{
    Json items = Json::array();
    for (const StoreItem &item : answer.items) {
        const std::vector<std::uint8_t> value(item.value.begin(), item.value.end());
        items.push_back(Json::array({item.key, item.revision, item.isRemoved, Json::binary(value)}));
    }
    const std::int64_t ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(answer.age).count();
    const Json json = Json::array({answer.asOf, answer.isFull, std::move(items), ageMs});
    const std::vector<std::uint8_t> bytes = Json::to_msgpack(json);
    return {bytes.begin(), bytes.end()};
}

Result<FeedAnswer> decodeFeedAnswer(std::string_view bytes)
{
    try {
        const Json json = Json::from_msgpack(bytes);
        FeedAnswer answer;
        answer.asOf = wholeNumber(json.at(0));
        answer.isFull = json.at(1).get<bool>();
        answer.age = std::chrono::milliseconds(std::min(wholeNumber(json.at(3)), longestAgeMs));
        for (const Json &entry : json.at(2)) {
            StoreItem item;
            item.key = entry.at(0).get<std::string>();
            item.revision = wholeNumber(entry.at(1));
            item.isRemoved = entry.at(2).get<bool>();
            const Json::binary_t &value = entry.at(3).get_binary();
            item.value.assign(value.begin(), value.end());
            answer.items.push_back(std::move(item));
        }
        return answer;
    } catch (const std::exception &error) {
        return Error{Errc::BadMessage, Step::Configuration, {}, error.what()};
    }
}

std::string feedTarget(const FeedQuestion &question)
{
    const std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(question.wait).count();
    std::string target(question.wantsItems ? itemsPrefix : revisionPrefix);
    target.append(std::to_string(question.afterRevision)).append(waitParameter).append(std::to_string(milliseconds));
    return target;
}

std::optional<FeedQuestion> readFeedTarget(std::string_view target)
{
    FeedQuestion question;
    question.wantsItems = target.starts_with(itemsPrefix);
    const std::string_view prefix = question.wantsItems ? itemsPrefix : revisionPrefix;
    const std::size_t end = target.find(waitParameter);
    if (!target.starts_with(prefix) || end == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> after = wholeNumber(target.substr(prefix.size(), end - prefix.size()));
    const std::optional<std::uint64_t> wait = wholeNumber(target.substr(end + waitParameter.size()));
    if (!after || !wait || *wait > longestWaitMs) {
        return std::nullopt;
    }
    question.afterRevision = *after;
    question.wait = std::chrono::milliseconds(*wait);
    return question;
}

} // namespace sassafrasvane
