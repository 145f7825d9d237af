#include "placementtrial.h"

#include <algorithm>
#include <set>

namespace sassafrasvane::placementtrial
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t replicas = 3;
constexpr std::array<const char *, replicas> domains{"a", "b", "c"};
/// Times that searchers need for the same work, relative to each other.
constexpr std::array<double, 3> speeds{0.8, 1.0, 1.3};
constexpr double slowFactor = 2.5;
constexpr double slowShare = 0.15;
constexpr Duration slowLength = 600ms;
constexpr Duration minPause = 100ms;
constexpr Duration maxPause = 200ms;
constexpr Duration minPausePeriod = 2'400ms;
constexpr Duration maxPausePeriod = 4'500ms;
/// Time from a VM to a searcher in its failure domain and in another one, each way.
constexpr Duration localHop = 300us;
constexpr Duration remoteHop = 1ms;
constexpr Duration sampleInterval = 2ms;
/// Time at the start of a trial that is not measured.
constexpr Duration warmUp = 5s;
/// A call that no searcher can take is tried again after this time.
constexpr Duration retryInterval = 5ms;
constexpr Duration timeLimit = 2'500ms;
/// As in the entry process: a searcher is congested if a call would take more than this share of the target.
constexpr double congestedShare = 0.5;

std::string shardName(std::size_t shard)
{
    return "shard-" + std::to_string(shard);
}

Duration between(Random &random, Duration least, Duration most)
{
    return least + shareOf(most - least, random.unit());
}

} // namespace

struct Trial::Vm {
    Vm(const std::string &name, const std::string &domain, const std::set<std::string> &fleet, const Setup &setup)
        : pool(name, domain, PoolBounds(), mix(hashBytes(name), setup.seed)), times(setup.target)
    {
        pool.setFleet(TimePoint(), fleet);
    }

    SearcherPool pool;
    CallTimes times;
};

struct Trial::Server {
    Server(VirtualTime &time, Random &random, std::uint32_t slots) : searcher(time, random, slots) { }

    FakeSearcher searcher;
    std::size_t speed = 0;
    std::string domain;
    bool isSlow = false;
    std::vector<std::pair<TimePoint, LoadReport>> history;
};

struct Trial::Query {
    struct Part {
        bool isAnswered = false;
        std::vector<std::shared_ptr<TrackedSearcher>> tried;
    };

    Vm *vm = nullptr;
    std::size_t domain = 0;
    TimePoint startedAt;
    std::vector<Part> parts;
    std::size_t openParts = 0;
    bool isMeasured = false;
};

Trial::Trial(const Setup &setup) : setup_(setup), random_(setup.seed), end_(time_.now() + warmUp + setup.length)
{
    std::set<std::string> fleet;
    for (std::size_t vm = 0; vm < setup_.vms; ++vm) {
        fleet.insert("vm-" + std::to_string(vm));
    }
    std::vector<BackendLimits> limits;
    for (std::size_t shard = 0; shard < setup_.shards; ++shard) {
        BackendLimits &backend = limits.emplace_back();
        backend.name = shardName(shard);
        backend.maxConnections = 200;
    }
    for (std::size_t vm = 0; vm < setup_.vms; ++vm) {
        vms_.push_back(
            std::make_unique<Vm>("vm-" + std::to_string(vm), domains.at(vm % domains.size()), fleet, setup_));
        vms_.back()->pool.setBackendLimits(limits);
    }
    for (std::size_t shard = 0; shard < setup_.shards; ++shard) {
        for (std::size_t replica = 0; replica < replicas; ++replica) {
            addServer(shard, replica);
        }
    }
}

Trial::~Trial() = default;

void Trial::addServer(std::size_t shard, std::size_t replica)
{
    SearcherEntry entry;
    entry.instance = std::to_string(servers_.size());
    entry.backend = shardName(shard);
    entry.failureDomain = domains.at(replica);
    entry.slots = setup_.slots;
    for (const std::unique_ptr<Vm> &vm : vms_) {
        vm->pool.put(time_.now(), entry);
    }
    Server &server = servers_.emplace_back(time_, random_, setup_.slots);
    server.speed = (shard + replica) % speeds.size();
    server.domain = entry.failureDomain;
    server.searcher.setSlowness(speeds.at(server.speed));
    playSlowPhases(server, random_.chance(slowShare));
    time_.at(time_.now() + between(random_, 0ms, maxPausePeriod), [this, &server] { playPauses(server); });
}

void Trial::playPauses(Server &server)
{
    server.searcher.pauseUntil(time_.now() + between(random_, minPause, maxPause));
    if (time_.now() < end_) {
        time_.at(time_.now() + between(random_, minPausePeriod, maxPausePeriod),
                 [this, &server] { playPauses(server); });
    }
}

