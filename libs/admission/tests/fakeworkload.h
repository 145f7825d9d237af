#pragma once

#include "admission/classcontroller.h"
#include "admission/extraloadbudget.h"
#include "base/random.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace sassafrasvane
{

/// Latency distribution of the servers that a query calls.
struct FakeServers {
    std::size_t parts = 30;
    Duration base{0};
    /// Mean of the exponentially distributed part that is added to base.
    Duration spread{0};
    /// Fraction of calls that are stragglers, and how many times slower these are.
    double stragglers = 0;
    double slowness = 1;
    /// Parts that no server holds.
    std::size_t lostParts = 0;
    /// Time spent on each query outside of its calls.
    Duration overhead{0};
};

/// Simulates queries with the bounds of a controller and reports their measurements to it.
class FakeWorkload
{
public:
    FakeWorkload(const FakeServers &servers, double extraLoad, std::uint64_t seed)
        : servers_(servers), budget_(extraLoad), random_(seed)
    {
    }

    void setServers(const FakeServers &servers) { servers_ = servers; }

    QuerySample run(ClassController &controller)
    {
        const QueryBounds bounds = controller.bounds();
        QuerySample sample;
        sample.neededCalls = servers_.parts - servers_.lostParts;
        sample.reachableShare = static_cast<double>(sample.neededCalls) / static_cast<double>(servers_.parts);
        budget_.onNeeded(sample.neededCalls);
        std::vector<Duration> ends;
        for (std::size_t i = 0; i < sample.neededCalls; ++i) {
            const Duration first = latency();
            Duration end = first;
            if (first > bounds.hedgeDelay && bounds.hedgeDelay < bounds.deadline && budget_.spend(TimePoint())) {
                ++sample.extraCalls;
                end = std::min(first, bounds.hedgeDelay + latency());
            }
            controller.onCall(std::min({first, end, bounds.deadline}));
            ends.push_back(end);
        }
        std::sort(ends.begin(), ends.end());
        finish(bounds, ends, sample);
        controller.onQuery(sample);
        return sample;
    }

private:
    Duration latency()
    {
        const double exponential = -std::log(1 - random_.unit()) * static_cast<double>(servers_.spread.count());
        const double factor = random_.chance(servers_.stragglers) ? servers_.slowness : 1;
        return Duration(
            static_cast<Duration::rep>((static_cast<double>(servers_.base.count()) + exponential) * factor));
    }

    void finish(const QueryBounds &bounds, const std::vector<Duration> &ends, QuerySample &sample) const
    {
        const double parts = static_cast<double>(servers_.parts);
        const std::size_t quorumParts = static_cast<std::size_t>(std::ceil(bounds.quorum * parts - 1e-9));
        Duration stop = std::min(ends.back(), bounds.deadline);
        if (quorumParts <= ends.size()) {
            stop = std::min(stop, std::max(bounds.earlyStopDelay, ends[quorumParts - 1]));
        }
        const auto covered = std::upper_bound(ends.begin(), ends.end(), stop);
        sample.coverage = static_cast<double>(covered - ends.begin()) / parts;
        sample.latency = stop + servers_.overhead;
    }

    FakeServers servers_;
    ExtraLoadBudget budget_;
    Random random_;
};

} // namespace sassafrasvane
