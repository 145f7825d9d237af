#include "settings/processsettings.h"

#include "jsonreader.h"
#include "settings/schema.h"
#include "settings/textfile.h"

#include <array>

namespace sassafrasvane
{

namespace
{

using detail::JsonReader;

constexpr std::size_t leastKeyLength = 16;

// Each listener needs an address of its own, so that callers cannot reach what is for peers or operators.
void checkListeners(const ProcessSettings &settings, JsonReader &reader)
{
    if (settings.peers != Address{} && settings.peers == settings.callers) {
        reader.fault("peers", "is the same address as /callers");
    }
    if (settings.operators == Address{}) {
        return;
    }
    if (settings.operators == settings.callers || settings.operators == settings.peers) {
        reader.fault("operators", "is the same address as /callers or /peers");
    }
}

void readLogs(ProcessSettings &settings, JsonReader &reader)
{
    constexpr std::array<const char *, 5> levels{"trace", "debug", "info", "warn", "error"};
    settings.logFile = reader.textOr("logFile", {});
    settings.logLevel = levels.at(reader.choiceOr("logLevel", {"trace", "debug", "info", "warn", "error"}, 2));
    settings.traceFile = reader.textOr("traceFile", {});
    settings.traceSampling = reader.numberOr("traceSampling", {0, 1}, settings.traceSampling);
}

} // namespace

Result<ProcessSettings> readProcessSettings(std::string_view json)
{
    detail::Faults faults;
    const nlohmann::json document = detail::parseObject(json, faults);
    JsonReader reader(document, "", faults);
    ProcessSettings settings;
    settings.callers = reader.address("callers");
    settings.peers = reader.address("peers");
    settings.operators = reader.address("operators");
    settings.platform = reader.address("platform");
    settings.failureDomain = reader.text("failureDomain");
    settings.region = reader.text("region");
    settings.peerKeys = reader.secrets("peerKeys", leastKeyLength);
    settings.operatorKey = reader.secret("operatorKey", leastKeyLength);
    readLogs(settings, reader);
    checkListeners(settings, reader);
    reader.rejectUnknown(knownMembers(DocumentKind::Process, ""));
    if (!faults.empty()) {
        return detail::faultsError(faults, Step::Settings);
    }
    return settings;
}

Result<ProcessSettings> readProcessSettingsFile(const std::string &path)
{
    return readDocumentFile(path, readProcessSettings);
}

} // namespace sassafrasvane
