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
    /// \param memory bounds the responses of the store.
    StoreTask(boost::asio::io_context &context,
              http::ResponseMemory &memory,
              const EntryProtocol &protocol,
              const Address &store,
              std::uint64_t seed,
              PublishedState &state,
              EventLog &log);
    ~StoreTask();
    StoreTask(const StoreTask &) = delete;
    StoreTask &operator=(const StoreTask &) = delete;

    /// Makes calls from now on.
    void resume();

    /// Makes no calls until resume().
    void pause();

    /// Whether failed calls are made again after long pauses only.
    void setPatient(bool isPatient) noexcept { follower_.setSlowRetry(isPatient); }

    /// All items up to \p revision are in force; counts only while paused.
    void adopt(std::uint64_t revision) noexcept { follower_.adoptRevision(revision); }

    /// The revision up to which this process has read all items from the store itself; nothing if it does not follow
    /// the store or has lost it.
    std::optional<std::uint64_t> completeAsOf() const noexcept
    {
        return isConnected() ? follower_.completeAsOf() : std::nullopt;
    }

    /// Breaks off the open call: the process stood still, so its connection may be dead.
    void reconnect();

    /// True from resume() until the first call ends.
    bool isStarting() const noexcept { return isStarting_; }

    bool isConnected() const noexcept { return follower_.isConnected(); }

    std::uint64_t calls() const noexcept { return calls_; }

private:
    void onTimer();
    void act(StoreActions actions);
    void makeCall(const StoreCall &call);
    void send(const StoreCall &call);
    void onResult(const StoreCall &call, http::CallResult result);
    void onTimeout();
    void refuse(const Error &error);
    void fail(StoreFailure failure);
    void take(const StoreCall &call, const http::Response &response);
    void schedule(TimePoint at);

    boost::asio::io_context &context_;
    http::ResponseMemory &memory_;
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
    bool isPaused_ = true;
    bool isStarting_ = false;
};

} // namespace sassafrasvane
