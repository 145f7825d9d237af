#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "shardmap/shardmap.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The values that the platform publishes, typed: the configuration, the shard map and the list of VMs.

namespace sassafrasvane
{

/// What operators ask of a class of work.
struct ClassTarget {
    /// Time within which \ref percentile of the answers must be out.
    Duration latency{0};
    /// In (0, 100), for example 99.
    double percentile = 99;
    /// Least coverage of a good answer, in (0, 1].
    double completeness = 1;
    /// Most additional backend requests, as a fraction of the needed ones, for example 0.05.
    double extraLoad = 0;
};

/// Which target yields when not all three can be met.
enum class GivesWay {
    Latency,  ///< Wait longer for a complete answer.
    Coverage, ///< Answer in time with less coverage.
};

/// A class of work.
struct RequestClass {
    std::string name;
    /// The back end that serves it.
    std::string backEnd;
    ClassTarget target;
    GivesWay givesWay = GivesWay::Coverage;
    /// False for work that must run at most once, such as a booking.
    bool isIdempotent = true;
};

/// The published limits of each searcher of a back end.
struct BackEndLimits {
    std::string name;
    /// Requests that a searcher can run at the same time.
    std::uint32_t slots = 1;
    /// Connections that a searcher accepts.
    std::uint32_t connections = 1;
    /// Time that opening a connection costs the searcher.
    Duration connectionCost{0};
    /// Requests that a cold searcher can run at the same time.
    std::uint32_t coldAllowance = 1;
    /// Shortest time for which a searcher that has begun to answer after a start remains cold.
    Duration warmUp{0};
};

/// The published configuration. Immutable once read; shared as std::shared_ptr<const Configuration>.
struct Configuration {
    ConfigVersion version;
    std::vector<RequestClass> classes;
    std::vector<BackEndLimits> backEnds;
    /// Failure domains that operators have taken out.
    std::vector<std::string> domainsOut;

    /// The class called \p name, or nothing.
    std::optional<ClassIndex> findClass(std::string_view name) const noexcept;

    /// The limits of back end \p name, or nullptr.
    const BackEndLimits *findBackEnd(std::string_view name) const noexcept;

    /// True if operators have taken \p failureDomain out.
    bool isOut(std::string_view failureDomain) const noexcept;
};

/// One entry VM, as published.
struct Vm {
    /// Where its daemon talks to other daemons; gives its DaemonId.
    Address peer;
    /// Where its daemon serves callers.
    Address callers;
    std::string failureDomain;
    std::string region;
    ServerState state = ServerState::Live;
};

/// The published list of VMs. It lags behind the truth.
struct VmList {
    ConfigVersion version;
    std::vector<Vm> vms;
};

/// Reads a configuration from JSON.
/// \param json the published text, UTF-8.
/// \param version the version under which it was published.
/// \return the configuration, or Errc::InvalidConfiguration that names every fault.
Result<Configuration> readConfiguration(std::string_view json, ConfigVersion version);

/// Reads a shard map from JSON; errors as for readConfiguration().
Result<ShardMap> readShardMap(std::string_view json, ConfigVersion version);

/// Reads a list of VMs from JSON; errors as for readConfiguration().
Result<VmList> readVmList(std::string_view json, ConfigVersion version);

} // namespace sassafrasvane
