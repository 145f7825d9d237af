#include "tier.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t partWidth = 1'000;
constexpr std::size_t hitLimit = 10;

std::string domainName(std::uint32_t number)
{
    return std::string(1, static_cast<char>('a' + number));
}

// The searchers from the one at position \p home on that stand in different failure domains.
std::vector<SearcherId> replicasFrom(const BackEndMap &backEnd, std::size_t home, std::uint32_t count)
{
    std::vector<SearcherId> replicas;
    std::set<std::string> domains;
    for (std::size_t i = 0; i < backEnd.searchers.size() && replicas.size() < count; ++i) {
        const Searcher &searcher = backEnd.searchers[(home + i) % backEnd.searchers.size()];
        if (domains.insert(searcher.failureDomain).second) {
            replicas.push_back(searcher.id);
        }
    }
    return replicas;
}

ClassIndex classIndex(std::size_t cls) noexcept
{
    return ClassIndex{static_cast<std::uint32_t>(cls)};
}

Duration exponential(Random &random, double mean)
{
    return Duration(static_cast<Duration::rep>(-std::log(1.0 - random.unit()) * mean));
}

} // namespace

Tier::Tier(const TierSetup &setup) : setup_(setup), random_(mix(setup.seed, 1))
{
    makeMap();
    makeEntries();
    if (!setup_.isBaseline) {
        makeGates();
    }
}

void Tier::makeMap()
{
    ShardMap::Builder builder;
    configuration_ = std::make_shared<Configuration>();
    for (const BackEndSetup &setup : setup_.backEnds) {
        BackEndMap backEnd;
        backEnd.name = setup.name;
        const std::uint32_t first = static_cast<std::uint32_t>(searchers_.size());
        for (std::uint32_t i = 0; i < setup.searchers; ++i) {
            const SearcherId id{first + i};
            const Address address{0x0a000000 + id.value, 9000};
            backEnd.searchers.push_back({id, address, domainName(i % setup_.failureDomains)});
            searchers_.push_back(std::make_unique<FakeSearcher>(loop_, setup.model, mix(setup_.seed, 100 + id.value)));
        }
        IndexMap index;
        index.version = IndexVersion{1};
        for (std::uint32_t i = 0; i < setup.parts; ++i) {
            const std::uint32_t home = i * setup.searchers / setup.parts;
            index.parts.push_back(
                {PartId{i}, i * partWidth, (i + 1) * partWidth, replicasFrom(backEnd, home, setup.replicas)});
        }
        backEnd.versions.push_back(std::move(index));
        builder.backEnd(std::move(backEnd));
        const SearcherModel &model = setup.model;
        configuration_->backEnds.push_back({setup.name, model.slots, model.connections, 6ms, model.coldAllowance});
    }
    for (const ClassSetup &cls : setup_.classes) {
        configuration_->classes.push_back({cls.name, cls.backEnd, cls.target, cls.givesWay, true});
    }
    map_ = std::make_shared<const ShardMap>(builder.build(ConfigVersion{1}).value());
}

