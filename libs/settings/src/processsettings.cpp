#include "settings/processsettings.h"

#include "jsonreader.h"

#include <array>
#include <fstream>
#include <iterator>

namespace sassafrasvane
{

namespace
{

constexpr std::size_t leastKeyLength = 16;

std::vector<std::string> readPeerKeys(detail::JsonReader &reader)
{
    std::vector<std::string> keys = reader.texts("peerKeys", true);
    if (keys.empty()) {
        reader.fault("peerKeys", "must hold at least one key");
    }
    for (const std::string &key : keys) {
        if (key.size() < leastKeyLength) {
            reader.fault("peerKeys", "a key has fewer than 16 characters");
        }
    }
    return keys;
}

} // namespace

Result<ProcessSettings> readProcessSettings(std::string_view json)
{
    detail::Faults faults;
    const nlohmann::json document = detail::parseObject(json, faults);
    detail::JsonReader reader(document, "", faults);
    ProcessSettings settings;
    settings.callers = reader.address("callers");
    settings.peers = reader.address("peers");
    settings.operators = reader.address("operators");
    settings.platform = reader.address("platform");
    settings.failureDomain = reader.text("failureDomain");
    settings.region = reader.text("region");
    settings.peerKeys = readPeerKeys(reader);
    settings.operatorKey = reader.text("operatorKey");
    settings.traceFile = reader.textOr("traceFile", {});
    constexpr std::array<const char *, 5> levels{"trace", "debug", "info", "warn", "error"};
    settings.logLevel = levels.at(reader.choiceOr("logLevel", {"trace", "debug", "info", "warn", "error"}, 2));
    reader.rejectUnknown({"callers",
                          "peers",
                          "operators",
                          "platform",
                          "failureDomain",
                          "region",
                          "peerKeys",
                          "operatorKey",
                          "traceFile",
                          "logLevel"});
    if (!faults.empty()) {
        return detail::faultsError(faults);
    }
    return settings;
}

Result<ProcessSettings> readProcessSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Error{Errc::InvalidConfiguration, Step::Settings, {}, path + ": cannot be read"};
    }
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    return readProcessSettings(text);
}

} // namespace sassafrasvane
