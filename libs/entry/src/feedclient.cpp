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
    ask();
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

// A timer that has already fired can no longer be cancelled, so its handler looks whether the client is still wanted.
void FeedClient::onTimer(Duration after, void (FeedClient::*action)())
{
    timer_.expires_after(after);
    timer_.async_wait([weak = weak_from_this(), action](const boost::system::error_code &error) {
        const std::shared_ptr<FeedClient> self = weak.lock();
        if (!error && self && !self->isStopped_) {
            (self.get()->*action)();
        }
    });
}

void FeedClient::ask()
{
    onTimer(timeout(), &FeedClient::fail);
    if (connection_ && connection_->isOpen()) {
        send();
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
            self->send();
        }
    });
}

void FeedClient::send()
{
    FeedQuestion question;
    question.wantsItems = wantsItems_ || isCatchingUp_;
    question.afterRevision = question.wantsItems ? hooks_.revision() : std::max(hooks_.revision(), toldRevision_);
    question.wait = wait();
    http::Request request;
    request.version(11);
    request.method(boost::beast::http::verb::get);
    request.target(feedTarget(question));
    request.set(boost::beast::http::field::host, peer_.toString());
    connection_->call(std::move(request),
                      [self = shared_from_this()](http::CallResult result) { self->onResult(std::move(result)); });
}

void FeedClient::onResult(http::CallResult result)
{
    constexpr unsigned ok = 200;
    if (isStopped_) {
        return;
    }
    const bool isAnswer = result.response && result.response->result_int() == ok;
    if (!result.isReusable) {
        connection_.reset();
    }
    if (!isAnswer) {
        answeredAt_.reset();
        askAgain(retryPause());
        return;
    }
    const Result<FeedAnswer> answer = decodeFeedAnswer(result.response->body());
    if (answer.has_error()) {
        fail();
        return;
    }
    const bool hadItems = wantsItems_ || isCatchingUp_;
    answeredAt_ = BootClock::now();
    age_ = answer.value().age;
    toldRevision_ = answer.value().asOf;
    if (hadItems) {
        hooks_.onAnswer(answer.value());
    }
    isCatchingUp_ = !wantsItems_ && toldRevision_ > hooks_.revision();
    askAgain(isCatchingUp_ ? catchUpPause() : Duration{0});
}

void FeedClient::askAgain(Duration pause)
{
    if (isStopped_) {
        return;
    }
    if (pause == Duration{0}) {
        ask();
    } else {
        onTimer(pause, &FeedClient::askIfBehind);
    }
}

void FeedClient::askIfBehind()
{
    isCatchingUp_ = isCatchingUp_ && toldRevision_ > hooks_.revision();
    ask();
}

void FeedClient::fail()
{
    answeredAt_.reset();
    if (connection_) {
        connection_->close();
        connection_.reset();
    }
    askAgain(retryPause());
}

} // namespace sassafrasvane
