#pragma once

#include "catalog/storefollower.h"
#include "entry/protocol.h"
#include "entry/publishedstate.h"
#include "http/clientconnection.h"
#include "observe/eventlog.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

/// \file
/// Follows the store over one connection.

namespace sassafrasvane
{

/// Makes the calls that StoreFollower asks for, and hands what they bring to PublishedState.
class StoreTask
{
public:
    StoreTask(boost::asio::io_context &context,
              const EntryProtocol &protocol,
              const Address &store,
              std::uint64_t seed,
              PublishedState &state,
              EventLog &log);
    ~StoreTask();
    StoreTask(const StoreTask &) = delete;
    StoreTask &operator=(const StoreTask &) = delete;

    void start();
    void stop();

    /// Breaks off the open call: the process stood still, so its connection may be dead.
    void reconnect();

    bool isConnected() const noexcept { return follower_.isConnected(); }

    /// When the store last answered; nothing if it never did.
    std::optional<TimePoint> answeredAt() const noexcept { return follower_.answeredAt(); }

    std::uint64_t calls() const noexcept { return calls_; }

private:
    void onTimer();
    void act(StoreActions actions);
    void makeCall(const StoreCall &call);
    void send(const StoreCall &call);
    void onResult(const StoreCall &call, http::CallResult result);
    void onTimeout();
    void fail(StoreFailure failure);
    void take(const StoreCall &call, const http::Response &response);
    void schedule(TimePoint at);

    boost::asio::io_context &context_;
    const EntryProtocol &protocol_;
    Address store_;
    PublishedState &state_;
    EventLog &log_;
    StoreFollower follower_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer timeout_;
    std::shared_ptr<http::ClientConnection> connection_;
    std::uint64_t calls_ = 0;
    bool isLost_ = true;
    bool isStopped_ = false;
};

} // namespace sassafrasvane
