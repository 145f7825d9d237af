#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "daemon/publishedview.h"
#include "daemon/sharedcrashbar.h"
#include "fanout/messages.h"
#include "wire/callerapi.h"
#include "wire/peermessages.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

/// \file
/// The task that answers callers' requests.

namespace sassafrasvane
{

/// What a caller's request came to.
struct CallerOutcome {
    /// Set for a query that was answered.
    std::optional<QueryAnswer> answer;
    /// Set for a non-idempotent request that ran: its result, JSON.
    std::optional<std::string> result;
    /// Set if there is neither.
    std::optional<Error> error;
    /// Whether the request ran.
    Ran ran = Ran::No;
    /// When it may be worth asking again; 0 if there is no advice.
    Duration retryAfter{0};
    /// Which target gave way, or empty.
    std::string conflict;
};

/// One attempt of a non-idempotent request.
struct RunWork {
    std::string className;
    /// The caller's request, JSON.
    std::string request;
    /// What the server knows the request by; equal for all copies.
    std::string identity;
    std::string traceparent;
    /// The attempt may be sent only before this time.
    TimePoint deadline;
};

/// How an attempt ended.
struct RunEnd {
    /// Refused and WrongVersion mean that the attempt provably did not run.
    CallOutcome outcome = CallOutcome::Failed;
    Errc error = Errc::OutcomeUnknown;
    /// The server's result, JSON; empty unless answered.
    std::string result;
};

/// Called once with the end of an attempt, on the entry task's thread; must not block.
using RunReply = std::function<void(RunEnd end)>;

/// Called once with the outcome, on the entry task's thread; must not block.
using CallerReply = std::function<void(CallerOutcome outcome)>;

/// A class against its target, as the entry task keeps it.
struct ClassState {
    std::string name;
    /// Which target gives way and why, or empty.
    std::string conflict;
};

/// How the entry task reaches leaf daemons. Called on its own thread.
struct EntryHooks {
    /// Sends to another daemon or, if \p to is this one, to its own leaf task.
    std::function<void(DaemonId to, LeafRequest request)> sendRequest;
    std::function<void(DaemonId to, LeafCancel cancel)> sendCancel;
};

/// Who the entry task is.
struct EntryIdentity {
    DaemonId daemon;
    Incarnation incarnation;
    /// Seed of random choices.
    std::uint64_t seed = 0;
};

/// Owns the queries that this daemon took in.
///
/// \code
/// EntryTask entry(identity, crashes, hooks);
/// entry.setView(view);
/// entry.query(query, traceparent, [](CallerOutcome outcome) { ... });
/// \endcode
class EntryTask
{
public:
    /// \param crashes shared with the leaf task; kept by the caller.
    EntryTask(const EntryIdentity &identity, SharedCrashBar &crashes, EntryHooks hooks);
    ~EntryTask();

    EntryTask(const EntryTask &) = delete;
    EntryTask &operator=(const EntryTask &) = delete;

    /// Takes new published values.
    void setView(std::shared_ptr<const PublishedView> view);

    /// Sets the daemons that are not to be used as holders, such as suspected and leaving ones.
    void setUnusableDaemons(std::unordered_set<DaemonId> daemons);

    /// Answers a query. \param traceparent of the caller's request, W3C.
    void query(CallerQuery query, std::string traceparent, CallerReply reply);

    /// Sends a non-idempotent request to one server, once.
    void run(RunWork work, RunReply reply);

    /// The classes and their conflicts. Callable from any thread but the task's own.
    std::vector<ClassState> classes() const;

    /// Takes a reply of a leaf daemon.
    void onReply(LeafReply reply);

    /// Takes back a request that was not sent.
    void onUnsent(DaemonId to, LeafRequest request);

    /// Notes that replies of \p daemon that are still awaited will not come.
    void onLost(DaemonId daemon);

    /// Ends the thread; requests that are open are answered as ended by a stop.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace sassafrasvane
