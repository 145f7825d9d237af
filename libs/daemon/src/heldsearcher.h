#pragma once

#include "admission/connectionpacer.h"
#include "admission/searchergate.h"
#include "searcherconnections.h"
#include "shardmap/holders.h"
#include "shardmap/shardmap.h"

#include <memory>
#include <vector>

/// \file
/// A searcher of which this daemon holds a share.

namespace sassafrasvane::detail
{

/// The gate and the connections of one searcher. Used on the leaf task's thread only.
struct HeldSearcher {
    Searcher published;
    BackEndLimits limits;
    HolderShare share;
    /// The daemons that hold the other shares.
    std::vector<DaemonId> otherHolders;
    SearcherGate gate;
    ConnectionPacer pacer;
    std::unique_ptr<SearcherConnections> connections;

    /// Opens one more connection if one is needed and may be opened now.
    void openConnection(TimePoint now)
    {
        const ConnectionDemand demand{
            connections->count(), gate.concurrency(now), gate.coldCause(now) != ColdCause::None};
        const std::optional<TimePoint> next = pacer.nextOpening(demand);
        if (next && *next <= now) {
            pacer.onOpening(now);
            connections->add();
        }
    }
};

} // namespace sassafrasvane::detail
