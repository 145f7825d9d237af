#pragma once

#include "base/address.h"
#include "entry/feedcodec.h"
#include "http/clientconnection.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

/// \file
/// Follows what one other entry process tells of the store.

namespace sassafrasvane
{

/// Asks one other process for changes, again and again, until it is stopped.
///
/// A process is followed in one of two ways: for its changes, or only for the revision that it has reached. The second
/// way shows at a low cost whether the first one has fallen behind.
class FeedClient : public std::enable_shared_from_this<FeedClient>
{
public:
    /// How long the other process may hold a question.
    static constexpr Duration wait() noexcept { return std::chrono::milliseconds(1'000); }
    /// Time after which a question has failed.
    static constexpr Duration timeout() noexcept { return std::chrono::milliseconds(1'400); }
    /// Time for which the last good answer speaks for the other process.
    static constexpr Duration trust() noexcept { return std::chrono::milliseconds(1'600); }
    /// Time that those followed for their changes have before this one is asked for them, too.
    static constexpr Duration catchUpPause() noexcept { return std::chrono::milliseconds(250); }
    /// Age from which on what is told is too old to be trusted. It bounds how long processes that pass news on to each
    /// other can take it for fresh.
    static constexpr Duration longestAge() noexcept { return std::chrono::milliseconds(2'800); }
    /// Pause after a failure.
    static constexpr Duration retryPause() noexcept { return std::chrono::milliseconds(300); }

    /// What the client needs of its owner.
    struct Hooks {
        /// The revision up to which all items are in force here.
        std::function<std::uint64_t()> revision;
        /// Takes changes.
        std::function<void(const FeedAnswer &answer)> onAnswer;
    };

    /// \param wantsItems true if the other process is followed for its changes.
    FeedClient(boost::asio::io_context &context,
               http::ResponseMemory &memory,
               const Address &peer,
               bool wantsItems,
               Hooks hooks);
    FeedClient(const FeedClient &) = delete;
    FeedClient &operator=(const FeedClient &) = delete;

    void start();

    /// Ends the client; no hook is called any more.
    void stop();

    bool wantsItems() const noexcept { return wantsItems_; }

    const Address &peer() const noexcept { return peer_; }

    /// True if the other process has answered lately, with what the store had confirmed not long before.
    bool isHealthy(TimePoint now) const noexcept
    {
        return answeredAt_ && now - *answeredAt_ < trust() && age(now) < longestAge();
    }

    /// Time since the store confirmed what the last answer told.
    Duration age(TimePoint now) const noexcept { return answeredAt_ ? now - *answeredAt_ + age_ : Duration::max(); }

private:
    void ask();
    void askIfBehind();
    void send();
    void onResult(http::CallResult result);
    void askAgain(Duration pause);
    void fail();
    void onTimer(Duration after, void (FeedClient::*action)());

    boost::asio::io_context &context_;
    http::ResponseMemory &memory_;
    Address peer_;
    bool wantsItems_;
    Hooks hooks_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<http::ClientConnection> connection_;
    /// The highest revision that the other process has told of.
    std::uint64_t toldRevision_ = 0;
    /// True if the next question asks for the items in any case: those followed for them are behind.
    bool isCatchingUp_ = false;
    bool isStopped_ = false;
    std::optional<TimePoint> answeredAt_;
    /// The age of what the last answer told, when it came.
    Duration age_{0};
};

} // namespace sassafrasvane
