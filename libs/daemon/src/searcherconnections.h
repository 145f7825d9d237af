#pragma once

#include "base/address.h"
#include "base/ids.h"
#include "base/time.h"
#include "http/responsememory.h"
#include "wire/backendapi.h"
#include "wire/peermessages.h"

#include <functional>
#include <memory>
#include <string>

/// \file
/// The connections to one searcher.

namespace sassafrasvane::detail
{

/// One request to the searcher.
struct SearcherJob {
    /// The leaf's own id of the call.
    CallId call;
    WorkKind kind = WorkKind::Search;
    std::string body;
    std::string traceparent;
    TimePoint deadline;
};

/// How a job ended.
struct SearcherJobEnd {
    CallId call;
    BackEndAnswer answer;
    /// False if it provably did not leave this process.
    bool wasSent = false;
    /// The connection broke while the searcher worked on it.
    bool isConnectionLost = false;
    Duration served{0};
};

/// What a health check found.
struct SearcherHealth {
    /// When the check was sent.
    TimePoint askedAt;
    /// The searcher's incarnation; 0 if it could not be reached.
    Incarnation incarnation;
};

/// Threads, each of which owns one connection to the searcher and takes jobs from a queue, and one more for
/// cancellations and health checks, which is opened when first needed. A connection is opened when its thread is added,
/// before it has a job, and again after a failure.
class SearcherConnections
{
public:
    /// Called on a thread of the connections with the end of each job.
    using EndHook = std::function<void(SearcherJobEnd end)>;

    /// Called on a thread of the connections with the result of each health check.
    using HealthHook = std::function<void(SearcherHealth health)>;

    /// Without connections for jobs; see add(). \param memory bounds the memory for the answers of all searchers; must
    /// outlive the connections.
    SearcherConnections(const Address &address, http::ResponseMemory &memory, EndHook onEnd, HealthHook onHealth);

    /// Ends the threads once the jobs that run have ended; waiting jobs end as not sent.
    ~SearcherConnections();

    SearcherConnections(const SearcherConnections &) = delete;
    SearcherConnections &operator=(const SearcherConnections &) = delete;

    /// Opens one more connection.
    void add();

    /// Connections for jobs.
    std::size_t count() const noexcept;

    /// Queues a job.
    void run(SearcherJob job);

    /// Asks the searcher to stop working on \p call; only a hint, dropped when many wait.
    void cancel(CallId call);

    /// Asks whether the searcher is alive; dropped when many cancellations wait.
    void checkHealth();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

/// The name under which the searcher knows \p call: unique among all processes that talk to it.
std::string searcherCallName(CallId call);

} // namespace sassafrasvane::detail
