#pragma once

#include "catalog/storefollower.h"
#include "entry/protocol.h"
#include "entry/publishedstate.h"
#include "http/clientconnection.h"
#include "observe/eventlog.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

/// \file
/// Follows the store over one connection.

namespace sassafrasvane
{

/// Performs the calls that StoreFollower requests, and passes their results to PublishedState.
class StoreTask
{
public:
    /// \param memory bounds the memory for the store's responses. \param seed seeds the jitter of the retries.
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

    /// Starts or resumes the calls. \param confirmedAt see StoreFollower::resume().
    void resume(std::optional<TimePoint> confirmedAt);

    /// Cancels the open call and makes no calls until resume().
    void pause();

    /// Sets whether failed calls are retried after long delays only.
    void setSlowRetry(bool isSlow) noexcept { follower_.setSlowRetry(isSlow); }

    /// Continues from \p position, up to which all changes are applied. See StoreFollower::adoptPosition().
    void adoptPosition(const StorePosition &position) noexcept { follower_.adoptPosition(position); }

    /// See StoreFollower::noteConfirmed().
    void noteConfirmed(TimePoint at) noexcept { follower_.noteConfirmed(at); }

    /// True if the store responds and this process has read all its items.
    bool isUpToDate() const noexcept { return isConnected() && follower_.completeAsOf().has_value(); }

    /// Aborts the open call: after a pause of the process its connection may be dead.
    void reconnect();

    /// True from resume() until the first call ends.
    bool isStarting() const noexcept { return isStarting_; }

    bool isConnected() const noexcept { return follower_.isConnected(); }

    std::uint64_t calls() const noexcept { return calls_; }

private:
    void onTimer();
    void performActions(StoreActions actions);
    void startCall(const StoreCall &call);
    void sendCall(const StoreCall &call);
    void onResult(const StoreCall &call, http::CallResult result);
    void onTimeout();
    void rejectResponse(const Error &error);
    void handleFailure(StoreFailure failure);
    void logFailure(StoreFailure failure);
    void handleResponse(const StoreCall &call, const http::Response &response);
    void scheduleTimer(TimePoint at);

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
    bool isStoreLost_ = true;
    bool isPaused_ = true;
    bool isStarting_ = false;
};

} // namespace sassafrasvane
