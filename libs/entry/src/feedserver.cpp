#include "entry/feedserver.h"

namespace sassafrasvane
{

namespace
{

constexpr unsigned ok = 200;
constexpr unsigned unavailable = 503;
constexpr Duration maxWait = std::chrono::seconds(5);

} // namespace

FeedResponse feedResponse(const PublishedState &state, const ConfirmedPosition &confirmed, const FeedRequest &request)
{
    FeedResponse response;
    response.position = confirmed.position;
    response.age = confirmed.age;
    if (request.wantsItems) {
        response.isSnapshot = request.after < state.historyBegin();
        response.items = response.isSnapshot ? state.items() : state.changesAfter(request.after);
    }
    return response;
}

FeedResponse lastKnownResponse(const PublishedState &state)
{
    FeedResponse response;
    response.items = state.items();
    response.position = state.completePosition();
    response.isSnapshot = true;
    response.isConfirmed = false;
    return response;
}

FeedServer::FeedServer(const PublishedState &state,
                       const StoreTask &store,
                       std::function<std::optional<ConfirmedPosition>(TimePoint now)> confirmedPosition)
    : state_(state), store_(store), confirmedPosition_(std::move(confirmedPosition))
{
}

bool FeedServer::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    const std::optional<FeedRequest> request = parseFeedTarget(http::fromView(exchange->request().target()));
    if (!request) {
        return false;
    }
    const TimePoint now = BootClock::now();
    const WaitingRequest waiting{exchange, *request, now + std::min(request->wait, maxWait)};
    if (!tryRespond(waiting, now)) {
        if (waitingRequests_.size() >= maxWaitingRequests()) {
            exchange->respond(http::emptyResponse(unavailable));
        } else {
            waitingRequests_.push_back(waiting);
        }
    }
    return true;
}

void FeedServer::onTick(TimePoint now)
{
    for (std::list<WaitingRequest>::iterator waiting = waitingRequests_.begin(); waiting != waitingRequests_.end();) {
        const bool isOver = waiting->exchange->isAbandoned() || tryRespond(*waiting, now);
        waiting = isOver ? waitingRequests_.erase(waiting) : std::next(waiting);
    }
}

bool FeedServer::tryRespond(const WaitingRequest &waiting, TimePoint now) const
{
    const std::optional<ConfirmedPosition> confirmed = confirmedPosition_(now);
    const bool hasChanges = confirmed && confirmed->position > waiting.request.after;
    // While this process is still listing the store, the request waits for the list.
    const bool mayWait = confirmed || store_.isConnected() || store_.isStarting();
    if (!hasChanges && now < waiting.deadline && mayWait) {
        return false;
    }
    if (!confirmed && waiting.request.acceptsUnconfirmed && state_.isComplete()) {
        respond(waiting, lastKnownResponse(state_));
        return true;
    }
    if (!confirmed) {
        waiting.exchange->respond(http::emptyResponse(unavailable));
        return true;
    }
    respond(waiting, feedResponse(state_, *confirmed, waiting.request));
    return true;
}

void FeedServer::respond(const WaitingRequest &waiting, const FeedResponse &response)
{
    waiting.exchange->respond(http::textResponse(ok, "application/x-msgpack", encodeFeedResponse(response)));
}

} // namespace sassafrasvane
