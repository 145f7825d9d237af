#pragma once

#include "base/random.h"
#include "entry/feedclient.h"
#include "entry/publishedstate.h"
#include "entry/storetask.h"

#include <map>
#include <memory>
#include <span>
#include <vector>

/// \file
/// Chooses whether this process reads the store itself or follows other entry processes.

namespace sassafrasvane
{

/// Keeps the published items up to date with a bounded number of calls to the store.
///
/// A few processes in different failure domains, the readers, read the store itself. Every other process polls one peer
/// for the changed items (a reader, or a relay in its own failure domain) and the readers for their position, so that a
/// change arrives unless all of them miss it. A process that reaches none of its peers falls back to the store. One
/// that knows no items and cannot read the store either begins with those that its peers knew last.
class FeedTask
{
public:
    /// Number of processes that read the store.
    static constexpr std::size_t readerCount() noexcept { return 3; }
    /// Time without a healthy peer after which a process falls back to the store: fallbackDelay() plus a random time of
    /// up to fallbackJitter(). Both grow with the number of entry processes: when all readers lose the store for a
    /// moment, the other processes must not all list the store at once.
    static Duration fallbackDelay(std::size_t processCount) noexcept;
    static Duration fallbackJitter(std::size_t processCount) noexcept;
    /// Fallback delay after a start, and after the very first start of the deployment, when no callers wait yet.
    static constexpr Duration startFallbackDelay() noexcept { return std::chrono::milliseconds(150); }
    static constexpr Duration firstStartFallbackDelay() noexcept { return std::chrono::milliseconds(3'000); }

    /// \param memory bounds the memory for the peers' responses. \param startFallbackDelay see startFallbackDelay().
    FeedTask(boost::asio::io_context &context,
             http::ResponseMemory &memory,
             PublishedState &state,
             StoreTask &store,
             EventLog &log,
             std::uint64_t seed,
             Duration startFallbackDelay);
    ~FeedTask();
    FeedTask(const FeedTask &) = delete;
    FeedTask &operator=(const FeedTask &) = delete;

    /// Sets the peers to follow.
    /// \param peers control addresses without that of this process. The first peer is polled for the changed items, the
    /// others for their position.
    /// \param isReader true if this process reads the store itself.
    /// \param processCount number of known entry processes.
    void setPeers(std::span<const Address> peers, bool isReader, std::size_t processCount);

    /// The position that this process can serve to peers, confirmed by the store if it reads the store, otherwise by
    /// the peer that it polls for items. A reader doesn't relay data of peers. \return nothing if the data is not
    /// fresh.
    std::optional<ConfirmedPosition> confirmedPosition(TimePoint now) const;

    /// Switches between the store and the peers if due. Must be called several times a second.
    void onTick(TimePoint now);

private:
    void updateClients();
    void noteLossOfAllPeers();
    void onContact(TimePoint now);
    void onPeerContact(TimePoint now);
    void applyResponse(const FeedResponse &response);
    bool acceptsUnconfirmed() const;
    void applyUnconfirmed(const FeedResponse &response);
    bool hasHealthyPeer(TimePoint now) const;
    bool haveAllPeersLostStore() const;
    TimePoint confirmedAt() const;
    void setFollowingStore(bool isFollowing, const char *reason);

    boost::asio::io_context &context_;
    http::ResponseMemory &memory_;
    PublishedState &state_;
    StoreTask &store_;
    EventLog &log_;
    Random random_;
    std::vector<Address> peers_;
    bool isReader_ = false;
    std::size_t processCount_ = 1;
    using ClientMap = std::map<Address, std::shared_ptr<FeedClient>>;
    ClientMap clients_;
    bool isFollowingStore_ = false;
    /// When the store or a peer last responded.
    TimePoint lastContactAt_;
    TimePoint followStoreAt_;
    bool hadHealthyPeer_ = false;
    /// True if all peers have lost the store since the last response: registrations may have expired. They may also be
    /// cut off from it, so an answer of the store to this process goes before their word.
    bool isOutageAssumed_ = false;
    /// True if the items are those that a peer knew last, and nobody has confirmed any since.
    bool areItemsUnconfirmed_ = false;
};

} // namespace sassafrasvane
