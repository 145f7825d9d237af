#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "fleet/membership.h"
#include "settings/published.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// The task that talks with the other daemons about the fleet itself.

namespace sassafrasvane
{

/// What the fleet task tells. Called on its own thread; must not block.
struct FleetHooks {
    /// The members but this daemon, whenever one of them changed.
    std::function<void(const std::vector<Member> &members)> onMembers;
    /// A datagram was refused or could not be sent; for the log.
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

/// Owns the UDP socket on this daemon's peer address and the membership exchange on it.
///
/// \code
/// const std::unique_ptr<FleetTask> fleet = FleetTask::start(identity, hooks).value();
/// fleet->setPublished(vms);
/// \endcode
class FleetTask
{
public:
    /// \return the task, running; or Errc::Unavailable if the address cannot be bound.
    static Result<std::unique_ptr<FleetTask>> start(const FleetIdentity &identity, FleetHooks hooks);

    ~FleetTask();

    FleetTask(const FleetTask &) = delete;
    FleetTask &operator=(const FleetTask &) = delete;

    /// Takes the platform's list.
    void setPublished(std::shared_ptr<const VmList> vms);

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
