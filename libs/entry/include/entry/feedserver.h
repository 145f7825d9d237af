#pragma once

#include "entry/feedcodec.h"
#include "entry/publishedstate.h"
#include "entry/storetask.h"
#include "http/server.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>

/// \file
/// Serves the store's items to other entry processes.

namespace sassafrasvane
{

/// The response to \p request: the items that changed after the requested position, or a snapshot if \p state doesn't
/// know all removals since then. \param confirmed the position up to which \p state is complete.
FeedResponse feedResponse(const PublishedState &state, const ConfirmedPosition &confirmed, const FeedRequest &request);

/// A snapshot of what \p state knows, not confirmed by the store.
FeedResponse lastKnownResponse(const PublishedState &state);

/// Answers feed requests by long polling: at once if there are changes, otherwise when changes arrive or the wait time
/// is over. Responds with status 503 if this process has no fresh data and the requester accepts no other.
class FeedServer
{
public:
    /// Maximum number of held requests; further ones get status 503.
    static constexpr std::size_t maxWaitingRequests() noexcept { return 500; }

    /// \param confirmedPosition returns the position that this process can serve, or nothing if its data is not fresh.
    FeedServer(const PublishedState &state,
               const StoreTask &store,
               std::function<std::optional<ConfirmedPosition>(TimePoint now)> confirmedPosition);

    /// Handles a feed request. \return false if the exchange is not a feed request; it is left unanswered then.
    bool handle(const std::shared_ptr<http::Exchange> &exchange);

    /// Answers the held requests that have changes or whose wait time is over. Must be called several times a second.
    void onTick(TimePoint now);

private:
    struct WaitingRequest {
        std::shared_ptr<http::Exchange> exchange;
        FeedRequest request;
        TimePoint deadline;
    };

    /// Responds if there are changes, the wait is over or waiting is useless. \return false if the request must wait.
    bool tryRespond(const WaitingRequest &waiting, TimePoint now) const;
    static void respond(const WaitingRequest &waiting, const FeedResponse &response);

    const PublishedState &state_;
    const StoreTask &store_;
    std::function<std::optional<ConfirmedPosition>(TimePoint now)> confirmedPosition_;
    std::list<WaitingRequest> waitingRequests_;
};

} // namespace sassafrasvane
