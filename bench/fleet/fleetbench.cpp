#include "fakefleet.h"

#include <nlohmann/json.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

/// \file
/// What control costs and how fast it is, at several sizes of the fleet, in virtual time.

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr double lossShare = 0.05;
constexpr std::size_t configurationBytes = 200'000;
constexpr std::size_t shardMapBytes = 900'000;
/// 2,300 changes a day.
constexpr Duration changePeriod = std::chrono::milliseconds(37'565);
constexpr int timedChanges = 21;

/// What one size gave.
struct Figures {
    std::size_t daemons = 0;
    double bytesPerSecond = 0;
    double worstBytesPerSecond = 0;
    double messagesPerSecond = 0;
    double peakMessages = 0;
    double cpuPercent = 0;
    double residentMegabytes = 0;
    double serviceCallsPerSecond = 0;
    double peakServiceCalls = 0;
    double medianInForceMs = 0;
    double worstInForceMs = 0;
    std::uint64_t falseDeaths = 0;
    /// The same while the regions are parted and lose datagrams within.
    std::uint64_t partitionFalseDeaths = 0;
    double daemonHours = 0;
    double joinSeconds = 0;
    double healSeconds = 0;
    double healValuesSeconds = 0;
    double healPeakBytes = 0;
    double healPeakMessages = 0;
    double partitionPeakBytes = 0;
    std::uint64_t reverts = 0;
};

/// A published text whose line \p change differs from its predecessor's.
std::string textOf(std::size_t bytes, std::uint64_t change)
{
    std::string text;
    text.reserve(bytes + 64);
    for (std::size_t line = 0; text.size() < bytes; ++line) {
        const std::uint64_t changedAt = line < change ? change - (change - line) % 1'000 : 0;
        text += "{\"line\":" + std::to_string(line) + ",\"changed\":" + std::to_string(changedAt) + "}\n";
    }
    return text;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Runs until \p isDone or \p bound. \return the time that it took.
template<typename Condition>
Duration runUntil(FakeFleet &fleet, Duration bound, Duration step, const Condition &isDone)
{
    const TimePoint start = fleet.now();
    while (fleet.now() - start < bound && !isDone()) {
        fleet.run(step);
    }
    return fleet.now() - start;
}

void publishChange(FakeFleet &fleet, std::uint64_t &change)
{
    ++change;
    fleet.publish(ConfigKey::Configuration, textOf(configurationBytes, change));
}

void measureJoin(FakeFleet &fleet, Figures &figures)
{
    fleet.publishVms();
    fleet.publish(ConfigKey::Configuration, textOf(configurationBytes, 0));
    fleet.publish(ConfigKey::ShardMap, textOf(shardMapBytes, 0));
    fleet.startAll();
    figures.joinSeconds = seconds(runUntil(fleet, 5min, 500ms, [&fleet] { return fleet.hasConverged(); }));
    figures.peakServiceCalls = static_cast<double>(fleet.counters().peakServiceCalls);
    fleet.run(1min);
}

/// Changes at the target's rate, with lost datagrams and pauses.
void measureSteadyState(FakeFleet &fleet, Figures &figures, std::uint64_t &change)
{
    constexpr int rounds = 16;
    fleet.network().loss = lossShare;
    fleet.resetCounters();
    const std::clock_t cpuStart = std::clock();
    const TimePoint start = fleet.now();
    for (int round = 0; round < rounds; ++round) {
        publishChange(fleet, change);
        const std::size_t paused = fleet.random().below(fleet.size());
        fleet.setPaused(paused, true);
        fleet.run(Duration(500'000 + fleet.random().below(2'500'000)));
        fleet.setPaused(paused, false);
        fleet.run(changePeriod - 2s);
    }
    const double elapsed = seconds(fleet.now() - start);
    const double cpu = static_cast<double>(std::clock() - cpuStart) / CLOCKS_PER_SEC;
    const double count = static_cast<double>(fleet.size());
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        const FakeTraffic &traffic = fleet.daemon(number).traffic;
        const double bytes = static_cast<double>(traffic.bytes) / elapsed;
        figures.bytesPerSecond += bytes / count;
        figures.worstBytesPerSecond = std::max(figures.worstBytesPerSecond, bytes);
        figures.messagesPerSecond += static_cast<double>(traffic.messages) / elapsed / count;
        figures.peakMessages = std::max(figures.peakMessages, static_cast<double>(traffic.peakMessages));
    }
    figures.cpuPercent = 100 * cpu / elapsed / count;
    figures.serviceCallsPerSecond = static_cast<double>(fleet.counters().serviceCalls) / elapsed;
    figures.peakServiceCalls
        = std::max(figures.peakServiceCalls, static_cast<double>(fleet.counters().peakServiceCalls));
    figures.falseDeaths = fleet.counters().falseDeaths;
    figures.daemonHours = elapsed * count / 3600;
}

void measureInForce(FakeFleet &fleet, Figures &figures, std::uint64_t &change)
{
    std::vector<double> times;
    for (int round = 0; round < timedChanges; ++round) {
        publishChange(fleet, change);
        const auto isInForce = [&fleet] { return fleet.isInForce(ConfigKey::Configuration); };
        times.push_back(1'000 * seconds(runUntil(fleet, 1min, 5ms, isInForce)));
        fleet.run(10s);
    }
    std::sort(times.begin(), times.end());
    figures.medianInForceMs = times[times.size() / 2];
    figures.worstInForceMs = times.back();
}

/// Parts the regions, changes the configuration meanwhile, and heals.
void measurePartition(FakeFleet &fleet, Figures &figures, std::uint64_t &change, Duration length)
{
    const auto isFar = [](std::size_t from, std::size_t to) { return from % 2 != to % 2; };
    fleet.resetCounters();
    fleet.network().isCut = isFar;
    fleet.network().isServiceCut = [](std::size_t number) { return number % 2 == 1; };
    const TimePoint end = fleet.now() + length;
    while (fleet.now() < end) {
        // The second region reaches no service: every change is known in the first one only.
        publishChange(fleet, change);
        fleet.run(std::min(changePeriod, end - fleet.now()));
    }
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        const double peak = static_cast<double>(fleet.daemon(number).traffic.peakBytes);
        figures.partitionPeakBytes = std::max(figures.partitionPeakBytes, peak);
    }
    figures.partitionFalseDeaths = fleet.counters().falseDeaths;
    fleet.resetCounters();
    fleet.network().isCut = nullptr;
    fleet.network().isServiceCut = nullptr;
    const auto isInForce = [&fleet] { return fleet.isInForce(ConfigKey::Configuration); };
    const TimePoint start = fleet.now();
    figures.healValuesSeconds = seconds(runUntil(fleet, 10min, 100ms, isInForce));
    runUntil(fleet, 10min, 1s, [&fleet] { return fleet.hasConverged(); });
    figures.healSeconds = seconds(fleet.now() - start);
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        const FakeTraffic &traffic = fleet.daemon(number).traffic;
        figures.healPeakBytes = std::max(figures.healPeakBytes, static_cast<double>(traffic.peakBytes));
        figures.healPeakMessages = std::max(figures.healPeakMessages, static_cast<double>(traffic.peakMessages));
    }
    figures.reverts += fleet.counters().reverts;
}

Figures measure(std::size_t daemons, Duration partition)
{
    Figures figures;
    figures.daemons = daemons;
    FakeFleet fleet(daemons, 20261204 + daemons);
    std::uint64_t change = 0;
    measureJoin(fleet, figures);
    measureSteadyState(fleet, figures, change);
    figures.reverts += fleet.counters().reverts;
    measureInForce(fleet, figures, change);
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    figures.residentMegabytes = static_cast<double>(usage.ru_maxrss) / 1024 / static_cast<double>(daemons);
    if (partition.count() > 0) {
        measurePartition(fleet, figures, change, partition);
    }
    return figures;
}

nlohmann::json toJson(const Figures &figures)
{
    return {{"daemons", figures.daemons},
            {"bytes_per_second", figures.bytesPerSecond},
            {"worst_bytes_per_second", figures.worstBytesPerSecond},
            {"messages_per_second", figures.messagesPerSecond},
            {"peak_messages_in_a_second", figures.peakMessages},
            {"cpu_percent", figures.cpuPercent},
            {"resident_megabytes", figures.residentMegabytes},
            {"service_calls_per_second", figures.serviceCallsPerSecond},
            {"peak_service_calls", figures.peakServiceCalls},
            {"in_force_median_ms", figures.medianInForceMs},
            {"in_force_worst_ms", figures.worstInForceMs},
            {"false_deaths", figures.falseDeaths},
            {"partition_false_deaths", figures.partitionFalseDeaths},
            {"daemon_hours", figures.daemonHours},
            {"join_seconds", figures.joinSeconds},
            {"heal_seconds", figures.healSeconds},
            {"heal_values_seconds", figures.healValuesSeconds},
            {"heal_peak_bytes_in_a_second", figures.healPeakBytes},
            {"heal_peak_messages_in_a_second", figures.healPeakMessages},
            {"partition_peak_bytes_in_a_second", figures.partitionPeakBytes},
            {"reverts", figures.reverts}};
}

void printRow(const Figures &figures)
{
    std::printf("%7zu %8.0f %8.0f %6.1f %7.3f %7.1f %7.1f %7.0f %8.0f %8.0f %6llu %7.1f %6.1f %7.1f %8.1f %9.0f\n",
                figures.daemons,
                figures.bytesPerSecond,
                figures.worstBytesPerSecond,
                figures.messagesPerSecond,
                figures.cpuPercent,
                figures.residentMegabytes,
                figures.serviceCallsPerSecond,
                figures.peakServiceCalls,
                figures.medianInForceMs,
                figures.worstInForceMs,
                static_cast<unsigned long long>(figures.falseDeaths),
                figures.daemonHours,
                figures.joinSeconds,
                figures.healSeconds,
                figures.healValuesSeconds,
                figures.healPeakBytes);
    std::fflush(stdout);
}

} // namespace

} // namespace sassafrasvane

/// Usage: fleet_bench [PARTITION_SECONDS [DAEMONS ...]]; 3600 and 8 50 150 420 by default.
int main(int argc, char **argv)
{
    using namespace sassafrasvane;
    const std::chrono::seconds partition(argc > 1 ? std::strtol(argv[1], nullptr, 10) : 3600);
    std::vector<std::size_t> sizes;
    for (int index = 2; index < argc; ++index) {
        sizes.push_back(std::strtoul(argv[index], nullptr, 10));
    }
    if (sizes.empty()) {
        sizes = {8, 50, 150, 420};
    }
    std::printf("daemons  bytes/s    worst  msg/s   CPU %%  MB each calls/s  peak/s  med. ms worst ms  false"
                "  dmn-h join s  heal s values s peak B/s\n");
    nlohmann::json all = nlohmann::json::array();
    for (const std::size_t size : sizes) {
        const Figures figures = measure(size, partition);
        printRow(figures);
        all.push_back(toJson(figures));
    }
    std::printf("%s\n", all.dump(2).c_str());
    return 0;
}
