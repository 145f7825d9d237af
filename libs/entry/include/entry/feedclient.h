#pragma once

#include "base/address.h"
#include "entry/feedcodec.h"
#include "http/clientconnection.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

/// \file
/// Follows the store through another entry process.

namespace sassafrasvane
{

/// Polls one peer for changes of the store's items until stop() is called.
///
/// A peer is polled either for the changed items or only for its position. Polling further peers for their position
/// shows cheaply whether the peer that delivers the items has fallen behind.
class FeedClient : public std::enable_shared_from_this<FeedClient>
{
public:
    /// How long the peer may hold a request while it has no changes.
    static constexpr Duration longPollWait() noexcept { return std::chrono::milliseconds(1'000); }
    /// Time without a response after which a request has failed.
    static constexpr Duration requestTimeout() noexcept { return std::chrono::milliseconds(1'400); }
    /// Time since the last good response after which the peer no longer counts as healthy.
    static constexpr Duration maxSilence() noexcept { return std::chrono::milliseconds(1'600); }
    /// How long the peers that deliver items may lag behind before this peer is asked for the items, too.
    static constexpr Duration catchUpDelay() noexcept { return std::chrono::milliseconds(250); }
    /// Maximum age of a peer's data. It bounds how long processes that relay data to each other can take stale data for
    /// fresh.
    static constexpr Duration maxAge() noexcept { return std::chrono::milliseconds(2'800); }
    /// Delay before the next request after a failure.
    static constexpr Duration retryDelay() noexcept { return std::chrono::milliseconds(300); }

    /// Callbacks into the client's owner.
    struct Hooks {
        /// Returns the position up to which this process has applied all items.
        std::function<StorePosition()> position;
        /// True if this process knows no items and cannot read the store: it takes what the peer knew last.
        std::function<bool()> acceptsUnconfirmed;
        /// Applies the changed items of a response.
        std::function<void(const FeedResponse &response)> onResponse;
    };

    /// \param wantsItems true to poll for changed items, false to poll only for the position.
    FeedClient(boost::asio::io_context &context,
               http::ResponseMemory &memory,
               const Address &peer,
               bool wantsItems,
               Hooks hooks);
    FeedClient(const FeedClient &) = delete;
    FeedClient &operator=(const FeedClient &) = delete;

    void start();

    /// Stops polling; no hook is called afterwards.
    void stop();

    bool wantsItems() const noexcept { return wantsItems_; }

    const Address &peer() const noexcept { return peer_; }

    /// True if the peer has responded with confirmed data within maxSilence(), the data is younger than maxAge(), and
    /// this process knows no newer epoch of the store than the peer.
    bool isHealthy(TimePoint now) const
    {
        return respondedAt_ && now - *respondedAt_ < maxSilence() && age(now) < maxAge()
            && isSource(hooks_.position(), peerPosition_);
    }

    /// True if the peer has served items and has responded since that it has no fresh ones: it has lost the store. A
    /// peer that was restarted doesn't count.
    bool hasPeerLostStore() const noexcept { return hasPeerLostStore_; }

    /// Time since the store confirmed the last response's position; Duration::max() without a response.
    Duration age(TimePoint now) const noexcept
    {
        return respondedAt_ ? now - *respondedAt_ + ageAtResponse_ : Duration::max();
    }

private:
    void poll();
    void pollAfterDelay();
    void sendRequest();
    void onResult(http::CallResult result, bool requestedItems);
    void schedulePoll(Duration delay);
    void fail();
    void runAfter(Duration delay, void (FeedClient::*action)());

    boost::asio::io_context &context_;
    http::ResponseMemory &memory_;
    Address peer_;
    bool wantsItems_;
    Hooks hooks_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<http::ClientConnection> connection_;
    /// The position of the last response.
    StorePosition peerPosition_;
    /// True if the next request asks for items although wantsItems_ is false, because this process is behind the peer.
    bool isCatchingUp_ = false;
    bool isStopped_ = false;
    bool hasPeerLostStore_ = false;
    std::optional<TimePoint> respondedAt_;
    /// Age of the data of the last response on its arrival.
    Duration ageAtResponse_{0};
};

} // namespace sassafrasvane
