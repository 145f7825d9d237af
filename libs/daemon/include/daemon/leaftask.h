#pragma once

#include "base/ids.h"
#include "daemon/peerlinks.h"
#include "daemon/publishedview.h"
#include "observe/trace.h"
#include "wire/peermessages.h"

#include <functional>
#include <memory>
#include <optional>

/// \file
/// The task that owns this daemon's shares of searchers.

namespace sassafrasvane
{

/// Where the replies of a leaf request go: a link, or this daemon's own entry task if empty.
using LeafOrigin = std::optional<LinkId>;

/// What the leaf task tells. Called on its own thread.
struct LeafHooks {
    std::function<void(LeafOrigin origin, LeafReply reply)> onReply;
    /// The span of a call that has ended; only for sampled traces and calls that were not answered.
    std::function<void(Span span)> onSpan;
};

/// Runs calls at the searchers that this daemon holds, within the limits that each searcher's gate sets.
///
/// \code
/// LeafTask leaf(self, hooks);
/// leaf.setView(view);
/// leaf.request(link, std::move(request));
/// \endcode
class LeafTask
{
public:
    /// \param self this daemon.
    LeafTask(DaemonId self, LeafHooks hooks);
    ~LeafTask();

    LeafTask(const LeafTask &) = delete;
    LeafTask &operator=(const LeafTask &) = delete;

    /// Takes new published values: opens and closes gates and connections.
    void setView(std::shared_ptr<const PublishedView> view);

    /// Takes a request; each of its calls gets exactly one reply unless it is cancelled.
    void request(LeafOrigin origin, LeafRequest request);

    /// Drops calls of \p origin.
    void cancel(LeafOrigin origin, LeafCancel cancel);

    /// Calls that wait or run. Callable from any thread.
    std::size_t inFlight() const noexcept;

    /// Ends the thread and the connections.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace sassafrasvane
