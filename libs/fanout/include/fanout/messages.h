#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

#include <string>
#include <vector>

/// \file
/// Typed messages between a query and the searchers that serve it.

namespace sassafrasvane
{

/// One result of a search.
struct Hit {
    /// Position in the key space of the index; unique within a version.
    std::uint64_t key = 0;
    /// Higher is better.
    double score = 0;
    /// Opaque to the system.
    std::string body;
};

/// What a searcher found in one part.
struct PartResult {
    PartId part;
    std::vector<Hit> hits;
};

/// A request to one searcher for some parts of one index version.
struct SearchCall {
    CallId call;
    SearcherId searcher;
    IndexVersion version;
    std::vector<PartId> parts;
    /// A hedge or a retry of work that has been sent before.
    bool isExtra = false;
};

/// How a call ended.
enum class CallOutcome {
    Answered,
    Refused,      ///< Did not run.
    WrongVersion, ///< The searcher does not hold the version; did not run.
    Failed,       ///< May have run.
};

/// The end of a call.
struct SearchReply {
    CallId call;
    SearcherId searcher;
    /// The version that was searched, as the searcher says.
    IndexVersion version;
    CallOutcome outcome = CallOutcome::Failed;
    /// The reason, unless answered.
    Errc error = Errc::Internal;
    /// True if the request was sent to the searcher, whatever came of it.
    bool wasSent = false;
    std::vector<PartResult> parts;
};

/// A part that an answer lacks.
struct MissedPart {
    PartId part;
    /// Why: the end of its last call, or Errc::NoServer if none could be made.
    Errc reason = Errc::NoServer;
};

/// What a query came to.
struct QueryAnswer {
    IndexVersion version;
    /// Share of the version's key space that was merged, in [0, 1].
    double coverage = 0;
    std::size_t coveredParts = 0;
    std::size_t totalParts = 0;
    /// Best first.
    std::vector<Hit> hits;
    std::vector<MissedPart> missed;
    /// Calls that the query needed: one for each searcher of the first plan.
    std::size_t neededCalls = 0;
    /// Calls that reached a searcher, as far as replies tell; those still running are counted.
    std::size_t sentCalls = 0;
    /// Hedges and retries among them.
    std::size_t extraCalls = 0;
    /// True if the query was started again at another version.
    bool isRestarted = false;
    /// Replies that were dropped because they were late, doubled, foreign, truncated or of another version.
    std::size_t droppedReplies = 0;
};

} // namespace sassafrasvane
