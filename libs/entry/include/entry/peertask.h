#pragma once

#include "base/address.h"
#include "base/error.h"
#include "entry/advertisedvms.h"
#include "fleet/crashbroadcaster.h"
#include "fleet/gossipcodec.h"
#include "fleet/membership.h"
#include "fleet/subset.h"
#include "observe/eventlog.h"
#include "placement/limitshare.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// Membership of the entry processes.

namespace sassafrasvane
{

/// The identity that this process announces to its peers.
struct EntryIdentity {
    /// Address of the membership exchange (UDP).
    Address peer;
    /// Address at which this process serves callers.
    Address callerAddress;
    std::string failureDomain;
    std::string region;
    /// CPU share of the VM in hundredths of a core.
    std::uint16_t capacity = 0;
    /// Shared key that authenticates messages between peers.
    std::string key;
};

/// The entry VMs advertised to callers, as seen by this process.
struct AdvertisedMembers {
    /// The members that share limits, by their peer addresses: those advertised now or recently.
    Fleet fleet;
    /// True if this process is advertised now.
    bool hasSelf = false;
};

/// Runs the membership exchange on a UDP socket.
class PeerTask
{
public:
    /// Time for which a member that is no longer advertised keeps its share of the limits.
    static constexpr Duration quotaShareRetention() noexcept { return std::chrono::seconds(30); }
    /// A member that was advertised for less than this time keeps no share: while members are discovered after a start,
    /// many are advertised for a moment, and limits would be divided among nearly all VMs for quotaShareRetention().
    static constexpr Duration minAdvertisedTime() noexcept { return std::chrono::seconds(4); }
    /// Time for which lost members are still advertised to callers if more members are lost than alive: this process
    /// may be the one that is isolated.
    static constexpr Duration massLossRetention() noexcept { return std::chrono::seconds(3); }

    /// Limits of the membership exchange among entry processes.
    static MembershipLimits membershipLimits() noexcept;

    /// \return the task, or Errc::Unavailable if the address cannot be bound.
    static Result<std::unique_ptr<PeerTask>> create(boost::asio::io_context &context,
                                                    const EntryIdentity &identity,
                                                    EventLog &log);

    ~PeerTask();
    PeerTask(const PeerTask &) = delete;
    PeerTask &operator=(const PeerTask &) = delete;

    /// Sets the callback for changes of the membership.
    void setOnMembers(std::function<void()> hook) { onMembers_ = std::move(hook); }

    /// Sets the callbacks for evidence of requests that crash searchers: \p take receives evidence from peers, \p known
    /// returns all evidence known here.
    void setCrashHooks(std::function<void(std::span<const CrashEntry> entries)> take,
                       std::function<std::vector<CrashEntry>()> known);

    /// Sends new evidence to all other members.
    void broadcastCrashes(std::span<const CrashEntry> entries);

    /// Sets the callbacks for tenants' quotas: \p take receives a peer's report, \p due returns the reports to send
    /// now, \p recipients the peers to send each of them to.
    void setQuotaHooks(std::function<void(DaemonId peer, const QuotaReport &report)> take,
                       std::function<std::vector<QuotaReport>()> due,
                       std::function<std::vector<DaemonId>()> recipients);

    /// Sends due quota reports, and resends crash evidence, as datagrams may be lost. Must be called several times a
    /// second.
    void onTick(TimePoint now);

    /// Sets the peers to contact first.
    void setSeeds(std::span<const Address> peers);

    /// Starts the exchange.
    void start();

    /// Announces that this process takes no new work.
    void leave();

    /// Announces that this process stops, and ends the exchange.
    void stop();

    /// Sets the failure domains whose VMs are preferred when VMs are advertised, as queryDomains() returns them.
    void setQueryDomains(std::set<std::string> domains) { queryDomains_ = std::move(domains); }

    /// Addresses to which callers may connect: a subset of the members, spread over the failure domains.
    std::vector<Address> callerAddresses(TimePoint now) const;

    /// Updates the cached member list, which includes reports between members such as deaths that are not confirmed
    /// yet. Must be called a few times a second.
    void refreshMembers();

    /// The entry VMs advertised to callers now; also tracks those advertised recently.
    AdvertisedMembers advertisedMembers(TimePoint now);

    /// True if \p daemon has stopped as planned.
    bool hasLeft(DaemonId daemon) const;

    /// The members that should read the store, possibly this process among them. \param count number of readers.
    std::vector<SubsetCandidate> readers(std::size_t count) const;

    /// The member of this process's failure domain that relays store changes to the others there; nothing if the domain
    /// has too few members.
    std::optional<DaemonId> relay() const;

    DaemonId self() const noexcept { return membership_.self().daemon; }

    std::size_t reachableCount() const noexcept { return membership_.reachableCount(); }

private:
    /// When a member was advertised first and last, without a longer break.
    struct AdvertisedTime {
        TimePoint firstAt;
        TimePoint lastAt;
    };

    PeerTask(boost::asio::io_context &context,
             const EntryIdentity &identity,
             Incarnation incarnation,
             GossipCodec codec,
             EventLog &log);

    void receive();
    void onDatagram(std::string_view bytes);
    void handleDatagram(std::string_view bytes);
    void performActions();
    void send(DaemonId to, const FleetMessage &message);
    void resendCrashes(TimePoint now);
    void sendQuotaReports();
    void sendCrashes(DaemonId to, std::span<const CrashEntry> entries);
    void sendKnownCrashes(const std::vector<MemberChange> &changes);
    void scheduleTimer(std::optional<TimePoint> at);
    void logChanges(const std::vector<MemberChange> &changes);
    std::vector<SubsetCandidate> candidates() const;

    EventLog &log_;
    GossipCodec codec_;
    Membership membership_;
    MembershipActions actions_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    boost::asio::steady_timer timer_;
    std::array<char, 2'048> receiveBuffer_{};
    std::string sendBuffer_;
    std::vector<Member> members_;
    std::function<void()> onMembers_;
    std::function<void(std::span<const CrashEntry> entries)> onCrashEvidence_;
    std::function<std::vector<CrashEntry>()> knownCrashes_;
    std::function<void(DaemonId peer, const QuotaReport &report)> onQuotaReport_;
    std::function<std::vector<QuotaReport>()> dueQuotaReports_;
    std::function<std::vector<DaemonId>()> quotaRecipients_;
    CrashBroadcaster crashBroadcaster_;
    std::map<DaemonId, AdvertisedTime> advertised_;
    std::set<std::string> queryDomains_;
    bool isLeaving_ = false;
};

} // namespace sassafrasvane
