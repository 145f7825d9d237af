#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "daemon/platformreader.h"
#include "fleet/configdistributor.h"
#include "fleet/entryadvice.h"
#include "fleet/freshnesslease.h"
#include "fleet/membership.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The task that talks with the other daemons about the fleet itself.

namespace sassafrasvane
{

/// What the fleet task tells. Called on its own thread; must not block.
struct FleetHooks {
    /// The members but this daemon, whenever one of them changed.
    std::function<void(const std::vector<Member> &members)> onMembers;
    /// A published value is in force from now on.
    std::function<void(const AcceptedValue &value)> onAccepted;
    /// A published value was refused; the one in force stays.
    std::function<void(const RefusedValue &value)> onRefused;
    /// Makes a read of the platform's service.
    std::function<void(const ServiceRead &read)> read;
    /// A datagram was refused; for the log.
    std::function<void(const Error &error)> onError;
};

/// Who the daemon is, for its member record.
struct FleetIdentity {
    DaemonId daemon;
    Incarnation incarnation;
    Address callers;
    std::string failureDomain;
    std::string region;
    /// The first key signs, all are accepted.
    std::vector<std::string> keys;
};

/// Counts of the exchange since the start.
struct FleetCounters {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsRefused = 0;
    std::uint64_t serviceCalls = 0;
};

/// Owns the UDP socket on this daemon's peer address, and on it the membership, the spread of published values, the
/// lease on this daemon's knowledge and the advice to callers.
///
/// \code
/// const std::unique_ptr<FleetTask> fleet = FleetTask::create(identity, hooks).value();
/// fleet->run();
/// const Advice advice = fleet->advise("nairobi-a");
/// \endcode
class FleetTask
{
public:
    /// The longest lifetime of the advice given to callers.
    static Duration longestAdvice() noexcept;

    /// \return the task, which calls no hook before run(); or Errc::Unavailable if the address cannot be bound.
    static Result<std::unique_ptr<FleetTask>> create(const FleetIdentity &identity, FleetHooks hooks);

    ~FleetTask();

    FleetTask(const FleetTask &) = delete;
    FleetTask &operator=(const FleetTask &) = delete;

    /// Begins the exchange.
    void run();

    /// Takes the answer to a read.
    void onServiceValue(PlatformValue value);

    /// Takes the failure of a read.
    void onServiceFailed(ConfigKey key);

    /// Sets the failure domains whose daemons are not advised.
    void setDomainsOut(std::vector<std::string> domainsOut);

    /// Advises a caller in \p failureDomain, which is empty if it does not say. Callable from any thread.
    Advice advise(std::string_view failureDomain);

    /// Whether new work may be sent now. Callable from any thread; to be called for each piece of work.
    LeaseState checkLease();

    /// Time since the published values were last confirmed; negative if they never were. Callable from any thread.
    double knowledgeAgeSeconds() const;

    /// Counts since the start. Callable from any thread.
    FleetCounters counters() const;

    /// Tells the others that this daemon takes no new work.
    void leave();

    /// Tells the others that this daemon ends, then ends the task.
    void stop();

private:
    struct Implementation;
    explicit FleetTask(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation_;
};

} // namespace sassafrasvane
