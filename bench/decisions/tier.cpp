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
        Entry entry{daemons[i], ReplicaRouter(daemons[i], mix(setup_.seed, 10'000 + i)), {}, {}};
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
        entry.router.setView({map_, configuration_, holders_, loop_.now()});
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
            startQuery(cls);
            arrive(cls, end);
        });
    }
}

void Tier::startQuery(std::size_t cls)
{
    const std::size_t entry = random_.below(entries_.size());
    const QueryTerms terms = termsFor(entries_[entry], cls);
    Result<Query> query = Query::Builder()
                              .map(map_, setup_.classes[cls].backEnd)
                              .terms(terms)
                              .hooks(hooksFor(entry, cls))
                              .build(loop_.now());
    const std::uint64_t id = ++lastQuery_;
    Running &running = queries_[id];
    running = {entry, cls, loop_.now(), terms.deadline, std::move(query.value()), TimePoint()};
    queryActions_.clear();
    running.query->start(loop_.now(), queryActions_);
    entries_[entry].budgets[cls].onNeeded(queryActions_.send.size());
    applyQuery(id);
}

QueryTerms Tier::termsFor(const Entry &entry, std::size_t cls) const
{
    const TimePoint now = loop_.now();
    if (setup_.isBaseline) {
        const TimePoint end = now + setup_.baselineTimeout;
        return {end, end, end, 1, hitLimit};
    }
    const ClassTerms &terms = entry.controllers[cls].terms();
    return {now + terms.deadline, now + terms.hedgeDelay, now + terms.earlyStopDelay, terms.quorum, hitLimit};
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
    QueryRecord record{running.cls,
                       running.startedAt,
                       loop_.now() - running.startedAt,
                       answer.coverage,
                       answer.neededCalls,
                       answer.extraCalls};
    if (!setup_.isBaseline) {
        const QuerySample sample{record.latency, record.coverage, 1, record.needed, record.extra};
        entries_[running.entry].controllers[running.cls].onQuery(sample);
    }
    records_.push_back(record);
    queries_.erase(id);
}

} // namespace sassafrasvane
