#include "entry/feedclient.h"

#include <boost/asio/io_context.hpp>

namespace sassafrasvane
{

FeedClient::FeedClient(boost::asio::io_context &context,
                       http::ResponseMemory &memory,
                       const Address &peer,
                       bool wantsItems,
                       Hooks hooks)
    : context_(context)
    , memory_(memory)
    , peer_(peer)
    , wantsItems_(wantsItems)
    , hooks_(std::move(hooks))
    , timer_(context)
{
}

void FeedClient::start()
{
    poll();
}

void FeedClient::stop()
{
    isStopped_ = true;
    timer_.cancel();
    if (connection_) {
        connection_->close();
        connection_.reset();
    }
}

// A timer that has already fired can no longer be cancelled, so its handler checks isStopped_.
void FeedClient::runAfter(Duration delay, void (FeedClient::*action)())
{
    timer_.expires_after(delay);
    timer_.async_wait([weak = weak_from_this(), action](const boost::system::error_code &error) {
        const std::shared_ptr<FeedClient> self = weak.lock();
        if (!error && self && !self->isStopped_) {
            (self.get()->*action)();
        }
    });
}

void FeedClient::poll()
{
    runAfter(requestTimeout(), &FeedClient::fail);
    if (connection_ && connection_->isOpen()) {
        sendRequest();
        return;
    }
    connection_ = http::ClientConnection::create(context_, peer_, memory_);
    connection_->open([self = shared_from_this(), opened = connection_.get()](const std::error_code &error) {
        if (opened != self->connection_.get()) {
            return;
        }
        if (error) {
            self->fail();
        } else {
            self->sendRequest();
        }
    });
}

void FeedClient::sendRequest()
{
    FeedRequest feedRequest;
    feedRequest.acceptsUnconfirmed = hooks_.acceptsUnconfirmed();
    feedRequest.wantsItems = wantsItems_ || isCatchingUp_ || feedRequest.acceptsUnconfirmed;
    feedRequest.after = feedRequest.wantsItems ? hooks_.position() : std::max(hooks_.position(), peerPosition_);
    feedRequest.wait = longPollWait();
    http::Request request;
    request.version(11);
    request.method(boost::beast::http::verb::get);
    request.target(feedTarget(feedRequest));
    request.set(boost::beast::http::field::host, peer_.toString());
    connection_->call(std::move(request),
                      [self = shared_from_this(), requestedItems = feedRequest.wantsItems](http::CallResult result) {
                          self->onResult(std::move(result), requestedItems);
                      });
}

void FeedClient::onResult(http::CallResult result, bool requestedItems)
{
    constexpr unsigned ok = 200;
    if (isStopped_) {
        return;
    }
    const bool isSuccess = result.response && result.response->result_int() == ok;
    if (!result.isReusable) {
        connection_.reset();
    }
    if (!isSuccess) {
        hasPeerLostStore_ = hasPeerLostStore_ || (result.response && respondedAt_);
        respondedAt_.reset();
        schedulePoll(retryDelay());
        return;
    }
    const Result<FeedResponse> response = decodeFeedResponse(result.response->body());
    if (response.has_error()) {
        fail();
        return;
    }
    if (!response.value().isConfirmed) {
        hooks_.onResponse(response.value());
        schedulePoll(retryDelay());
        return;
    }
    hasPeerLostStore_ = false;
    respondedAt_ = BootClock::now();
    ageAtResponse_ = response.value().age;
    peerPosition_ = response.value().position;
    if (!isSource(hooks_.position(), peerPosition_)) {
        schedulePoll(retryDelay());
        return;
    }
    if (requestedItems) {
        hooks_.onResponse(response.value());
    }
    isCatchingUp_ = !wantsItems_ && peerPosition_ > hooks_.position();
    schedulePoll(isCatchingUp_ ? catchUpDelay() : Duration{0});
}

void FeedClient::schedulePoll(Duration delay)
{
    if (isStopped_) {
        return;
    }
    if (delay == Duration{0}) {
        poll();
    } else {
        runAfter(delay, &FeedClient::pollAfterDelay);
    }
}

void FeedClient::pollAfterDelay()
{
    isCatchingUp_ = isCatchingUp_ && peerPosition_ > hooks_.position();
    poll();
}

void FeedClient::fail()
{
    respondedAt_.reset();
    if (connection_) {
        connection_->close();
        connection_.reset();
    }
    schedulePoll(retryDelay());
}

} // namespace sassafrasvane