void Trial::playSlowPhases(Server &server, bool isSlow)
{
    server.isSlow = isSlow;
    server.searcher.setSlowness(speeds.at(server.speed) * (isSlow ? slowFactor : 1));
    const Duration mean = isSlow ? slowLength : shareOf(slowLength, (1 - slowShare) / slowShare);
    if (time_.now() < end_) {
        time_.at(time_.now() + shareOf(mean, -std::log(1 - random_.unit())),
                 [this, &server, isSlow] { playSlowPhases(server, !isSlow); });
    }
}

Measures Trial::run()
{
    double workTime = 0;
    for (const double speed : speeds) {
        workTime += speed * (1 + slowShare * (slowFactor - 1)) / static_cast<double>(speeds.size());
    }
    const double perSecond = setup_.load * static_cast<double>(replicas * setup_.slots)
        / (std::chrono::duration<double>(setup_.meanWork).count() * workTime);
    TimePoint at = time_.now();
    while (at < end_) {
        time_.at(at, [this] { startQuery(); });
        at += shareOf(1s, -std::log(1 - random_.unit()) / perSecond);
    }
    sample();
    time_.runUntil(end_ + timeLimit);
    const auto share = [](std::uint64_t part, std::uint64_t all) {
        return static_cast<double>(part) / static_cast<double>(std::max<std::uint64_t>(1, all));
    };
    Measures measures;
    measures.largestOverMean
        = totals_.largestOverMean / static_cast<double>(std::max<std::uint64_t>(1, totals_.samples));
    measures.avoidableWaitMs = totals_.avoidableWaitMs / static_cast<double>(std::max<std::uint64_t>(1, totals_.calls));
    measures.partP50Ms = toMilliseconds(partTimes_.quantile(0.5));
    measures.partP99Ms = toMilliseconds(partTimes_.quantile(0.99));
    measures.inTimeShare = share(totals_.inTime, totals_.queries);
    measures.localShare = share(totals_.localCalls, totals_.calls);
    measures.localFirstShare = share(totals_.localFirstCalls, totals_.parts);
    measures.hedgeShare = share(totals_.hedges, totals_.parts);
    return measures;
}

void Trial::sample()
{
    const TimePoint now = time_.now();
    for (Server &server : servers_) {
        LoadReport load = server.searcher.load();
        if (setup_.hasWorkTime) {
            load.relativeWorkTime = server.isSlow ? slowFactor : 1;
        }
        server.history.emplace_back(now, load);
        if (now - server.history.front().first > setup_.newsAge + 100ms) {
            server.history.erase(server.history.begin());
        }
    }
    if (now >= end_ - setup_.length) {
        for (std::size_t speed = 0; speed < speeds.size(); ++speed) {
            sampleSpeed(speed);
        }
        for (std::size_t first = 0; first < servers_.size(); first += replicas) {
            std::uint32_t waiting = 0;
            bool isIdle = false;
            for (std::size_t replica = first; replica < first + replicas; ++replica) {
                waiting += servers_[replica].searcher.waiting();
                isIdle = isIdle || servers_[replica].searcher.hasFreeSlot();
            }
            totals_.avoidableWaitMs += isIdle ? waiting * toMilliseconds(sampleInterval) : 0;
        }
    }
    if (now < end_) {
        time_.at(now + sampleInterval, [this] { sample(); });
    }
}

void Trial::sampleSpeed(std::size_t speed)
{
    std::uint32_t largest = 0;
    std::uint32_t sum = 0;
    std::uint32_t count = 0;
    for (const Server &server : servers_) {
        if (server.speed == speed) {
            const std::uint32_t calls = server.searcher.running() + server.searcher.waiting();
            largest = std::max(largest, calls);
            sum += calls;
            ++count;
        }
    }
    if (sum > 0) {
        totals_.largestOverMean += static_cast<double>(largest) * count / sum;
        ++totals_.samples;
    }
}

void Trial::startQuery()
{
    const std::shared_ptr<Query> query = std::make_shared<Query>();
    const std::size_t vm = random_.below(vms_.size());
    query->vm = vms_[vm].get();
    query->domain = vm % domains.size();
    query->startedAt = time_.now();
    query->parts.resize(setup_.shards);
    query->openParts = setup_.shards;
    query->isMeasured = time_.now() >= end_ - setup_.length;
    totals_.queries += query->isMeasured ? 1 : 0;
    for (std::size_t shard = 0; shard < setup_.shards; ++shard) {
        query->vm->pool.backend(shardName(shard)).budget().onRequest();
        place(query, shard, false);
        scheduleHedge(query, shard);
    }
}

void Trial::scheduleHedge(const std::shared_ptr<Query> &query, std::size_t shard)
{
    time_.at(time_.now() + query->vm->times.hedgeDelay(), [this, query, shard] {
        if (!query->parts[shard].isAnswered && query->parts[shard].tried.size() == 1
            && query->vm->pool.backend(shardName(shard)).budget().spend()) {
            place(query, shard, true);
        }
    });
}

