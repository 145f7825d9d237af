#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The settings of an entry process: a daemon whose configuration and searchers are published in a store.

namespace sassafrasvane
{

/// Where an entry process listens. All addresses differ.
struct EntryListeners {
    /// For callers' requests.
    Address callers;
    /// For the question whether this process is ready.
    Address readiness;
    /// For callers that ask which entry VMs to use.
    Address directory;
    /// For other entry processes that have just started.
    Address control;
};

/// What the operator promises to callers and back ends. Times bound how long a change may take to be in force.
struct EntryBounds {
    /// From SIGTERM to SIGKILL.
    Duration stopGrace = std::chrono::seconds(6);
    /// Extra calls to a back end, as a share of the requests for it in retryWindow.
    double retryRatio = 0.2;
    Duration retryWindow = std::chrono::seconds(10);
    /// Extra calls to a back end in retryWindow beyond that share, over all entry VMs.
    double retrySlack = 50;
    /// A cold searcher takes its published rate times coldFactor plus coldSlack calls in a second, over all entry VMs.
    double coldFactor = 1.5;
    double coldSlack = 5;
    /// Longest time for which callers keep a list of entry VMs.
    Duration directoryLifetime = std::chrono::seconds(5);
    /// In a window, all VMs together admit at most (rate * window + burst) * (1 + overage) + slack requests of a
    /// tenant.
    Duration quotaWindow = std::chrono::seconds(5);
    double quotaOverage = 0;
    double quotaSlack = 0;
};

/// The settings of one entry process.
struct EntrySettings {
    /// Name of the VM, for log lines.
    std::string vm;
    std::string failureDomain;
    std::string region;
    EntryListeners listeners;
    /// UDP port of the exchange between entry VMs, the same on all of them.
    std::uint16_t peerPort = 0;
    /// TCP port that serves metrics; 0 for none.
    std::uint16_t metricsPort = 0;
    /// Control addresses of some entry VMs; they may be out of date.
    std::vector<Address> seeds;
    /// The store that publishes configuration and searchers.
    Address store;
    /// True if the whole system starts for the first time, so that no callers wait yet.
    bool isFirstStart = false;
    /// Cores that the process may use; a part of one on most VMs.
    double processorShare = 1;
    std::uint64_t memoryMb = 0;
    std::uint64_t fileDescriptors = 0;
    EntryBounds bounds;
};

/// Reads the settings of an entry process from JSON.
/// \return the settings, or Errc::InvalidConfiguration that names every fault.
Result<EntrySettings> readEntrySettings(std::string_view json);

/// Reads the settings of an entry process from the file at \p path.
Result<EntrySettings> readEntrySettingsFile(const std::string &path);

} // namespace sassafrasvane
