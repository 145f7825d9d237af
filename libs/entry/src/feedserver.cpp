#include "entry/feedserver.h"

namespace sassafrasvane
{

namespace
{

constexpr unsigned ok = 200;
constexpr unsigned unavailable = 503;
constexpr Duration longestWait = std::chrono::seconds(5);

} // namespace

FeedServer::FeedServer(const PublishedState &state,
                       const StoreTask &store,
                       std::function<std::optional<FeedSource>(TimePoint now)> source)
    : state_(state), store_(store), source_(std::move(source))
{
}

bool FeedServer::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    const std::optional<FeedQuestion> question = readFeedTarget(http::fromView(exchange->request().target()));
    if (!question) {
        return false;
    }
    const TimePoint now = BootClock::now();
    const Waiting waiting{exchange, *question, now + std::min(question->wait, longestWait)};
    if (!answer(waiting, now)) {
        if (waiting_.size() >= mostWaiting()) {
            exchange->respond(http::emptyResponse(unavailable));
        } else {
            waiting_.push_back(waiting);
        }
    }
    return true;
}

void FeedServer::onTick(TimePoint now)
{
    for (std::list<Waiting>::iterator waiting = waiting_.begin(); waiting != waiting_.end();) {
        const bool isOver = waiting->exchange->isAbandoned() || answer(*waiting, now);
        waiting = isOver ? waiting_.erase(waiting) : std::next(waiting);
    }
}

bool FeedServer::answer(const Waiting &waiting, TimePoint now) const
{
    const std::optional<FeedSource> source = source_(now);
    const bool hasNews = source && source->asOf > waiting.question.afterRevision;
    // A list that is being read is waited for.
    const bool mayWait = source || store_.isConnected() || store_.isStarting();
    if (!hasNews && now < waiting.until && mayWait) {
        return false;
    }
    if (!source) {
        waiting.exchange->respond(http::emptyResponse(unavailable));
        return true;
    }
    FeedAnswer answer;
    answer.asOf = source->asOf;
    answer.age = source->age;
    if (waiting.question.wantsItems) {
        const std::uint64_t after = waiting.question.afterRevision;
        answer.isFull = after < state_.historyBegin();
        answer.items = answer.isFull ? state_.items() : state_.changesAfter(after);
    }
    waiting.exchange->respond(http::textResponse(ok, "application/x-msgpack", encodeFeedAnswer(answer)));
    return true;
}

} // namespace sassafrasvane
