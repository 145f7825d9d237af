#include "settings/published.h"

#include "jsonreader.h"
#include "settings/schema.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace sassafrasvane
{

namespace
{

using detail::Faults;
using detail::JsonReader;

constexpr double maxLatencyMs = 60'000;
constexpr double maxPercent = 100;
/// A restarted server is spared for this long unless its own time is published.
constexpr double defaultWarmUpMs = 2'000;
constexpr double maxWarmUpMs = 600'000;
constexpr double maxSlots = 10'000;
constexpr double maxConnections = 100'000;
constexpr double maxConnectionCostMs = 10'000;
constexpr double maxId = 4'294'967'295;
constexpr double maxKey = 9'007'199'254'740'992; // Largest whole number that JSON carries exactly.
constexpr std::array<GivesWay, 2> givesWayValues{GivesWay::Latency, GivesWay::Coverage};
constexpr std::array<ServerState, 2> stateValues{ServerState::Live, ServerState::Leaving};

ClassTarget readTarget(JsonReader &reader)
{
    ClassTarget target;
    target.latency = fromMilliseconds(reader.number("latencyMs", {1, maxLatencyMs}));
    target.percentile = reader.number("percentile", {1, 99.999});
    target.completeness = reader.number("completeness", {0.01, 1});
    target.extraLoad = reader.number("extraLoadPercent", {0, maxPercent}) / maxPercent;
    return target;
}

RequestClass readClass(JsonReader &reader)
{
    RequestClass cls;
    cls.name = reader.text("name");
    cls.backEnd = reader.text("backEnd");
    cls.target = readTarget(reader);
    cls.givesWay = givesWayValues.at(reader.choiceOr("givesWay", {"latency", "coverage"}, 1));
    cls.isIdempotent = reader.flagOr("idempotent", true);
    reader.rejectUnknown(knownMembers(DocumentKind::Configuration, "/classes/*"));
    return cls;
}

BackEndLimits readLimits(JsonReader &reader)
{
    BackEndLimits limits;
    limits.name = reader.text("name");
    limits.slots = static_cast<std::uint32_t>(reader.whole("slots", {1, maxSlots}));
    limits.connections = static_cast<std::uint32_t>(reader.whole("connections", {1, maxConnections}));
    limits.connectionCost = fromMilliseconds(reader.number("connectionCostMs", {0, maxConnectionCostMs}));
    limits.coldAllowance = static_cast<std::uint32_t>(reader.whole("coldAllowance", {1, maxSlots}));
    if (limits.coldAllowance > limits.slots) {
        reader.fault("coldAllowance", "is more than the slots");
    }
    limits.warmUp = fromMilliseconds(reader.numberOr("warmUpMs", {0, maxWarmUpMs}, defaultWarmUpMs));
    reader.rejectUnknown(knownMembers(DocumentKind::Configuration, "/backEnds/*"));
    return limits;
}

std::string unknownBackEnd(const Configuration &configuration, const std::string &name, std::size_t faultCount)
{
    std::string text = '"' + name + "\" is not among /backEnds";
    if (faultCount >= detail::maxShownFaults) {
        return text;
    }
    std::vector<std::string_view> known;
    for (const BackEndLimits &limits : configuration.backEnds) {
        known.emplace_back(limits.name);
    }
    const std::string_view nearest = detail::nearest(name, known);
    return nearest.empty() ? text : text + "; the nearest known name is \"" + std::string(nearest) + '"';
}

void checkReferences(const Configuration &configuration, Faults &faults)
{
    for (std::size_t i = 0; i < configuration.classes.size(); ++i) {
        const RequestClass &cls = configuration.classes[i];
        const std::string pointer = "/classes/" + std::to_string(i);
        if (configuration.findBackEnd(cls.backEnd) == nullptr) {
            faults.push_back(pointer + "/backEnd: " + unknownBackEnd(configuration, cls.backEnd, faults.size()));
        }
        if (configuration.findClass(cls.name)->value != i) {
            faults.push_back(pointer + "/name: \"" + cls.name + "\" appears twice");
        }
    }
    for (std::size_t i = 0; i < configuration.backEnds.size(); ++i) {
        const std::string &name = configuration.backEnds[i].name;
        if (configuration.findBackEnd(name) != &configuration.backEnds[i]) {
            faults.push_back("/backEnds/" + std::to_string(i) + "/name: \"" + name + "\" appears twice");
        }
    }
}

void checkVms(const VmList &list, Faults &faults)
{
    std::set<Address> seen;
    for (std::size_t i = 0; i < list.vms.size(); ++i) {
        for (const auto &[key, address] :
             {std::pair("peer", list.vms[i].peer), std::pair("callers", list.vms[i].callers)}) {
            if (address != Address{} && !seen.insert(address).second) {
                faults.push_back("/vms/" + std::to_string(i) + '/' + key + ": \"" + address.toString()
                                 + "\" appears twice");
            }
        }
    }
}

Part readPart(JsonReader &reader)
{
    Part part;
    part.id = PartId{static_cast<std::uint32_t>(reader.whole("id", {0, maxId}))};
    part.begin = reader.whole("begin", {0, maxKey});
    part.end = reader.whole("end", {0, maxKey});
    for (const std::uint64_t replica : reader.wholes("searchers", {0, maxId})) {
        part.replicas.push_back(SearcherId{static_cast<std::uint32_t>(replica)});
    }
    reader.rejectUnknown(knownMembers(DocumentKind::ShardMap, "/backEnds/*/versions/*/parts/*"));
    return part;
}

IndexMap readIndex(JsonReader &reader)
{
    IndexMap index;
    index.version = IndexVersion{reader.whole("index", {1, maxKey})};
    reader.objects("parts", [&index](JsonReader &part) { index.parts.push_back(readPart(part)); });
    reader.rejectUnknown(knownMembers(DocumentKind::ShardMap, "/backEnds/*/versions/*"));
    return index;
}

Searcher readSearcher(JsonReader &reader)
{
    Searcher searcher;
    searcher.id = SearcherId{static_cast<std::uint32_t>(reader.whole("id", {0, maxId}))};
    searcher.address = reader.address("address");
    searcher.failureDomain = reader.text("failureDomain");
    searcher.state = stateValues.at(reader.choiceOr("state", {"live", "leaving"}, 0));
    reader.rejectUnknown(knownMembers(DocumentKind::ShardMap, "/backEnds/*/searchers/*"));
    return searcher;
}

BackEndMap readBackEnd(JsonReader &reader)
{
    BackEndMap backEnd;
    backEnd.name = reader.text("name");
    reader.objects("searchers",
                   [&backEnd](JsonReader &searcher) { backEnd.searchers.push_back(readSearcher(searcher)); });
    reader.objects("versions", [&backEnd](JsonReader &index) { backEnd.versions.push_back(readIndex(index)); });
    reader.rejectUnknown(knownMembers(DocumentKind::ShardMap, "/backEnds/*"));
    return backEnd;
}

Vm readVm(JsonReader &reader)
{
    Vm vm;
    vm.peer = reader.address("peer");
    vm.callers = reader.address("callers");
    vm.failureDomain = reader.text("failureDomain");
    vm.region = reader.text("region");
    vm.state = stateValues.at(reader.choiceOr("state", {"live", "leaving"}, 0));
    reader.rejectUnknown(knownMembers(DocumentKind::VmList, "/vms/*"));
    return vm;
}

} // namespace

std::optional<ClassIndex> Configuration::findClass(std::string_view name) const noexcept
{
    for (std::size_t i = 0; i < classes.size(); ++i) {
        if (classes[i].name == name) {
            return ClassIndex{static_cast<std::uint32_t>(i)};
        }
    }
    return std::nullopt;
}

const BackEndLimits *Configuration::findBackEnd(std::string_view name) const noexcept
{
    for (const BackEndLimits &limits : backEnds) {
        if (limits.name == name) {
            return &limits;
        }
    }
    return nullptr;
}

bool Configuration::isOut(std::string_view failureDomain) const noexcept
{
    return std::find(domainsOut.begin(), domainsOut.end(), failureDomain) != domainsOut.end();
}

Result<Configuration> readConfiguration(std::string_view json, ConfigVersion version)
{
    Faults faults;
    const nlohmann::json document = detail::parseObject(json, faults);
    Configuration configuration;
    configuration.version = version;
    JsonReader reader(document, "", faults);
    reader.objects("classes", [&configuration](JsonReader &cls) { configuration.classes.push_back(readClass(cls)); });
    reader.objects("backEnds",
                   [&configuration](JsonReader &limits) { configuration.backEnds.push_back(readLimits(limits)); });
    configuration.domainsOut = reader.texts("domainsOut", false);
    reader.rejectUnknown(knownMembers(DocumentKind::Configuration, ""));
    checkReferences(configuration, faults);
    if (!faults.empty()) {
        return detail::faultsError(faults, Step::Configuration);
    }
    return configuration;
}

Result<ShardMap> readShardMap(std::string_view json, ConfigVersion version)
{
    Faults faults;
    const nlohmann::json document = detail::parseObject(json, faults);
    ShardMap::Builder builder;
    JsonReader reader(document, "", faults);
    reader.objects("backEnds", [&builder](JsonReader &backEnd) { builder.backEnd(readBackEnd(backEnd)); });
    reader.rejectUnknown(knownMembers(DocumentKind::ShardMap, ""));
    if (!faults.empty()) {
        return detail::faultsError(faults, Step::Configuration);
    }
    return builder.build(version);
}

Result<VmList> readVmList(std::string_view json, ConfigVersion version)
{
    Faults faults;
    const nlohmann::json document = detail::parseObject(json, faults);
    VmList list;
    list.version = version;
    JsonReader reader(document, "", faults);
    reader.objects("vms", [&list](JsonReader &vm) { list.vms.push_back(readVm(vm)); });
    reader.rejectUnknown(knownMembers(DocumentKind::VmList, ""));
    checkVms(list, faults);
    if (!faults.empty()) {
        return detail::faultsError(faults, Step::Configuration);
    }
    return list;
}

} // namespace sassafrasvane
