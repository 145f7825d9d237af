#pragma once

#include "admission/classcontroller.h"
#include "admission/entryadmission.h"
#include "admission/extraloadbudget.h"
#include "admission/searchergate.h"
#include "fakesearcher.h"
#include "fanout/query.h"
#include "fanout/replicarouter.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// The real decisions over fake searchers in virtual time, or the plain baseline over the same searchers.

namespace sassafrasvane
{

/// A back end to be made up: searchers spread over the failure domains in turn, each part on neighbouring searchers.
struct BackEndSetup {
    std::string name;
    std::uint32_t searchers = 30;
    std::uint32_t parts = 30;
    std::uint32_t replicas = 2;
    SearcherModel model;
};

/// A class and its load.
struct ClassSetup {
    std::string name;
    std::string backEnd;
    ClassTarget target;
    GivesWay givesWay = GivesWay::Coverage;
    /// Queries a second over all entries.
    double rate = 10;
};

/// What a Tier is made of.
struct TierSetup {
    std::uint32_t daemons = 8;
    /// Daemons that take in queries.
    std::uint32_t entries = 8;
    std::uint32_t failureDomains = 4;
    /// One way between any two processes.
    Duration hop = std::chrono::microseconds(1500);
    std::vector<BackEndSetup> backEnds;
    std::vector<ClassSetup> classes;
    /// A random replica, no hedge, no limit, every part waited for until the time-out.
    bool isBaseline = false;
    /// When the baseline gives up.
    Duration baselineTimeout = std::chrono::seconds(2);
    std::uint64_t seed = 1;
};

/// A query that was answered or refused.
struct QueryRecord {
    std::size_t cls = 0;
    TimePoint startedAt;
    Duration latency{0};
    double coverage = 0;
    std::size_t needed = 0;
    std::size_t extra = 0;
    /// Refused at the entry; did not run.
    bool isRefused = false;
};

/// Entries, holders and searchers.
///
/// Each entry has its own router, controllers and budgets; each holder its own gate for each searcher it holds.
class Tier
{
public:
    explicit Tier(const TierSetup &setup);

    /// Virtual time, for faults.
    VirtualLoop &loop() noexcept { return loop_; }

    /// Lets queries arrive for \p time, or goes on without them if \p hasLoad is false.
    void run(Duration time, bool hasLoad = true);

    /// Multiplies the load from now on.
    void setLoad(double factor) noexcept { load_ = factor; }

    FakeSearcher &searcher(SearcherId id) { return *searchers_.at(id.value); }

    std::size_t searcherCount() const noexcept { return searchers_.size(); }

    /// The failure domain that \p id stands in.
    const std::string &domainOf(SearcherId id) const { return map_->searcher(id)->failureDomain; }

    /// Publishes the failure domains that are out; in force at once.
    void setDomainsOut(std::vector<std::string> domains);

    const std::vector<QueryRecord> &records() const noexcept { return records_; }

private:
    struct Entry {
        DaemonId id;
        ReplicaRouter router;
        EntryAdmission admission;
        std::vector<ClassController> controllers;
        std::vector<ExtraLoadBudget> budgets;
    };

    struct Running {
        std::size_t entry = 0;
        std::size_t cls = 0;
        TimePoint startedAt;
        TimePoint deadline;
        std::optional<Query> query;
        TimePoint wakeAt;
        /// Calls that gates refused.
        std::size_t refusedCalls = 0;
    };

    /// A call on its way.
    struct Call {
        std::uint64_t query = 0;
        SearchCall message;
        TimePoint sentAt;
        TimePoint deadline;
        std::size_t gate = 0;
        Duration hop{0};
        bool isStarted = false;
        bool isAbandoned = false;
    };

    struct Gate {
        SearcherGate gate;
        SearcherId searcher;
        DaemonId holder;
        TimePoint wakeAt;
        /// What the other holders were last told.
        WarmthReport told;
    };

    void makeMap();
    void makeEntries();
    void makeGates();
    void applyView();
    void arrive(std::size_t cls, TimePoint end);
    void takeQuery(std::size_t cls);
    void applyEntry(std::size_t entry);
    void startQuery(std::uint64_t id);
    QueryTerms termsFor(const Running &running) const;
    QueryHooks hooksFor(std::size_t entry, std::size_t cls);
    std::optional<SearcherId> randomReplica(const Part &part, std::span<const SearcherId> avoid);
    void applyQuery(std::uint64_t id);
    void finishQuery(std::uint64_t id);
    void dispatch(std::uint64_t id, SearchCall message, TimePoint deadline);
    void cancel(CallId id);
    void offer(CallId id);
    void applyGate(std::size_t gate);
    void tellWarmth(std::size_t gate);
    void submit(CallId id);
    void onEnd(CallId id, const SearcherEnd &end);
    void reply(CallId id, CallOutcome outcome, Errc error, bool wasSent);
    void learn(Entry &entry, std::size_t cls, const SearchReply &reply, Duration latency, DaemonId holder);

    TierSetup setup_;
    VirtualLoop loop_;
    Random random_;
    double load_ = 1;
    std::shared_ptr<const ShardMap> map_;
    std::shared_ptr<Configuration> configuration_;
    std::shared_ptr<const HolderTable> holders_;
    std::vector<std::unique_ptr<FakeSearcher>> searchers_;
    std::vector<Entry> entries_;
    std::vector<Gate> gates_;
    /// First gate of each searcher; its holders follow by rank.
    std::vector<std::size_t> firstGate_;
    std::unordered_map<std::uint64_t, Running> queries_;
    std::unordered_map<CallId, Call> calls_;
    std::uint64_t lastQuery_ = 0;
    std::uint64_t lastCall_ = 0;
    QueryActions queryActions_;
    EntryActions entryActions_;
    GateActions gateActions_;
    std::vector<QueryRecord> records_;
};

} // namespace sassafrasvane
