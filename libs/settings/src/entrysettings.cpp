#include "settings/entrysettings.h"

#include "jsonreader.h"
#include "settings/textfile.h"

#include <algorithm>
#include <array>

namespace sassafrasvane
{

namespace
{

using detail::JsonReader;
using Names = std::string_view[];

constexpr Names knownMembers{"vm",
                             "failureDomain",
                             "region",
                             "listeners",
                             "peerPort",
                             "metricsPort",
                             "seeds",
                             "store",
                             "firstStart",
                             "processorShare",
                             "memoryMb",
                             "fileDescriptors",
                             "bounds",
                             "quotaTolerance"};
constexpr Names knownListeners{"callers", "readiness", "directory", "control"};
constexpr Names knownBounds{"stopGraceS",
                            "retryRatio",
                            "retryWindowS",
                            "retrySlack",
                            "coldFactor",
                            "coldSlack",
                            "directoryLifetimeS"};

constexpr detail::NumberRange ports{0, 65'535};
constexpr detail::NumberRange seconds{0.1, 3'600};
constexpr detail::NumberRange counts{0, 1e9};

Duration fromSeconds(double value)
{
    return fromMilliseconds(value * 1'000);
}

EntryListeners readListeners(JsonReader &reader)
{
    EntryListeners listeners;
    listeners.callers = reader.address("callers");
    listeners.readiness = reader.address("readiness");
    listeners.directory = reader.address("directory");
    listeners.control = reader.address("control");
    reader.rejectUnknown(knownListeners);
    std::array<Address, 4> all{listeners.callers, listeners.readiness, listeners.directory, listeners.control};
    std::sort(all.begin(), all.end());
    const bool areAllSet = all.front() != Address{};
    if (areAllSet && std::adjacent_find(all.begin(), all.end()) != all.end()) {
        reader.fault("callers", "two listeners have the same address");
    }
    return listeners;
}

EntryBounds readBounds(JsonReader &reader)
{
    EntryBounds bounds;
    bounds.stopGrace = fromSeconds(reader.number("stopGraceS", seconds));
    bounds.retryRatio = reader.number("retryRatio", {0, 1});
    bounds.retryWindow = fromSeconds(reader.number("retryWindowS", seconds));
    bounds.retrySlack = reader.number("retrySlack", counts);
    bounds.coldFactor = reader.number("coldFactor", {0, 1'000});
    bounds.coldSlack = reader.number("coldSlack", counts);
    bounds.directoryLifetime = fromSeconds(reader.number("directoryLifetimeS", seconds));
    reader.rejectUnknown(knownBounds);
    return bounds;
}

// Other members are ignored, so that a deployment can pass a larger object that may hold these.
void readQuotaTolerance(JsonReader &reader, EntryBounds &bounds)
{
    bounds.quotaWindow
        = fromSeconds(reader.numberOr("quotaWindowS", seconds, toMilliseconds(bounds.quotaWindow) / 1'000));
    bounds.quotaOverage = reader.numberOr("quotaOverage", {0, 1'000}, bounds.quotaOverage);
    bounds.quotaSlack = reader.numberOr("quotaSlack", counts, bounds.quotaSlack);
}

void readSeeds(JsonReader &reader, std::vector<Address> &seeds)
{
    for (const std::string &text : reader.texts("seeds", false)) {
        const Result<Address> address = Address::parse(text);
        if (address.has_error()) {
            reader.fault("seeds", address.error().detail);
        } else {
            seeds.push_back(address.value());
        }
    }
}

} // namespace

Result<EntrySettings> readEntrySettings(std::string_view json)
{
    detail::Faults faults;
    const nlohmann::json document = detail::parseObject(json, faults);
    JsonReader reader(document, "", faults);
    EntrySettings settings;
    settings.vm = reader.text("vm");
    settings.failureDomain = reader.text("failureDomain");
    settings.region = reader.text("region");
    reader.object("listeners", [&settings](JsonReader &part) { settings.listeners = readListeners(part); });
    settings.peerPort = static_cast<std::uint16_t>(reader.whole("peerPort", ports));
    settings.metricsPort = static_cast<std::uint16_t>(reader.numberOr("metricsPort", ports, 0));
    readSeeds(reader, settings.seeds);
    settings.store = reader.address("store");
    settings.isFirstStart = reader.flagOr("firstStart", false);
    settings.processorShare = reader.numberOr("processorShare", {0.001, 1'000}, 1);
    settings.memoryMb = reader.whole("memoryMb", counts);
    settings.fileDescriptors = reader.whole("fileDescriptors", counts);
    reader.object("bounds", [&settings](JsonReader &part) { settings.bounds = readBounds(part); });
    if (document.contains("quotaTolerance")) {
        reader.object("quotaTolerance", [&settings](JsonReader &part) { readQuotaTolerance(part, settings.bounds); });
    }
    reader.rejectUnknown(knownMembers);
    if (!faults.empty()) {
        return detail::faultsError(faults, Step::Settings);
    }
    return settings;
}

Result<EntrySettings> readEntrySettingsFile(const std::string &path)
{
    return readDocumentFile(path, readEntrySettings);
}

} // namespace sassafrasvane
