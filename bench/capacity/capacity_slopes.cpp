#include "fanout/query.h"
#include "shardmap/holders.h"
#include "shardmap/shardmap.h"
#include "wire/backendapi.h"
#include "wire/peercodec.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// \file
/// Bytes and time of the frames between entry and leaf, and the spread of holders, at several sizes. For
/// docs/CAPACITY.md.

namespace sassafrasvane
{

namespace
{

constexpr std::size_t queryBytes = 100;
constexpr std::size_t hitBytes = 60;
constexpr std::uint32_t hitsOfPart = 10;
constexpr int repetitions = 5;

/// The median of several timings of \p work, in ns for each of \p rounds.
template<typename Work>
double medianNanoseconds(int rounds, const Work &work)
{
    std::array<double, repetitions> times{};
    for (double &time : times) {
        const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
        for (int round = 0; round < rounds; ++round) {
            work();
        }
        time = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count() / rounds;
    }
    std::sort(times.begin(), times.end());
    return times[repetitions / 2];
}

LeafRequest requestOf(std::uint32_t calls)
{
    LeafRequest request;
    request.query = QueryId{1ULL << 40};
    request.entryIncarnation = Incarnation{1ULL << 50};
    request.timeLeft = std::chrono::milliseconds(100);
    request.fingerprint = Fingerprint{1ULL << 63};
    request.traceparent = std::string(55, '0');
    request.payload = std::string(queryBytes, 'q');
    for (std::uint32_t i = 0; i < calls; ++i) {
        request.calls.push_back(
            {CallId{(1ULL << 40) + i}, SearcherId{1000 + i}, IndexVersion{100'000}, {PartId{1000 + i}}, false});
    }
    return request;
}

LeafReply replyOf(std::uint32_t hits)
{
    LeafReply reply;
    reply.query = QueryId{1ULL << 40};
    reply.entryIncarnation = Incarnation{1ULL << 50};
    reply.reply.call = CallId{1ULL << 40};
    reply.reply.searcher = SearcherId{1000};
    reply.reply.version = IndexVersion{100'000};
    reply.reply.outcome = CallOutcome::Answered;
    reply.reply.wasSent = true;
    PartResult part{PartId{1000}, {}};
    for (std::uint32_t i = 0; i < hits; ++i) {
        part.hits.push_back({(1ULL << 50) + i, 0.5, std::string(hitBytes, 'h')});
    }
    reply.reply.parts.push_back(std::move(part));
    return reply;
}

/// Encodes and decodes \p message and prints one line under \p name and \p size.
void printFrame(const char *name, std::uint32_t size, const PeerMessage &message)
{
    constexpr int rounds = 2'000;
    const std::string frame = encodeFrame(message);
    std::size_t check = 0;
    const double encode = medianNanoseconds(rounds, [&] { check += encodeFrame(message).size(); });
    const std::string_view body = std::string_view(frame).substr(frameHeaderSize);
    const double decode = medianNanoseconds(rounds, [&] { check += decodeBody(body).has_value() ? 1 : 0; });
    if (check != static_cast<std::size_t>(rounds) * repetitions * (frame.size() + 1)) {
        std::fprintf(stderr, "a frame of %s does not decode\n", name);
        std::exit(EXIT_FAILURE);
    }
    std::printf("%s %u %zu %.0f %.0f\n", name, size, frame.size(), encode, decode);
}

/// Bytes of the heap in use. Source: mallinfo2(3).
std::size_t heapBytes()
{
    const struct mallinfo2 information = mallinfo2();
    return information.uordblks + information.hblkhd;
}

/// A back end of \p searchers with one part each.
ShardMap mapOf(std::uint32_t searchers)
{
    BackEndMap backEnd;
    backEnd.name = "shards";
    IndexMap index;
    index.version = IndexVersion{1};
    constexpr std::uint64_t width = 1000;
    for (std::uint32_t i = 0; i < searchers; ++i) {
        backEnd.searchers.push_back({SearcherId{i}, Address{i, 9000}, std::string(1, static_cast<char>('a' + i % 8))});
        index.parts.push_back({PartId{i}, i * width, (i + 1) * width, {SearcherId{i}}});
    }
    backEnd.versions.push_back(std::move(index));
    return ShardMap::Builder().backEnd(std::move(backEnd)).build(ConfigVersion{1}).value();
}

/// Prints the heap that queries hold while all their calls are open.
void printQueryMemory(std::uint32_t parts)
{
    constexpr std::size_t count = 8;
    const std::shared_ptr<const ShardMap> map = std::make_shared<const ShardMap>(mapOf(parts));
    std::uint64_t lastCall = 0;
    QueryHooks hooks;
    hooks.chooseReplica = [](IndexVersion, const Part &part, std::span<const SearcherId>) {
        return std::optional<SearcherId>(part.replicas.front());
    };
    hooks.spendExtra = [] { return false; };
    hooks.nextCall = [&lastCall] { return CallId{++lastCall}; };
    const TimePoint now{std::chrono::seconds(1000)};
    const TimePoint end = now + std::chrono::seconds(1);
    std::vector<Query> queries;
    queries.reserve(count);
    const std::size_t before = heapBytes();
    for (std::size_t i = 0; i < count; ++i) {
        queries.push_back(
            Query::Builder().map(map, "shards").terms({end, end, end, 1, hitsOfPart}).hooks(hooks).build(now).value());
        QueryActions actions;
        queries.back().start(now, actions);
    }
    std::printf("querymemory %u %zu\n", parts, (heapBytes() - before) / count);
}

/// Prints how searchers and the calls of one query spread over the daemons when each call takes its first holder.
void printHolders(std::uint32_t daemonCount, std::uint32_t searchers, std::uint32_t called)
{
    const std::size_t before = heapBytes();
    const ShardMap map = mapOf(searchers);
    const std::size_t mapBytes = heapBytes() - before;
    std::vector<DaemonId> daemons;
    for (std::uint32_t i = 0; i < daemonCount; ++i) {
        daemons.push_back(DaemonId{0x0a000001'0000ULL + i * 0x10000ULL + 7000});
    }
    HolderTable::Builder builder;
    builder.map(map).daemons(daemons).holdersOf("shards", 2);
    const std::size_t beforeTable = heapBytes();
    const HolderTable table = builder.build();
    const std::size_t tableBytes = heapBytes() - beforeTable;
    const double build = medianNanoseconds(1, [&builder] { builder.build(); });
    std::size_t most = 0;
    for (const DaemonId daemon : daemons) {
        most = std::max(most, table.heldBy(daemon).size());
    }
    std::set<DaemonId> leaves;
    for (std::uint32_t i = 0; i < called; ++i) {
        leaves.insert(table.holders(SearcherId{i})[0]);
    }
    std::printf("holders %u %u %.0f %zu %zu %zu %zu\n",
                daemonCount,
                searchers,
                build / 1000,
                most,
                leaves.size(),
                mapBytes,
                tableBytes);
}

} // namespace

} // namespace sassafrasvane

int main()
{
    using namespace sassafrasvane;
    std::printf("# frames: name, calls or hits, bytes, encode ns, decode ns\n");
    for (const std::uint32_t calls : {1U, 4U, 8U, 85U, 850U}) {
        printFrame("request", calls, requestOf(calls));
    }
    for (const std::uint32_t hits : {0U, 1U, hitsOfPart, 100U}) {
        printFrame("reply", hits, replyOf(hits));
    }
    const std::array<PartId, 1> part{PartId{1000}};
    const std::string query(queryBytes, 'q');
    std::printf("searchbody 1 %zu\n", writeSearchBody({IndexVersion{100'000}, part, query, hitsOfPart}).size());
    std::printf("# querymemory: parts, heap bytes of a query whose calls are all open\n");
    for (const std::uint32_t parts : {30U, 300U, 1700U}) {
        printQueryMemory(parts);
    }
    std::printf("# holders: daemons, searchers, build us, most searchers of a daemon, leaves of a query, map bytes, "
                "table bytes\n");
    printHolders(8, 45, 45);
    printHolders(50, 300, 243);
    printHolders(150, 750, 607);
    printHolders(420, 2100, 1700);
    return 0;
}