void Tier::makeEntries()
{
    std::vector<DaemonId> daemons;
    for (std::uint32_t i = 0; i < setup_.daemons; ++i) {
        daemons.push_back(daemonId(Address{0x0a100000 + i, 7000}));
    }
    HolderTable::Builder builder;
    builder.map(*map_).daemons(daemons);
    for (const BackEndSetup &backEnd : setup_.backEnds) {
        builder.holdersOf(backEnd.name, std::min(backEnd.model.slots, setup_.daemons));
    }
    holders_ = std::make_shared<const HolderTable>(builder.build());
    for (std::uint32_t i = 0; i < setup_.entries; ++i) {
        Entry entry{daemons[i],
                    ReplicaRouter(daemons[i], mix(setup_.seed, 10'000 + i)),
                    EntryAdmission(configuration_->classes),
                    {},
                    {}};
        for (const ClassSetup &cls : setup_.classes) {
            entry.controllers.emplace_back(cls.target, cls.givesWay);
            entry.budgets.emplace_back(cls.target.extraLoad);
        }
        entries_.push_back(std::move(entry));
    }
    applyView();
}

void Tier::makeGates()
{
    for (const BackEndMap &backEnd : map_->backEnds()) {
        const BackEndLimits &limits = *configuration_->findBackEnd(backEnd.name);
        for (const Searcher &searcher : backEnd.searchers) {
            firstGate_.resize(std::max<std::size_t>(firstGate_.size(), searcher.id.value + 1));
            firstGate_[searcher.id.value] = gates_.size();
            for (const DaemonId holder : holders_->holders(searcher.id)) {
                const HolderShare share = *holders_->share(searcher.id, holder);
                SearcherGate gate = SearcherGate::Builder().limits(limits).share(share).build();
                gates_.push_back({std::move(gate), searcher.id, holder, TimePoint(), WarmthReport()});
            }
        }
    }
}

void Tier::setDomainsOut(std::vector<std::string> domains)
{
    configuration_ = std::make_shared<Configuration>(*configuration_);
    configuration_->domainsOut = std::move(domains);
    applyView();
}

void Tier::applyView()
{
    for (Entry &entry : entries_) {
        entry.router.setView({map_, configuration_, holders_});
    }
}

void Tier::run(Duration time, bool hasLoad)
{
    const TimePoint end = loop_.now() + time;
    for (std::size_t cls = 0; hasLoad && cls < setup_.classes.size(); ++cls) {
        arrive(cls, end);
    }
    loop_.runUntil(end);
}

// Lets the next query of the class arrive, and the one after it, until the end.
void Tier::arrive(std::size_t cls, TimePoint end)
{
    const Duration gap = exponential(random_, 1e6 / (setup_.classes[cls].rate * load_));
    if (loop_.now() + gap < end) {
        loop_.after(gap, [this, cls, end] {
            takeQuery(cls);
            arrive(cls, end);
        });
    }
}

void Tier::takeQuery(std::size_t cls)
{
    const std::uint64_t id = ++lastQuery_;
    const std::size_t entry = random_.below(entries_.size());
    queries_[id] = {entry, cls, loop_.now(), TimePoint(), std::nullopt, TimePoint(), 0};
    if (setup_.isBaseline) {
        startQuery(id);
        return;
    }
    const TimePoint deadline = loop_.now() + entries_[entry].controllers[cls].bounds().deadline;
    entryActions_.clear();
    entries_[entry].admission.offer(loop_.now(), {QueryId{id}, classIndex(cls), deadline}, entryActions_);
    applyEntry(entry);
}

void Tier::applyEntry(std::size_t entry)
{
    const EntryActions actions = entryActions_;
    for (const EntryRefusal &refusal : actions.refuse) {
        const Running &running = queries_.at(refusal.query.value);
        records_.push_back({running.cls, running.startedAt, loop_.now() - running.startedAt, 0, 0, 0, true});
        queries_.erase(refusal.query.value);
    }
    for (const QueryId query : actions.start) {
        startQuery(query.value);
    }
    if (actions.wakeAt) {
        loop_.at(*actions.wakeAt, [this, entry] {
            entryActions_.clear();
            entries_[entry].admission.onTimer(loop_.now(), entryActions_);
            applyEntry(entry);
        });
    }
}

void Tier::startQuery(std::uint64_t id)
{
    Running &running = queries_.at(id);
    const QueryTerms terms = termsFor(running);
    running.deadline = terms.deadline;
    running.query.emplace(Query::Builder()
                              .map(map_, setup_.classes[running.cls].backEnd)
                              .terms(terms)
                              .hooks(hooksFor(running.entry, running.cls))
                              .build(loop_.now())
                              .value());
    queryActions_.clear();
    running.query->start(loop_.now(), queryActions_);
    entries_[running.entry].budgets[running.cls].onNeeded(queryActions_.send.size());
    applyQuery(id);
}

QueryTerms Tier::termsFor(const Running &running) const
{
    const TimePoint now = running.startedAt;
    if (setup_.isBaseline) {
        const TimePoint end = now + setup_.baselineTimeout;
        return {end, end, end, 1, hitLimit};
    }
    // The time that the query waited for admission is part of its latency.
    const QueryBounds &bounds = entries_[running.entry].controllers[running.cls].bounds();
    const TimePoint deadline = std::max(now + bounds.deadline, loop_.now() + Duration{1});
    return {deadline, loop_.now() + bounds.hedgeDelay, now + bounds.earlyStopDelay, bounds.quorum, hitLimit};
}

QueryHooks Tier::hooksFor(std::size_t entry, std::size_t cls)
{
    QueryHooks hooks;
    hooks.nextCall = [this] { return CallId{++lastCall_}; };
    if (setup_.isBaseline) {
        hooks.spendExtra = [] { return false; };
        hooks.chooseReplica = [this](IndexVersion, const Part &part, std::span<const SearcherId> avoid) {
            return randomReplica(part, avoid);
        };
        return hooks;
    }
    hooks.spendExtra = [this, entry, cls] { return entries_[entry].budgets[cls].spend(loop_.now()); };
    hooks.chooseReplica = [this, entry](IndexVersion version, const Part &part, std::span<const SearcherId> avoid) {
        return entries_[entry].router.choose(loop_.now(), version, part, avoid);
    };
    return hooks;
}

std::optional<SearcherId> Tier::randomReplica(const Part &part, std::span<const SearcherId> avoid)
{
    std::vector<SearcherId> usable;
    for (const SearcherId replica : part.replicas) {
        const bool isAvoided = std::find(avoid.begin(), avoid.end(), replica) != avoid.end();
        if (!isAvoided && !configuration_->isOut(domainOf(replica))) {
            usable.push_back(replica);
        }
    }
    return usable.empty() ? std::nullopt : std::optional<SearcherId>(usable[random_.below(usable.size())]);
}

// Does what the query wants. All replies come later, so the actions stay whole meanwhile.
void Tier::applyQuery(std::uint64_t id)
{
    Running &running = queries_.at(id);
    const TimePoint deadline = running.deadline;
    for (SearchCall &message : queryActions_.send) {
        dispatch(id, std::move(message), deadline);
    }
    for (const CallId call : queryActions_.cancel) {
        cancel(call);
    }
    if (queryActions_.answer) {
        finishQuery(id);
    } else if (queryActions_.wakeAt && *queryActions_.wakeAt != running.wakeAt) {
        running.wakeAt = *queryActions_.wakeAt;
        loop_.at(running.wakeAt, [this, id] {
            const auto found = queries_.find(id);
            if (found != queries_.end()) {
                queryActions_.clear();
                found->second.query->onTimer(loop_.now(), queryActions_);
                applyQuery(id);
            }
        });
    }
}

void Tier::finishQuery(std::uint64_t id)
{
    const Running &running = queries_.at(id);
    const QueryAnswer &answer = *queryActions_.answer;
    const QueryRecord record{running.cls,
                             running.startedAt,
                             loop_.now() - running.startedAt,
                             answer.coverage,
                             answer.neededCalls,
                             answer.extraCalls,
                             false};
    records_.push_back(record);
    const std::size_t entry = running.entry;
    const std::size_t cls = running.cls;
    // More calls were refused, or more is missing at the deadline, than the target allows.
    const double completeness = setup_.classes[cls].target.completeness;
    const double spareCalls = (1 - completeness) * static_cast<double>(answer.neededCalls);
    const bool isOverloaded = static_cast<double>(running.refusedCalls) > spareCalls
        || (loop_.now() >= running.deadline && answer.coverage < completeness);
    queries_.erase(id);
    if (setup_.isBaseline) {
        return;
    }
    const QuerySample sample{record.latency, record.coverage, 1, record.needed, record.extra};
    entries_[entry].controllers[cls].onQuery(sample);
    // Not at once, as what it starts would replace the actions that are being done.
    loop_.after(Duration{0}, [this, entry, id, latency = record.latency, isOverloaded] {
        entryActions_.clear();
        entries_[entry].admission.onFinished(loop_.now(), {QueryId{id}, latency, isOverloaded}, entryActions_);
        applyEntry(entry);
    });
}

} // namespace sassafrasvane
