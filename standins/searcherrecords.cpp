#include "searcherrecords.h"

namespace sassafrasvane
{

namespace
{

nlohmann::json agoMs(TimePoint now, std::optional<TimePoint> at)
{
    return at ? nlohmann::json(toMilliseconds(now - *at)) : nlohmann::json();
}

} // namespace

nlohmann::json SearcherRecords::toJson(TimePoint now) const
{
    return {{"arrived", arrived},
            {"searchesArrived", searchesArrived},
            {"searchesRun", searchesRun},
            {"cancelled", cancelled},
            {"deadlinePassed", deadlinePassed},
            {"runningPeak", runningPeak},
            {"coldRunningPeak", coldRunningPeak},
            {"coldExcess", coldExcess},
            {"connectionsOpened", connectionsOpened},
            {"crashes", crashes},
            {"restarts", restarts},
            {"refused", refused},
            {"runs", runs},
            {"lastArrivalAgoMs", agoMs(now, lastArrivalAt)},
            {"drainingForMs", agoMs(now, drainingSince)},
            {"arrivedWhileDraining", arrivedWhileDraining},
            {"lastArrivalAfterDrainMs", toMilliseconds(lastArrivalAfterDrain)}};
}

} // namespace sassafrasvane
