#include "placementtrial.h"

#include <cstdio>
#include <cstdlib>

/// \file
/// Compares rules for the choice of a searcher in virtual time. Usage: placement_trial [SEEDS [VMS...]]
/// Prints one row per fleet size, load, age of the news and rule: the means over the seeds.

using namespace sassafrasvane;
using namespace sassafrasvane::placementtrial;
using namespace std::chrono_literals;

namespace
{

struct NamedRule {
    const char *name;
    Rule rule;
    bool hasWorkTime;
};

constexpr std::array<NamedRule, 4> rules{NamedRule{"time left", Rule::Pool, true},
                                         NamedRule{"time left, no work time", Rule::Pool, false},
                                         NamedRule{"cost only", Rule::PoolWithoutTime, true},
                                         NamedRule{"two random", Rule::TwoRandom, true}};

Measures mean(const Setup &setup, std::uint64_t seeds)
{
    Measures sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Setup seeded = setup;
        seeded.seed = seed;
        const Measures measures = Trial(seeded).run();
        const double weight = 1 / static_cast<double>(seeds);
        sum.largestOverMean += measures.largestOverMean * weight;
        sum.avoidableWaitMs += measures.avoidableWaitMs * weight;
        sum.partP50Ms += measures.partP50Ms * weight;
        sum.partP99Ms += measures.partP99Ms * weight;
        sum.inTimeShare += measures.inTimeShare * weight;
        sum.localShare += measures.localShare * weight;
        sum.localFirstShare += measures.localFirstShare * weight;
        sum.hedgeShare += measures.hedgeShare * weight;
    }
    return sum;
}

void print(const Setup &setup, const char *rule, const Measures &measures)
{
    std::printf("| %zu | %.2f | %.0f | %s | %.2f | %.2f | %.1f | %.0f | %.4f | %.3f | %.3f | %.3f |\n",
                setup.vms,
                setup.load,
                toMilliseconds(setup.newsAge),
                rule,
                measures.largestOverMean,
                measures.avoidableWaitMs,
                measures.partP50Ms,
                measures.partP99Ms,
                measures.inTimeShare,
                measures.localShare,
                measures.localFirstShare,
                measures.hedgeShare);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 3;
    std::vector<std::size_t> fleets;
    for (int argument = 2; argument < argc; ++argument) {
        fleets.push_back(std::strtoul(argv[argument], nullptr, 10));
    }
    if (fleets.empty()) {
        fleets = {8, 12, 33, 79, 300, 420};
    }
    std::puts("| VMs | load | news ms | rule | largest/mean | avoidable wait ms | p50 ms | p99 ms | in time | local | "
              "local first | hedges |\n|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (const std::size_t vms : fleets) {
        for (const double load : {0.2, 0.5, 0.7}) {
            for (const Duration newsAge : {0ms, 50ms, 500ms}) {
                for (const NamedRule &rule : rules) {
                    Setup setup;
                    setup.vms = vms;
                    setup.load = load;
                    setup.newsAge = newsAge;
                    setup.rule = rule.rule;
                    setup.hasWorkTime = rule.hasWorkTime;
                    print(setup, rule.name, mean(setup, seeds));
                }
            }
        }
    }
    return 0;
}