void Trial::place(const std::shared_ptr<Query> &query, std::size_t shard, bool isHedge)
{
    const std::shared_ptr<TrackedSearcher> searcher = choose(*query, shard, isHedge);
    if (searcher) {
        call(query, shard, searcher, isHedge);
    } else if (isHedge) {
        query->vm->pool.backend(shardName(shard)).budget().refund();
    } else if (time_.now() < query->startedAt + timeLimit) {
        time_.at(time_.now() + retryInterval, [this, query, shard] { place(query, shard, false); });
    }
}

std::shared_ptr<TrackedSearcher> Trial::choose(Query &query, std::size_t shard, bool isHedge)
{
    BackendPool &backend = query.vm->pool.backend(shardName(shard));
    const std::vector<std::shared_ptr<TrackedSearcher>> &tried = query.parts[shard].tried;
    if (setup_.rule == Rule::TwoRandom) {
        return chooseOfTwo(backend, tried);
    }
    CallParameters parameters;
    parameters.typicalDuration = query.vm->times.typicalDuration();
    parameters.maxWait = shareOf(setup_.target, congestedShare);
    parameters.isHedge = isHedge;
    if (setup_.rule == Rule::Pool) {
        parameters.timeLeft = std::max(Duration{0}, query.startedAt + setup_.target - time_.now());
    }
    return query.vm->pool.choose(time_.now(), backend, tried, parameters).searcher;
}

std::shared_ptr<TrackedSearcher> Trial::chooseOfTwo(const BackendPool &backend,
                                                    const std::vector<std::shared_ptr<TrackedSearcher>> &tried)
{
    std::array<std::shared_ptr<TrackedSearcher>, 2> drawn;
    for (std::shared_ptr<TrackedSearcher> &chosen : drawn) {
        double sum = 0;
        for (const std::shared_ptr<TrackedSearcher> &searcher : backend.searchers()) {
            if (std::find(tried.begin(), tried.end(), searcher) != tried.end()) {
                continue;
            }
            const double weight = 1 / searcher->slowness(time_.now());
            sum += weight;
            chosen = random_.unit() * sum <= weight ? searcher : chosen;
        }
    }
    if (!drawn[0]) {
        return nullptr;
    }
    return drawn[0]->relativeExpectedTime(time_.now()) <= drawn[1]->relativeExpectedTime(time_.now()) ? drawn[0]
                                                                                                      : drawn[1];
}

void Trial::call(const std::shared_ptr<Query> &query,
                 std::size_t shard,
                 const std::shared_ptr<TrackedSearcher> &searcher,
                 bool isHedge)
{
    Server &server = servers_[std::stoul(searcher->entry().instance)];
    const bool isLocal = server.domain == domains.at(query->domain);
    if (query->isMeasured) {
        ++totals_.calls;
        totals_.localCalls += isLocal ? 1 : 0;
        totals_.localFirstCalls += isLocal && !isHedge ? 1 : 0;
        totals_.hedges += isHedge ? 1 : 0;
        totals_.parts += isHedge ? 0 : 1;
    }
    query->parts[shard].tried.push_back(searcher);
    const TimePoint sentAt = time_.now();
    const Duration hop = isLocal ? localHop : remoteHop;
    const std::uint64_t number = searcher->beginCall(sentAt, query->vm->times.typicalDuration());
    time_.at(sentAt + hop, [this, query, shard, searcher, number, sentAt, hop, &server] {
        server.searcher.submit(setup_.meanWork, [this, query, shard, searcher, number, sentAt, hop, &server] {
            const LoadReport load = loadOf(server);
            time_.at(time_.now() + hop, [this, query, shard, searcher, number, sentAt, load] {
                const Duration elapsed = time_.now() - sentAt;
                searcher->endCall(time_.now(), number, CallEnd::Answered, load);
                query->vm->times.add(elapsed);
                onAnswered(*query, shard, time_.now() - query->startedAt);
            });
        });
    });
}

void Trial::onAnswered(Query &query, std::size_t shard, Duration elapsed)
{
    if (std::exchange(query.parts[shard].isAnswered, true)) {
        return;
    }
    --query.openParts;
    if (query.isMeasured) {
        partTimes_.add(elapsed);
        totals_.inTime += query.openParts == 0 && elapsed <= setup_.target ? 1 : 0;
    }
}

// The load at the time that the news is about; the present load if the history does not reach back that far.
LoadReport Trial::loadOf(const Server &server) const
{
    LoadReport load = server.searcher.load();
    if (setup_.hasWorkTime) {
        load.relativeWorkTime = server.isSlow ? slowFactor : 1;
    }
    if (setup_.newsAge > Duration{0}) {
        for (const auto &[at, former] : server.history) {
            if (at > time_.now() - setup_.newsAge) {
                break;
            }
            load = former;
        }
    }
    return load;
}

} // namespace sassafrasvane::placementtrial
