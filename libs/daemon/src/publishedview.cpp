#include "daemon/publishedview.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Holders of one searcher. Each needs a slot of its own, and a searcher whose holder fails must still have another
/// one; more holders divide the slots so finely that one cannot lend to the other.
constexpr std::uint32_t maxHolders = 2;

ConfigVersion versionOf(const Configuration &configuration)
{
    return configuration.version;
}

ConfigVersion versionOf(const ShardMap &map)
{
    return map.version();
}

ConfigVersion versionOf(const VmList &vms)
{
    return vms.version;
}

template<typename Value>
bool takeNewer(std::shared_ptr<const Value> &present, Value value)
{
    if (present != nullptr && versionOf(value) <= versionOf(*present)) {
        return false;
    }
    present = std::make_shared<const Value>(std::move(value));
    return true;
}

HolderTable holderTable(const Configuration &configuration, const ShardMap &map, const VmList &vms)
{
    std::vector<DaemonId> daemons;
    for (const Vm &vm : vms.vms) {
        if (vm.state == ServerState::Live) {
            daemons.push_back(daemonId(vm.peer));
        }
    }
    HolderTable::Builder builder;
    builder.map(map).daemons(daemons);
    for (const BackEndLimits &limits : configuration.backEnds) {
        builder.holdersOf(limits.name, std::min(limits.slots, maxHolders));
    }
    return builder.build();
}

} // namespace

bool ViewBuilder::take(Configuration configuration)
{
    return takeNewer(configuration_, std::move(configuration));
}

bool ViewBuilder::take(ShardMap map)
{
    return takeNewer(map_, std::move(map));
}

bool ViewBuilder::take(VmList vms)
{
    return takeNewer(vms_, std::move(vms));
}

std::shared_ptr<const PublishedView> ViewBuilder::view() const
{
    if (configuration_ == nullptr || map_ == nullptr || vms_ == nullptr) {
        return nullptr;
    }
    return std::make_shared<const PublishedView>(PublishedView{
        configuration_, map_, vms_, std::make_shared<const HolderTable>(holderTable(*configuration_, *map_, *vms_))});
}

} // namespace sassafrasvane
