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
/// Decides whether this process follows the store or other processes.

namespace sassafrasvane
{

/// Keeps what is published in force at a bounded number of calls to the store.
///
/// A few processes in different failure domains follow the store: the readers. Each of the others follows one process
/// for its changes, a reader or a relay of its own failure domain, and readers for their revision, so that a change
/// arrives unless all of them miss it. A process that hears none of them follows the store itself.
class FeedTask
{
public:
    /// Processes that follow the store.
    static constexpr std::size_t readers() noexcept { return 3; }
    /// Time without an answer of other processes after which this one follows the store, and its random part. Both grow
    /// with the fleet: when all readers lose the store for a moment, the others must not all list it.
    static Duration patience(std::size_t fleet) noexcept;
    static Duration patienceSpread(std::size_t fleet) noexcept;
    /// The same at a start, and at the first start of all, when no callers wait yet.
    static constexpr Duration startPatience() noexcept { return std::chrono::milliseconds(150); }
    static constexpr Duration firstStartPatience() noexcept { return std::chrono::milliseconds(3'000); }
    /// Time without any source after which registrations may have lapsed.
    static constexpr Duration outageTime() noexcept { return std::chrono::milliseconds(1'500); }

    /// \param memory bounds the responses of other processes.
    FeedTask(boost::asio::io_context &context,
             http::ResponseMemory &memory,
             PublishedState &state,
             StoreTask &store,
             EventLog &log,
             std::uint64_t seed,
             Duration startPatience);
    ~FeedTask();
    FeedTask(const FeedTask &) = delete;
    FeedTask &operator=(const FeedTask &) = delete;

    /// Sets whom to follow: the control addresses of the readers but this process. The first is followed for its
    /// changes. \param isReader true if this process is one of the readers. \param fleet entry processes that are
    /// known.
    void setReaders(std::span<const Address> others, bool isReader, std::size_t fleet);

    /// What this process can tell others: from the store if it follows it, else from those that it follows. A reader
    /// passes nothing on that others told it. \return nothing if it knows nothing that is fresh.
    std::optional<FeedSource> source(TimePoint now) const;

    /// Changes the source if it is due. To be called several times a second.
    void onTick(TimePoint now);

private:
    void updateClients();
    void take(const FeedAnswer &answer);
    std::uint64_t completeRevision() const;
    bool isAnyHealthy(TimePoint now) const;
    void follow(bool store, const char *reason);

    boost::asio::io_context &context_;
    http::ResponseMemory &memory_;
    PublishedState &state_;
    StoreTask &store_;
    EventLog &log_;
    Random random_;
    std::vector<Address> others_;
    bool isReader_ = false;
    std::size_t fleet_ = 1;
    using ClientMap = std::map<Address, std::shared_ptr<FeedClient>>;
    ClientMap clients_;
    /// The revision up to which all items are in force; 0 until all items were taken once.
    std::uint64_t complete_ = 0;
    bool isFollowingStore_ = false;
    /// When some source last answered.
    TimePoint heardAt_;
    TimePoint storeFrom_;
    bool wasHealthy_ = false;
};

} // namespace sassafrasvane
