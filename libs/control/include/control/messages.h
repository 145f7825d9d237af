#pragma once

#include "base/address.h"
#include "base/ids.h"
#include "observe/decisionjournal.h"
#include "observe/metrics.h"
#include "observe/trace.h"
#include "settings/published.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The messages between a daemon and its operators.

namespace sassafrasvane
{

/// What a daemon is doing in its life.
enum class DaemonPhase {
    Starting, ///< Has no complete set of published values yet.
    Serving,
    Draining, ///< Takes no new work and finishes what it has.
    Stopped,  ///< Has finished its work; the process is about to end.
};

/// Stable name of \p phase, such as "serving".
const char *name(DaemonPhase phase) noexcept;

/// A published value as a daemon holds it.
struct PublishedStatus {
    /// 0 if none was read yet.
    ConfigVersion version;
    /// Since it was last confirmed to be the newest, in seconds; negative if it never was.
    double ageSeconds = -1;
};

/// A searcher as a daemon sees it.
struct SearcherStatus {
    SearcherId id;
    Address address;
    std::string backEnd;
    std::string failureDomain;
    /// True if it is treated as newly started.
    bool isCold = false;
    /// Calls of this daemon that run there.
    std::uint32_t running = 0;
    /// Calls of this daemon that wait for it.
    std::uint32_t waiting = 0;
    /// Calls that this daemon may run there at the same time.
    std::uint32_t allowance = 0;
};

/// A class against its target.
struct ClassStatus {
    /// The measures; also holds the class's name.
    ClassSummary measured;
    ClassTarget target;
    /// Which targets cannot be met together and which one gave way; empty if all are met.
    std::string conflict;
};

/// Another daemon as this one sees it.
struct PeerStatus {
    Address address;
    std::string failureDomain;
    /// Its state, such as "alive", "suspect", "leaving" or "dead".
    std::string state;
};

/// The state of a daemon.
struct DaemonStatus {
    /// Its peer address.
    Address id;
    Incarnation incarnation;
    /// The version of its program.
    std::string program;
    std::string failureDomain;
    std::string region;
    DaemonPhase phase = DaemonPhase::Starting;
    double uptimeSeconds = 0;
    PublishedStatus configuration;
    PublishedStatus shardMap;
    PublishedStatus vms;
    /// Failure domains that are out by the configuration in force.
    std::vector<std::string> domainsOut;
    /// Fingerprints of requests that are barred now.
    std::uint32_t barredRequests = 0;
    std::vector<PeerStatus> peers;
    std::vector<SearcherStatus> searchers;
    std::vector<ClassStatus> classes;
};

/// What an operator asks about: exactly one member is set.
struct WhySubject {
    std::optional<TraceId> trace = std::nullopt;
    std::optional<Address> server = std::nullopt;
    std::optional<std::string> cls = std::nullopt;

    /// Reads 32 hexadecimal digits as a trace, ip:port as a server and anything else as the name of a class.
    static WhySubject parse(std::string_view text);

    /// The text that parse() reads.
    std::string toString() const;

    /// The decisions that concern it.
    DecisionFilter filter() const;
};

/// What a daemon knows about a WhySubject.
struct WhyReply {
    /// Oldest first.
    std::vector<Decision> decisions;
    /// The spans of the trace asked for, by their start.
    std::vector<Span> spans;
};

/// An address that callers are advised to use.
struct EntryStatus {
    Address callers;
    std::string failureDomain;
};

/// The advice that a daemon gives to callers now.
struct EntriesReply {
    std::vector<EntryStatus> entries;
    /// How long callers may keep it.
    double lifetimeSeconds = 0;
};

/// The state of a planned stop.
struct DrainReply {
    DaemonPhase phase = DaemonPhase::Draining;
    /// Requests of callers that still run.
    std::uint32_t openRequests = 0;
};

} // namespace sassafrasvane
