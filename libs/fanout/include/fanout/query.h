#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "fanout/hitmerger.h"
#include "fanout/messages.h"
#include "shardmap/shardmap.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

/// \file
/// One fan-out query as a state machine without I/O.

namespace sassafrasvane
{

/// How a query is first sent to the searchers.
enum class FirstSend {
    All,        ///< To all at once.
    ProbeFirst, ///< To one searcher; to the others once one has answered.
    Suspect,    ///< As ProbeFirst, and neither hedged nor retried until one has answered.
};

/// The bounds within which a query works, set by its class's controller.
struct QueryTerms {
    /// The answer goes out by this time with whatever was merged.
    TimePoint deadline;
    /// Parts without an answer at this time are hedged.
    TimePoint hedgeAt;
    /// From this time on the answer may go out when \ref quorum is covered.
    TimePoint earlyStopAt;
    /// Coverage that is complete enough, in (0, 1].
    double quorum = 1;
    /// Most hits in the answer.
    std::size_t hitLimit = 10;
    FirstSend firstSend = FirstSend::All;
};

/// Choices that a query leaves to its surroundings. All must be set, but for chooseProbe with FirstSend::All.
struct QueryHooks {
    /// Chooses a searcher for \p part of \p version that may be used now and is not in \p avoid.
    std::function<std::optional<SearcherId>(IndexVersion version, const Part &part, std::span<const SearcherId> avoid)>
        chooseReplica;
    /// Takes one call from the class's extra-load budget. \return false if there is none left.
    std::function<bool()> spendExtra;
    /// A call id, higher than all before it.
    std::function<CallId()> nextCall;
    /// Chooses which of the searchers is asked before the others.
    std::function<std::optional<SearcherId>(std::span<const SearcherId> searchers)> chooseProbe;
};

/// What the query wants done after an event. The caller clears it before the next one.
struct QueryActions {
    /// Calls to send.
    std::vector<SearchCall> send;
    /// Calls whose result is no longer wanted.
    std::vector<CallId> cancel;
    /// When onTimer() wants to be called, unless answered.
    std::optional<TimePoint> wakeAt;
    /// Set once: the query has ended.
    std::optional<QueryAnswer> answer;

    /// Empties all lists.
    void clear() noexcept;
};

/// A query over all parts of one index version.
///
/// The query fixes the newest version whose every part can be served, asks one searcher for each part, hedges and
/// retries within its budget, and merges only replies of that version. Coverage is the merged share of that version's
/// key space. If the version cannot be completed any more because searchers dropped it, the query starts once again at
/// another version; replies to the earlier calls are then dropped by their call ids.
///
/// \code
/// Query query = Query::Builder().map(map, "rider-search").terms(terms).hooks(hooks).build(now).value();
/// QueryActions actions;
/// query.start(now, actions);
/// // send actions.send; feed replies to onReply() and time to onTimer() until actions.answer is set
/// \endcode
class Query
{
public:
    class Builder;

    /// Chooses the version and plans the first calls. To be called once, first.
    void start(TimePoint now, QueryActions &actions);

    /// Takes the end of a call; late, doubled and foreign replies are dropped and counted.
    void onReply(TimePoint now, SearchReply reply, QueryActions &actions);

    /// Hedges, stops early or ends the query if its time has come.
    void onTimer(TimePoint now, QueryActions &actions);

    /// True once an answer was given.
    bool isFinished() const noexcept { return isFinished_; }

    /// The version that the query is fixed to; 0 before start() and if none can be served.
    IndexVersion version() const noexcept;

private:
    struct PartState {
        bool isCovered = false;
        /// A call for it reached a searcher, so that another one is extra load.
        bool wasSent = false;
        std::uint32_t openCalls = 0;
        Errc lastError = Errc::NoServer;
        /// Calls made for it.
        std::uint32_t calls = 0;
        /// Searchers asked already, but for those whose holder refused for them.
        std::vector<SearcherId> tried;
    };

    struct CallState {
        CallId id;
        SearcherId searcher;
        /// Positions in the version's parts.
        std::vector<std::size_t> parts;
        bool isExtra = false;
        bool isOpen = true;
        bool wasSent = true;
    };

    /// A searcher chosen for a part.
    struct Assignment {
        SearcherId searcher;
        std::size_t part = 0;
    };

    struct Plan {
        const IndexMap *index = nullptr;
        std::vector<Assignment> assignments;
        std::uint64_t width = 0;
    };

    Query() = default;
    Plan planFor(const IndexMap &index) const;
    Plan bestPlan(IndexVersion excluded) const;
    void adopt(Plan plan, QueryActions &actions);
    void sendCalls(std::vector<Assignment> assignments, bool isExtra, QueryActions &actions);
    CallState *findCall(CallId id) noexcept;
    bool mergeParts(const CallState &call, std::vector<PartResult> results);
    void closeCall(CallState &call, Errc error);
    void recover(TimePoint now, const CallState &call, const SearchReply &reply, QueryActions &actions);
    void hedge(QueryActions &actions);
    bool isProbing() const noexcept;
    void sendProbe(QueryActions &actions);
    void sendHeldBack(QueryActions &actions);
    void onProbeFailed(CallOutcome outcome, QueryActions &actions);
    bool restart(TimePoint now, QueryActions &actions);
    void settle(TimePoint now, QueryActions &actions);
    bool isDone(TimePoint now) const;
    void finish(QueryActions &actions);
    void cancelOpenCalls(QueryActions &actions);

    std::shared_ptr<const ShardMap> map_;
    const BackEndMap *backEnd_ = nullptr;
    const IndexMap *index_ = nullptr;
    QueryTerms terms_;
    QueryHooks hooks_;
    HitMerger merger_{0};
    std::vector<PartState> parts_;
    /// Assignments that wait for the probe's answer.
    std::vector<Assignment> heldBack_;
    std::uint32_t probes_ = 0;
    /// A searcher has answered the query.
    bool isProven_ = false;
    std::vector<CallState> calls_;
    /// Calls before this position belong to an earlier version.
    std::size_t firstCall_ = 0;
    std::size_t openCalls_ = 0;
    std::uint64_t coveredWidth_ = 0;
    /// Keys of the parts that no searcher can be asked for any more.
    std::uint64_t lostWidth_ = 0;
    std::uint32_t restartAttempts_ = 0;
    std::size_t coveredParts_ = 0;
    std::size_t neededCalls_ = 0;
    std::size_t droppedReplies_ = 0;
    bool isHedged_ = false;
    bool isRestarted_ = false;
    bool isFinished_ = false;
};

/// Collects what a Query needs.
class Query::Builder
{
public:
    /// \param map kept alive by the query until it ends. \param backEnd name of the back end to ask.
    Builder &map(std::shared_ptr<const ShardMap> map, std::string_view backEnd);

    /// Sets the bounds.
    Builder &terms(const QueryTerms &terms) noexcept;

    /// Sets the choices.
    Builder &hooks(QueryHooks hooks);

    /// \return the query, or Errc::NoSnapshot if the back end is not in the map or has no version, Errc::DeadlinePassed
    /// if the deadline is not after \p now, Errc::Internal if a hook is not set.
    Result<Query> build(TimePoint now);

private:
    std::shared_ptr<const ShardMap> map_;
    std::string backEnd_;
    QueryTerms terms_;
    QueryHooks hooks_;
};

} // namespace sassafrasvane
