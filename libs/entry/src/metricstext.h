#pragma once

#include "entry/crashwatch.h"
#include "entry/dispatcher.h"
#include "entry/entryserver.h"
#include "entry/peertask.h"
#include "entry/publishedstate.h"
#include "entry/storetask.h"
#include "entryhttpservers.h"

#include <string>

/// \file
/// The metrics of an entry process in the Prometheus text format.

namespace sassafrasvane::detail
{

/// The objects whose metrics are exported.
struct MetricsSources {
    const EntryServer &entry;
    const Dispatcher &dispatcher;
    const SearcherPool &pool;
    const CrashWatch &crashes;
    const PublishedState &state;
    const StoreTask &store;
    const PeerTask &peers;
    EntryHttpServers &servers;
    const EventLog &log;
    const http::ResponseMemory &responses;
};

/// Returns all metrics in the Prometheus text format.
std::string metricsText(const MetricsSources &sources);

} // namespace sassafrasvane::detail
