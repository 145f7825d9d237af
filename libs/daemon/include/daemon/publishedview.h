#pragma once

#include "base/ids.h"
#include "settings/published.h"
#include "shardmap/holders.h"
#include "shardmap/shardmap.h"

#include <memory>

/// \file
/// The published values in force, together.

namespace sassafrasvane
{

/// Immutable; shared by all tasks.
struct PublishedView {
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const ShardMap> map;
    std::shared_ptr<const VmList> vms;
    std::shared_ptr<const HolderTable> holders;
};

/// Keeps the newest of each published value and makes views of them. Used on one thread.
class ViewBuilder
{
public:
    /// Each takes a value if its version is higher than the present one's. \return true if it was taken.
    bool take(Configuration configuration);
    bool take(ShardMap map);
    bool take(VmList vms);

    /// The view of the present values, or nullptr while one of them is missing.
    std::shared_ptr<const PublishedView> view() const;

private:
    std::shared_ptr<const Configuration> configuration_;
    std::shared_ptr<const ShardMap> map_;
    std::shared_ptr<const VmList> vms_;
};

} // namespace sassafrasvane
