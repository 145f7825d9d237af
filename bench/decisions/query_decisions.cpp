/// \file
/// Measures the query decisions against the plain baseline in virtual time.
/// Usage: query_decisions [SEEDS [SCENARIO [OUTPUT FOLDER]]]; SCENARIO is one of the names below or "all".

#include "scenarios.h"

#include <cstdio>
#include <cstdlib>
#include <span>
#include <string_view>

int main(int argc, char **argv)
{
    using namespace sassafrasvane;
    const std::span<char *> arguments(argv, static_cast<std::size_t>(argc));
    const std::uint64_t seeds = arguments.size() > 1 ? std::strtoull(arguments[1], nullptr, 10) : 3;
    const std::string wanted = arguments.size() > 2 ? arguments[2] : "all";
    const std::string folder = arguments.size() > 3 ? arguments[3] : "";
    const auto isWanted = [&wanted](std::string_view name) { return wanted == "all" || wanted == name; };
    Report report;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        if (isWanted("slow")) {
            runSlowSearcher(seed, report);
        }
        if (isWanted("stragglers")) {
            runStragglers(seed, report);
        }
        if (isWanted("lost")) {
            runLostReplica(seed, report);
        }
        if (isWanted("cold")) {
            runColdServer(seed, report);
        }
        if (isWanted("overload")) {
            runOverload(seed, report);
        }
        if (isWanted("domain")) {
            runDomainMove(seed, report, folder);
        }
    }
    report.printTable();
    if (!folder.empty() && !report.writeJson(folder + "/query-decisions.json")) {
        std::fprintf(stderr, "cannot write to %s\n", folder.c_str());
        return 1;
    }
    return 0;
}
