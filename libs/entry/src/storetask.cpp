#include "entry/storetask.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace sassafrasvane
{

namespace
{

StoreFailure storeFailure(Errc failure) noexcept
{
    switch (failure) {
    case Errc::BadMessage:
        return StoreFailure::BadAnswer;
    case Errc::TooLarge:
        return StoreFailure::TooLarge;
    default:
        return StoreFailure::Unreachable;
    }
}

} // namespace

StoreTask::StoreTask(boost::asio::io_context &context,
                     http::ResponseMemory &memory,
                     const EntryProtocol &protocol,
                     const Address &store,
                     std::uint64_t seed,
                     PublishedState &state,
                     EventLog &log)
    : context_(context)
    , memory_(memory)
    , protocol_(protocol)
    , store_(store)
    , state_(state)
    , log_(log)
    , follower_(protocol.storePrefixes, seed)
    , timer_(context)
    , timeout_(context)
{
}

StoreTask::~StoreTask()
{
    pause();
}

void StoreTask::resume(std::optional<TimePoint> confirmedAt)
{
    isPaused_ = false;
    isStarting_ = true;
    StoreActions actions;
    follower_.resume(BootClock::now(), confirmedAt, actions);
    performActions(std::move(actions));
}

void StoreTask::pause()
{
    isPaused_ = true;
    isStarting_ = false;
    isStoreLost_ = true;
    follower_.pause();
    timer_.cancel();
    timeout_.cancel();
    if (connection_) {
        connection_->close();
        connection_.reset();
    }
}

void StoreTask::reconnect()
{
    if (connection_ && !isPaused_) {
        handleFailure(StoreFailure::TimedOut);
    }
}

void StoreTask::onTimer()
{
    StoreActions actions;
    follower_.onTimer(BootClock::now(), actions);
    performActions(std::move(actions));
}

void StoreTask::performActions(StoreActions actions)
{
    const TimePoint now = BootClock::now();
    if (actions.hasStoreReturned) {
        state_.onStoreReturned(now);
    }
    state_.apply(now, actions.items);
    if (actions.isListComplete) {
        state_.onListComplete(now, actions.listedKeys, follower_.completeAsOf().value_or(StorePosition()));
    }
    state_.setCompletePosition(follower_.completeAsOf().value_or(StorePosition()));
    if (actions.call) {
        startCall(*actions.call);
    }
    if (actions.wakeAt) {
        scheduleTimer(*actions.wakeAt);
    }
}

void StoreTask::scheduleTimer(TimePoint at)
{
    timer_.expires_after(std::max(Duration{0}, at - BootClock::now()));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error && !isPaused_) {
            onTimer();
        }
    });
}

void StoreTask::startCall(const StoreCall &call)
{
    ++calls_;
    timeout_.expires_after(call.timeout);
    timeout_.async_wait([this](const boost::system::error_code &error) {
        if (!error && !isPaused_) {
            onTimeout();
        }
    });
    if (connection_ && connection_->isOpen()) {
        sendCall(call);
        return;
    }
    connection_ = http::ClientConnection::create(context_, store_, memory_);
    connection_->open([this, call, opened = connection_.get()](const std::error_code &error) {
        if (opened != connection_.get()) {
            return;
        }
        if (error) {
            handleFailure(StoreFailure::Unreachable);
        } else {
            sendCall(call);
        }
    });
}

void StoreTask::sendCall(const StoreCall &call)
{
    connection_->call(protocol_.writeStoreCall(call),
                      [this, call](http::CallResult result) { onResult(call, std::move(result)); });
}

void StoreTask::onTimeout()
{
    handleFailure(StoreFailure::TimedOut);
}

void StoreTask::onResult(const StoreCall &call, http::CallResult result)
{
    if (isPaused_) {
        return;
    }
    if (!result.response) {
        handleFailure(storeFailure(result.failure));
        return;
    }
    timeout_.cancel();
    if (!result.isReusable) {
        connection_.reset();
    }
    if (const std::optional<StoreFailure> failure = protocol_.readStoreFailure(*result.response)) {
        handleFailure(*failure);
        return;
    }
    try {
        handleResponse(call, *result.response);
    } catch (const std::exception &exception) {
        // An unexpected exception counts as a bad response, so that the calls to the store go on.
        log_.unexpectedError(exception);
        rejectResponse(Error{Errc::Internal, Step::Configuration, store_.toString(), exception.what()});
    }
}

void StoreTask::handleResponse(const StoreCall &call, const http::Response &response)
{
    isStarting_ = false;
    const TimePoint now = BootClock::now();
    StoreActions actions;
    // A reader that has lost the store may have learned of an epoch from its peers.
    follower_.noteEpoch(state_.completePosition().epoch);
    if (call.kind == StoreCall::Kind::List) {
        Result<StorePage> page = protocol_.readStorePage(response);
        if (page.has_error()) {
            rejectResponse(page.error());
            return;
        }
        follower_.onPage(now, std::move(page.value()), actions);
    } else {
        Result<StoreChanges> changes = protocol_.readStoreChanges(response);
        if (changes.has_error()) {
            rejectResponse(changes.error());
            return;
        }
        follower_.onChanges(now, std::move(changes.value()), actions);
    }
    if (actions.rejection) {
        logFailure(*actions.rejection);
    } else if (isStoreLost_) {
        isStoreLost_ = false;
        log_.line(EventRank::Important, "store_regained")
            .text("peer", store_.toString())
            .flag("outage", actions.hasStoreReturned);
    }
    performActions(std::move(actions));
}

void StoreTask::rejectResponse(const Error &error)
{
    log_.line(EventRank::Important, "store_answer_unreadable").error(error);
    handleFailure(StoreFailure::BadAnswer);
}

void StoreTask::handleFailure(StoreFailure failure)
{
    isStarting_ = false;
    timeout_.cancel();
    const bool isAnswered = failure == StoreFailure::HistoryLost || failure == StoreFailure::Refused;
    if (connection_ && !isAnswered) {
        connection_->close();
        connection_.reset();
    }
    logFailure(failure);
    StoreActions actions;
    follower_.onFailure(BootClock::now(), failure, actions);
    performActions(std::move(actions));
}

void StoreTask::logFailure(StoreFailure failure)
{
    log_.line(EventRank::Important, "store_call_failed")
        .text("peer", store_.toString())
        .text("failure", name(failure))
        .flag("first", !isStoreLost_);
    isStoreLost_ = isStoreLost_ || (failure != StoreFailure::HistoryLost && failure != StoreFailure::TooLarge);
}

} // namespace sassafrasvane
