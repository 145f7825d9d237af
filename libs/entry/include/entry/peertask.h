#pragma once

#include "base/address.h"
#include "base/error.h"
#include "fleet/gossipcodec.h"
#include "fleet/membership.h"
#include "observe/eventlog.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
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
    /// Proves membership among daemons.
    std::string key;
};

/// Runs the membership exchange on a UDP socket.
class PeerTask
{
public:
    /// Time for which a lost member still counts when limits are divided: it may be only cut off.
    static constexpr Duration countedAfterLoss() noexcept { return std::chrono::seconds(30); }
    /// Time for which lost members are still named to callers if most members were lost: this process may be the one
    /// that is cut off.
    static constexpr Duration namedAfterMassLoss() noexcept { return std::chrono::seconds(3); }

    /// \return the task, or Errc::Unavailable if the address cannot be bound.
    static Result<std::unique_ptr<PeerTask>> create(boost::asio::io_context &context,
                                                    const EntryIdentity &identity,
                                                    EventLog &log);

    ~PeerTask();
    PeerTask(const PeerTask &) = delete;
    PeerTask &operator=(const PeerTask &) = delete;

    /// Sets what is called when the members have changed.
    void setOnMembers(std::function<void()> hook) { onMembers_ = std::move(hook); }

    /// Names peers to try.
    void setSeeds(std::span<const Address> peers);

    /// Begins the exchange.
    void start();

    /// Tells the others that this process takes no new work.
    void leave();

    /// Tells the others that this process ends, and ends the exchange.
    void stop();

    /// Where callers may connect, this process first unless it is leaving.
    std::vector<Address> callerAddresses(TimePoint now) const;

    /// Names of the entry VMs among which limits are divided, this one included.
    std::set<std::string> fleet(TimePoint now) const;

    /// Peer addresses of members that are alive.
    std::vector<Address> alivePeers() const;

    std::size_t reachable() const noexcept { return membership_.reachableCount(); }

private:
    PeerTask(boost::asio::io_context &context,
             const EntryIdentity &identity,
             Incarnation incarnation,
             GossipCodec codec,
             EventLog &log);

    void receive();
    void take(std::string_view bytes);
    void apply();
    void send(const GossipSend &out);
    void schedule(std::optional<TimePoint> at);
    void logChanges(const std::vector<MemberChange> &changes);

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
    bool isLeaving_ = false;
};

} // namespace sassafrasvane
