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
/// Tells other entry processes what the store has published.

namespace sassafrasvane
{

/// Answers questions for changes, at once if there are some, else when they come or the wait is over. A process that
/// knows nothing fresh refuses.
class FeedServer
{
public:
    /// Questions that may wait.
    static constexpr std::size_t mostWaiting() noexcept { return 500; }

    /// \param source what this process can tell now.
    FeedServer(const PublishedState &state,
               const StoreTask &store,
               std::function<std::optional<FeedSource>(TimePoint now)> source);

    /// Takes a question. \return false if the exchange is none.
    bool handle(const std::shared_ptr<http::Exchange> &exchange);

    /// Answers the questions for which there is news, or whose wait is over. To be called several times a second.
    void onTick(TimePoint now);

private:
    struct Waiting {
        std::shared_ptr<http::Exchange> exchange;
        FeedQuestion question;
        TimePoint until;
    };

    bool answer(const Waiting &waiting, TimePoint now) const;

    const PublishedState &state_;
    const StoreTask &store_;
    std::function<std::optional<FeedSource>(TimePoint now)> source_;
    std::list<Waiting> waiting_;
};

} // namespace sassafrasvane
