#include "searchersettings.h"

#include <algorithm>
#include <stdexcept>

namespace sassafrasvane
{

namespace
{

constexpr double defaultRestartMs = 200;
constexpr double defaultLoadLagMs = 500;

/// The address under \p name; port 0, which stands for any free one, if it is absent.
Address readAddress(const nlohmann::json &json, const char *name)
{
    if (!json.contains(name)) {
        return {};
    }
    const std::string text = json.at(name).get<std::string>();
    const Result<Address> address = Address::parse(text);
    if (address.has_error()) {
        throw std::invalid_argument(address.error().message());
    }
    return address.value();
}

ColdOverload readColdOverload(const std::string &text)
{
    if (text == "crash") {
        return ColdOverload::Crash;
    }
    if (text == "slow") {
        return ColdOverload::Slow;
    }
    if (text == "refuse") {
        return ColdOverload::Refuse;
    }
    throw std::invalid_argument("coldOverload is not crash, slow or refuse");
}

Duration readDuration(const nlohmann::json &json, const char *name, double fallback)
{
    return fromMilliseconds(json.value(name, fallback));
}

SearcherSettings readSearcher(const nlohmann::json &json)
{
    SearcherSettings settings;
    settings.id = json.at("id").get<std::uint32_t>();
    settings.address = readAddress(json, "address");
    settings.slots = json.value("slots", settings.slots);
    settings.connections = json.value("connections", settings.connections);
    settings.connectionCost = readDuration(json, "connectionCostMs", 0);
    settings.coldAllowance = json.value("coldAllowance", settings.coldAllowance);
    settings.warmTime = readDuration(json, "warmMs", 0);
    settings.serviceTime = readDuration(json, "serviceMs", 1);
    settings.queue = json.value("queue", settings.queue);
    settings.coldOverload = readColdOverload(json.value("coldOverload", "crash"));
    settings.restartTime = readDuration(json, "restartMs", defaultRestartMs);
    settings.loadLag = readDuration(json, "loadLagMs", defaultLoadLagMs);
    settings.indexes = readIndexes(json.value("indexes", nlohmann::json::array()));
    return settings;
}

} // namespace

const StandinPart *StandinIndex::find(std::uint32_t id) const noexcept
{
    const auto found
        = std::find_if(parts.begin(), parts.end(), [id](const StandinPart &part) { return part.id == id; });
    return found == parts.end() ? nullptr : &*found;
}

std::vector<StandinIndex> readIndexes(const nlohmann::json &json)
{
    std::vector<StandinIndex> indexes;
    for (const nlohmann::json &entry : json) {
        StandinIndex index;
        index.version = entry.at("index").get<std::uint64_t>();
        for (const nlohmann::json &part : entry.at("parts")) {
            index.parts.push_back({part.at("id").get<std::uint32_t>(),
                                   part.at("begin").get<std::uint64_t>(),
                                   part.at("end").get<std::uint64_t>()});
        }
        indexes.push_back(std::move(index));
    }
    return indexes;
}

StandinFile readStandinFile(const nlohmann::json &json)
{
    StandinFile file;
    file.control = readAddress(json, "control");
    for (const nlohmann::json &entry : json.at("searchers")) {
        file.searchers.push_back(readSearcher(entry));
    }
    return file;
}

} // namespace sassafrasvane
