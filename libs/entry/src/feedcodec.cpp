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
constexpr std::string_view lastKnownPrefix = "/v1/last-known?after=";
/// Maximum wait time of a request in milliseconds; requests with a longer one are rejected.
constexpr std::uint64_t maxWaitMs = 60'000;
/// Decoded ages are capped at this value in milliseconds; older data is stale in any case.
constexpr std::uint64_t maxAgeMs = 3'600'000;
constexpr std::string_view waitParameter = "&waitMs=";
/// Absent in epoch 0, so that processes of earlier versions can read the request.
constexpr std::string_view epochParameter = "&epoch=";

std::string_view prefixOf(const FeedRequest &request)
{
    if (request.acceptsUnconfirmed) {
        return lastKnownPrefix;
    }
    return request.wantsItems ? itemsPrefix : revisionPrefix;
}

constexpr std::size_t itemEpochIndex = 4;
constexpr std::size_t responseEpochIndex = 5;

// Processes of earlier versions know no epochs.
std::uint64_t epochAt(const Json &array, std::size_t index)
{
    return array.size() > index ? wholeNumber(array.at(index)) : 0;
}

} // namespace

std::string encodeFeedResponse(const FeedResponse &response)
{
    Json items = Json::array();
    for (const StoreItem &item : response.items) {
        const std::vector<std::uint8_t> value(item.value.begin(), item.value.end());
        items.push_back(
            Json::array({item.key, item.position.revision, item.isRemoved, Json::binary(value), item.position.epoch}));
    }
    const std::int64_t ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(response.age).count();
    const Json json = Json::array({response.position.revision,
                                   response.isSnapshot,
                                   std::move(items),
                                   ageMs,
                                   response.isConfirmed,
                                   response.position.epoch});
    const std::vector<std::uint8_t> bytes = Json::to_msgpack(json);
    return {bytes.begin(), bytes.end()};
}

Result<FeedResponse> decodeFeedResponse(std::string_view bytes)
{
    try {
        const Json json = Json::from_msgpack(bytes);
        FeedResponse response;
        response.position = {epochAt(json, responseEpochIndex), wholeNumber(json.at(0))};
        response.isSnapshot = json.at(1).get<bool>();
        response.age = std::chrono::milliseconds(std::min(wholeNumber(json.at(3)), maxAgeMs));
        // Processes of earlier versions send confirmed items only, and do not say so.
        response.isConfirmed = json.size() <= 4 || json.at(4).get<bool>();
        for (const Json &entry : json.at(2)) {
            StoreItem item;
            item.key = entry.at(0).get<std::string>();
            item.position = {epochAt(entry, itemEpochIndex), wholeNumber(entry.at(1))};
            item.isRemoved = entry.at(2).get<bool>();
            const Json::binary_t &value = entry.at(3).get_binary();
            item.value.assign(value.begin(), value.end());
            response.items.push_back(std::move(item));
        }
        return response;
    } catch (const std::exception &error) {
        return Error{Errc::BadMessage, Step::Configuration, {}, error.what()};
    }
}

std::string feedTarget(const FeedRequest &request)
{
    const std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(request.wait).count();
    std::string target(prefixOf(request));
    target.append(std::to_string(request.after.revision)).append(waitParameter).append(std::to_string(milliseconds));
    if (request.after.epoch > 0) {
        target.append(epochParameter).append(std::to_string(request.after.epoch));
    }
    return target;
}

std::optional<FeedRequest> parseFeedTarget(std::string_view target)
{
    FeedRequest request;
    request.acceptsUnconfirmed = target.starts_with(lastKnownPrefix);
    request.wantsItems = request.acceptsUnconfirmed || target.starts_with(itemsPrefix);
    const std::string_view prefix = prefixOf(request);
    const std::size_t end = target.find(waitParameter);
    if (!target.starts_with(prefix) || end == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> after = wholeNumber(target.substr(prefix.size(), end - prefix.size()));
    const std::size_t waitBegin = end + waitParameter.size();
    const std::size_t waitEnd = std::min(target.find(epochParameter, waitBegin), target.size());
    const std::optional<std::uint64_t> wait = wholeNumber(target.substr(waitBegin, waitEnd - waitBegin));
    const std::optional<std::uint64_t> epoch
        = waitEnd < target.size() ? wholeNumber(target.substr(waitEnd + epochParameter.size())) : 0;
    if (!after || !wait || *wait > maxWaitMs || !epoch) {
        return std::nullopt;
    }
    request.after = {*epoch, *after};
    request.wait = std::chrono::milliseconds(*wait);
    return request;
}

} // namespace sassafrasvane
