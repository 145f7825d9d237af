#pragma once

#include "admission/coldstart.h"
#include "base/ids.h"
#include "daemon/peerlinks.h"
#include "daemon/publishedview.h"
#include "daemon/sharedcrashbar.h"
#include "fleet/freshnesslease.h"
#include "observe/trace.h"
#include "wire/peermessages.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

/// \file
/// The task that owns this daemon's shares of searchers.

namespace sassafrasvane
{

/// Where the replies of a leaf request go: a link, or this daemon's own entry task if empty.
using LeafOrigin = std::optional<LinkId>;

/// What the leaf task tells. Called on its own thread.
struct LeafHooks {
    std::function<void(LeafOrigin origin, LeafReply reply)> onReply;
    /// Whether new work may be sent, by the age of what this daemon knows.
    std::function<LeaseState()> checkLease;
    std::function<void(DaemonId to, WarmthQuery query)> sendWarmthQuery;
    std::function<void(LinkId link, WarmthReply reply)> sendWarmthReply;
    /// A searcher's answer could not be decoded; for the log.
    std::function<void(const Error &error)> onError;
    /// The span of a call that has ended; only for sampled traces and calls that were not answered.
    std::function<void(Span span)> onSpan;
};

/// A searcher that this daemon holds, as operators see it.
struct HeldStatus {
    SearcherId searcher;
    ColdCause coldCause = ColdCause::None;
    std::size_t running = 0;
    std::size_t waiting = 0;
    /// Calls that this daemon may run there at the same time.
    std::uint32_t allowance = 0;
    std::size_t connections = 0;
};

/// Runs calls at the searchers that this daemon holds, within the limits that each searcher's gate sets.
///
/// \code
/// LeafTask leaf(self, crashes, hooks);
/// leaf.setView(view);
/// leaf.request(link, std::move(request));
/// \endcode
class LeafTask
{
public:
    /// \param self this daemon.
    /// \param crashes shared with the entry task; kept by the caller.
    LeafTask(DaemonId self, SharedCrashBar &crashes, LeafHooks hooks);
    ~LeafTask();

    LeafTask(const LeafTask &) = delete;
    LeafTask &operator=(const LeafTask &) = delete;

    /// Takes new published values: opens and closes gates and connections.
    void setView(std::shared_ptr<const PublishedView> view);

    /// Takes a request; each of its calls gets exactly one reply unless it is cancelled.
    void request(LeafOrigin origin, LeafRequest request);

    /// Drops calls of \p origin.
    void cancel(LeafOrigin origin, LeafCancel cancel);

    /// Takes another holder's question about searchers.
    void onWarmthQuery(LinkId link, WarmthQuery query);

    /// Takes another holder's answer.
    void onWarmthReply(WarmthReply reply);

    /// The searchers that this daemon holds. Callable from any thread but the task's own.
    std::vector<HeldStatus> status() const;

    /// Calls that wait or run. Callable from any thread.
    std::size_t inFlight() const noexcept;

    /// Ends the thread and the connections.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace sassafrasvane
