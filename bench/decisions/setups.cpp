#include "setups.h"

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Load of the back ends while nothing goes wrong, as a share of their capacity.
constexpr double usualLoad = 0.3;

void addClass(TierSetup &setup,
              const std::string &name,
              const BackEndSetup &backEnd,
              const ClassTarget &target,
              GivesWay givesWay)
{
    setup.backEnds.push_back(backEnd);
    setup.classes.push_back({name, backEnd.name, target, givesWay, usualLoad * capacity(backEnd)});
}

} // namespace

BackEndSetup searchBackEnd(const std::string &name, std::uint32_t searchers)
{
    return {name, searchers, searchers, 2, SearcherModel()};
}

BackEndSetup smallBackEnd(const std::string &name, std::uint32_t connections)
{
    SearcherModel model;
    model.slots = 6;
    model.connections = connections;
    return {name, 4, 1, 4, model};
}

TierSetup thirtySearchers(std::uint64_t seed)
{
    TierSetup setup;
    setup.seed = seed;
    addClass(setup, "search", searchBackEnd("riders", 30), {100ms, 99, 0.95, 0.05}, GivesWay::Coverage);
    return setup;
}

TierSetup seventeenHundredSearchers(std::uint64_t seed)
{
    TierSetup setup;
    setup.seed = seed;
    setup.daemons = 420;
    setup.backEnds = {{"shards", 2'100, 1'700, 2, SearcherModel()}};
    // A slot serves one call at a time, so the searchers' slots bound the rate far below the target's.
    setup.classes = {{"search", "shards", {130ms, 99, 0.99, 0.05}, GivesWay::Coverage, 40}};
    return setup;
}

TierSetup trackMix(std::uint64_t seed)
{
    TierSetup setup;
    setup.seed = seed;
    addClass(setup, "session board", searchBackEnd("riders", 30), {100ms, 99, 0.95, 0.05}, GivesWay::Coverage);
    addClass(setup, "club admin", searchBackEnd("admin", 45), {200ms, 99, 0.95, 0.05}, GivesWay::Coverage);
    addClass(setup, "booking lookup", smallBackEnd("bookings", 110), {50ms, 99, 1, 0.05}, GivesWay::Coverage);
    addClass(setup, "payment lookup", smallBackEnd("payments", 110), {200ms, 99, 1, 0.05}, GivesWay::Coverage);
    return setup;
}

TierSetup guideMix(std::uint64_t seed)
{
    TierSetup setup;
    setup.seed = seed;
    addClass(setup, "counter rentals", searchBackEnd("rentals", 30), {150ms, 99, 0.99, 0.02}, GivesWay::Latency);
    addClass(setup, "refund ledger", searchBackEnd("ledger", 45), {300ms, 99, 0.99, 0.02}, GivesWay::Latency);
    addClass(setup, "narration record", smallBackEnd("catalogue", 50), {100ms, 99, 1, 0.02}, GivesWay::Latency);
    addClass(setup, "group booking", smallBackEnd("groups", 50), {200ms, 99, 1, 0.02}, GivesWay::Latency);
    return setup;
}

double capacity(const BackEndSetup &backEnd)
{
    // A random replica of each part: a searcher is left out if none of the parts it holds falls to it.
    const double parts = backEnd.parts;
    const double unused = backEnd.parts == 1 ? 1 - 1.0 / backEnd.searchers : 0.25;
    const double calls = backEnd.searchers * (1 - unused);
    const double busySeconds = 0.5 * (calls + parts) * std::chrono::duration<double>(backEnd.model.meanTime()).count();
    return backEnd.searchers * backEnd.model.slots / busySeconds;
}

TierSetup asBaseline(const TierSetup &setup)
{
    TierSetup baseline = setup;
    baseline.isBaseline = true;
    return baseline;
}

} // namespace sassafrasvane
