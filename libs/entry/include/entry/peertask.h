#pragma once

#include "base/address.h"
#include "base/error.h"
#include "entry/namedvms.h"
#include "fleet/crashbroadcaster.h"
#include "fleet/gossipcodec.h"
#include "fleet/membership.h"
#include "fleet/subset.h"
#include "observe/eventlog.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

/// \file
/// Which other entry VMs there are.

namespace sassafrasvane
{

/// Who this process is to its peers.
struct EntryIdentity {
    Address peer;
    Address callers;
    std::string failureDomain;
    std::string region;
    /// Processor share of the VM in hundredths of a core.
    std::uint16_t capacity = 0;
    /// Proves membership among daemons.
    std::string key;
};

/// The entry VMs that callers are sent to, as one process sees them.
struct NamedMembers {
    /// How many are named now.
    std::size_t count = 0;
    /// True if the process itself is one of them.
    bool hasSelf = false;
    /// Names of those among which limits are divided: named now or lately, and the process itself.
    std::set<std::string> sharers;
};

/// Runs the membership exchange on a UDP socket.
class PeerTask
{
public:
    /// Time for which a member that is no longer named still counts when limits are divided.
    static constexpr Duration countedAfterNamed() noexcept { return std::chrono::seconds(30); }
    /// Time for which lost members are still named to callers if most members were lost: this process may be the one
    /// that is cut off.
    static constexpr Duration namedAfterMassLoss() noexcept { return std::chrono::seconds(3); }

    /// Limits of the membership exchange among entry processes.
    static MembershipLimits membershipLimits() noexcept;

    /// \return the task, or Errc::Unavailable if the address cannot be bound.
    static Result<std::unique_ptr<PeerTask>> create(boost::asio::io_context &context,
                                                    const EntryIdentity &identity,
                                                    EventLog &log);

    ~PeerTask();
    PeerTask(const PeerTask &) = delete;
    PeerTask &operator=(const PeerTask &) = delete;

    /// Sets what is called when the members have changed.
    void setOnMembers(std::function<void()> hook) { onMembers_ = std::move(hook); }

    /// Sets what takes evidence of requests that crash their searchers, and what tells all that is known.
    void setCrashHooks(std::function<void(std::span<const CrashEntry> entries)> take,
                       std::function<std::vector<CrashEntry>()> known);

    /// Sends new evidence to all other members.
    void spreadCrashes(std::span<const CrashEntry> entries);

    /// Repeats what may have been lost. To be called several times a second.
    void onTick(TimePoint now);

    /// Names peers to try.
    void setSeeds(std::span<const Address> peers);

    /// Begins the exchange.
    void start();

    /// Tells the others that this process takes no new work.
    void leave();

    /// Tells the others that this process ends, and ends the exchange.
    void stop();

    /// Where callers may connect: a part of the members that is spread over the failure domains.
    std::vector<Address> callerAddresses(TimePoint now) const;

    /// Takes over what the members have said of each other since their last change, as reports of deaths that are not
    /// confirmed yet. To be called a few times a second.
    void refresh();

    /// The entry VMs that are named to callers now, and those that lately were.
    NamedMembers named(TimePoint now);

    /// The members that should follow the store, this process included.
    std::vector<SubsetCandidate> readers(std::size_t count) const;

    /// The member of this process's failure domain that passes news of the store on to the others there; nothing if the
    /// domain is small.
    std::optional<DaemonId> relay() const;

    DaemonId self() const noexcept { return membership_.self().daemon; }

    std::size_t reachable() const noexcept { return membership_.reachableCount(); }

private:
    PeerTask(boost::asio::io_context &context,
             const EntryIdentity &identity,
             Incarnation incarnation,
             GossipCodec codec,
             EventLog &log);

    void receive();
    void take(std::string_view bytes);
    void takeDatagram(std::string_view bytes);
    void apply();
    void send(DaemonId to, const FleetMessage &message);
    void sendCrashes(DaemonId to, std::span<const CrashEntry> entries);
    void welcome(const std::vector<MemberChange> &changes);
    void schedule(std::optional<TimePoint> at);
    void logChanges(const std::vector<MemberChange> &changes);
    std::vector<SubsetCandidate> candidates() const;

    EventLog &log_;
    GossipCodec codec_;
    Membership membership_;
    MembershipActions actions_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    boost::asio::steady_timer timer_;
    std::array<char, 2'048> input_{};
    std::string output_;
    std::vector<Member> members_;
    std::function<void()> onMembers_;
    std::function<void(std::span<const CrashEntry> entries)> takeCrashes_;
    std::function<std::vector<CrashEntry>()> knownCrashes_;
    CrashBroadcaster crashBroadcaster_;
    std::map<DaemonId, TimePoint> namedAt_;
    bool isLeaving_ = false;
};

} // namespace sassafrasvane
