/// \file
/// Time and allocations of the decisions for one shard request, and how they grow with searchers and daemons.
/// Real time on this machine: compare figures of one run only.

#include "admission/searchergate.h"
#include "fanout/query.h"
#include "fanout/replicarouter.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>

namespace
{

std::uint64_t allocations = 0;

} // namespace

// Counts allocations; the default array forms come here too.
void *operator new(std::size_t size)
{
    ++allocations;
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t partWidth = 1'000;
constexpr int warmUpRounds = 50;

/// One size to measure.
struct Size {
    std::uint32_t searchers;
    std::uint32_t parts;
    std::uint32_t daemons;
};

/// What a shard request costs.
struct Cost {
    double nanoseconds = 0;
    double allocations = 0;
};

/// Measures \p work, which handles \p requests shard requests in each of \p rounds rounds.
template<typename Work>
Cost measure(int rounds, std::size_t requests, const Work &work)
{
    for (int i = 0; i < warmUpRounds; ++i) {
        work();
    }
    const std::uint64_t before = allocations;
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        work();
    }
    const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - begin;
    const double count = static_cast<double>(rounds) * static_cast<double>(requests);
    return {time.count() / count, static_cast<double>(allocations - before) / count};
}

/// The decisions of one entry and its holders over searchers that answer at once.
class Bench
{
public:
    explicit Bench(const Size &size) : router_(daemonId(Address{1, 7000}), 1)
    {
        BackEndMap backEnd;
        backEnd.name = "shards";
        for (std::uint32_t i = 0; i < size.searchers; ++i) {
            backEnd.searchers.push_back(
                {SearcherId{i}, Address{i, 9000}, std::string(1, static_cast<char>('a' + i % 4))});
        }
        IndexMap index;
        index.version = IndexVersion{1};
        for (std::uint32_t i = 0; i < size.parts; ++i) {
            const std::uint32_t home = i * size.searchers / size.parts;
            const std::vector<SearcherId> replicas{SearcherId{home}, SearcherId{(home + 1) % size.searchers}};
            index.parts.push_back({PartId{i}, i * partWidth, (i + 1) * partWidth, replicas});
        }
        backEnd.versions.push_back(std::move(index));
        map_ = std::make_shared<const ShardMap>(
            ShardMap::Builder().backEnd(std::move(backEnd)).build(ConfigVersion{1}).value());
        std::vector<DaemonId> daemons;
        for (std::uint32_t i = 0; i < size.daemons; ++i) {
            daemons.push_back(daemonId(Address{1 + i, 7000}));
        }
        HolderTable::Builder holders;
        holders.map(*map_).daemons(daemons).holdersOf("shards", 2);
        const auto table = std::make_shared<const HolderTable>(holders.build());
        router_.setView({map_, std::make_shared<const Configuration>(), table});
        const BackEndLimits limits{"shards", 2, 25, 6ms, 2};
        for (std::uint32_t i = 0; i < size.searchers; ++i) {
            gates_.push_back(SearcherGate::Builder().limits(limits).share({0, 1}).build());
        }
        hooks_.chooseReplica = [this](IndexVersion version, const Part &part, std::span<const SearcherId> avoid) {
            return router_.choose(now_, version, part, avoid);
        };
        hooks_.spendExtra = [] { return false; };
        hooks_.nextCall = [this] { return CallId{++lastCall_}; };
    }

    /// A query with all its replies; the router and the gates are not asked. \return shard requests sent.
    std::size_t runQuery(bool withRouter, bool withGates)
    {
        now_ += 10ms;
        Query query = Query::Builder()
                          .map(map_, "shards")
                          .terms({now_ + 1s, now_ + 1s, now_ + 1s, 1, 10})
                          .hooks(hooks_)
                          .build(now_)
                          .value();
        actions_.clear();
        query.start(now_, actions_);
        std::vector<SearchCall> calls = std::move(actions_.send);
        for (SearchCall &call : calls) {
            if (withRouter) {
                router_.holder(now_, call.searcher);
                router_.onSent(call.searcher);
            }
            if (withGates) {
                passGate(call);
            }
            SearchReply reply{call.call, call.searcher, call.version, CallOutcome::Answered, Errc::Internal, true, {}};
            for (const PartId part : call.parts) {
                reply.parts.push_back({part, {}});
            }
            if (withRouter) {
                router_.onReply(now_, reply, 5ms, DaemonId{});
            }
            actions_.clear();
            query.onReply(now_ + 5ms, std::move(reply), actions_);
        }
        return calls.size();
    }

private:
    void passGate(const SearchCall &call)
    {
        SearcherGate &gate = gates_[call.searcher.value];
        gateActions_.clear();
        gate.offer(now_, {call.call, ClassIndex{0}, now_ + 1s, false}, gateActions_);
        gateActions_.clear();
        gate.onResult(
            now_ + 5ms, {call.call, GateResult::End::Answered, 5ms, Incarnation{1}, false, 1, false}, gateActions_);
    }

    TimePoint now_{std::chrono::seconds(1000)};
    std::shared_ptr<const ShardMap> map_;
    ReplicaRouter router_;
    std::vector<SearcherGate> gates_;
    QueryHooks hooks_;
    QueryActions actions_;
    GateActions gateActions_;
    std::uint64_t lastCall_ = 0;
};

void print(const Size &size)
{
    Bench bench(size);
    const std::size_t requests = bench.runQuery(true, true);
    const int rounds = static_cast<int>(2'000'000 / size.parts);
    const Cost plain = measure(rounds, requests, [&bench] { bench.runQuery(false, false); });
    const Cost routed = measure(rounds, requests, [&bench] { bench.runQuery(true, false); });
    const Cost whole = measure(rounds, requests, [&bench] { bench.runQuery(true, true); });
    std::printf("%9u %6u %8u %9zu | %9.0f %7.2f | %9.0f %7.2f | %9.0f %7.2f\n",
                size.searchers,
                size.parts,
                size.daemons,
                requests,
                plain.nanoseconds,
                plain.allocations,
                routed.nanoseconds - plain.nanoseconds,
                routed.allocations - plain.allocations,
                whole.nanoseconds - routed.nanoseconds,
                whole.allocations - routed.allocations);
}

} // namespace

} // namespace sassafrasvane

int main()
{
    using namespace sassafrasvane;
    std::printf(
        "for each shard request: ns and allocations of query with choice, of holder and learning, of the gate\n");
    std::printf("%9s %6s %8s %9s | %9s %7s | %9s %7s | %9s %7s\n",
                "searchers",
                "parts",
                "daemons",
                "requests",
                "query ns",
                "allocs",
                "router ns",
                "allocs",
                "gate ns",
                "allocs");
    constexpr std::array<Size, 6> sizes{
        {{30, 30, 1}, {30, 30, 8}, {300, 300, 8}, {2'100, 1'700, 1}, {2'100, 1'700, 8}, {2'100, 1'700, 420}}};
    for (const Size &size : sizes) {
        print(size);
    }
    return 0;
}
