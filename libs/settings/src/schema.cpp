#include "settings/schema.h"

#include <algorithm>
#include <array>

namespace sassafrasvane
{

namespace
{

using Members = std::string_view[];

constexpr Members process{"callers",
                          "peers",
                          "operators",
                          "platform",
                          "failureDomain",
                          "region",
                          "peerKeys",
                          "operatorKey",
                          "logFile",
                          "logLevel",
                          "traceFile",
                          "traceSampling"};
constexpr Members configuration{"classes", "backEnds", "domainsOut"};
constexpr Members requestClass{"name",
                               "backEnd",
                               "latencyMs",
                               "percentile",
                               "completeness",
                               "extraLoadPercent",
                               "givesWay",
                               "idempotent"};
constexpr Members limits{"name", "slots", "connections", "connectionCostMs", "coldAllowance", "warmUpMs"};
constexpr Members shardMap{"backEnds"};
constexpr Members backEnd{"name", "searchers", "versions"};
constexpr Members searcher{"id", "address", "failureDomain", "state"};
constexpr Members index{"index", "parts"};
constexpr Members part{"id", "begin", "end", "searchers"};
constexpr Members vmList{"vms"};
constexpr Members vm{"peer", "callers", "failureDomain", "region", "state"};

constexpr SchemaObject objects[]{
    {DocumentKind::Process, "", process},
    {DocumentKind::Configuration, "", configuration},
    {DocumentKind::Configuration, "/classes/*", requestClass},
    {DocumentKind::Configuration, "/backEnds/*", limits},
    {DocumentKind::ShardMap, "", shardMap},
    {DocumentKind::ShardMap, "/backEnds/*", backEnd},
    {DocumentKind::ShardMap, "/backEnds/*/searchers/*", searcher},
    {DocumentKind::ShardMap, "/backEnds/*/versions/*", index},
    {DocumentKind::ShardMap, "/backEnds/*/versions/*/parts/*", part},
    {DocumentKind::VmList, "", vmList},
    {DocumentKind::VmList, "/vms/*", vm},
};

constexpr std::array<const char *, 4> kindNames{"process", "configuration", "shardmap", "vms"};

} // namespace

const char *name(DocumentKind kind) noexcept
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::span<const SchemaObject> schema() noexcept
{
    return objects;
}

std::span<const std::string_view> knownMembers(DocumentKind document, std::string_view pointer) noexcept
{
    const auto found
        = std::find_if(std::begin(objects), std::end(objects), [document, pointer](const SchemaObject &object) {
              return object.document == document && object.pointer == pointer;
          });
    return found == std::end(objects) ? std::span<const std::string_view>() : found->members;
}

} // namespace sassafrasvane
