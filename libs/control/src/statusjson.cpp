#include "base/jsonnumber.h"
#include "jsonfields.h"
#include "messagesjson.h"

namespace sassafrasvane
{

namespace
{

using Json = nlohmann::json;

Json publishedJson(const PublishedStatus &value)
{
    return {{"version", value.version.value}, {"ageSeconds", value.ageSeconds}};
}

PublishedStatus readPublished(const Json &json)
{
    return {ConfigVersion{wholeNumber(json.at("version"))}, json.at("ageSeconds").get<double>()};
}

Json peerJson(const PeerStatus &peer)
{
    return {{"address", peer.address.toString()}, {"failureDomain", peer.failureDomain}, {"state", peer.state}};
}

PeerStatus readPeer(const Json &json)
{
    return {detail::addressAt(json, "address"),
            json.at("failureDomain").get<std::string>(),
            json.at("state").get<std::string>()};
}

Json searcherJson(const SearcherStatus &searcher)
{
    return {{"id", searcher.id.value},
            {"address", searcher.address.toString()},
            {"backEnd", searcher.backEnd},
            {"failureDomain", searcher.failureDomain},
            {"cold", searcher.isCold},
            {"running", searcher.running},
            {"waiting", searcher.waiting},
            {"allowance", searcher.allowance}};
}

SearcherStatus readSearcher(const Json &json)
{
    SearcherStatus searcher;
    searcher.id = SearcherId{wholeNumber<std::uint32_t>(json.at("id"))};
    searcher.address = detail::addressAt(json, "address");
    json.at("backEnd").get_to(searcher.backEnd);
    json.at("failureDomain").get_to(searcher.failureDomain);
    json.at("cold").get_to(searcher.isCold);
    json.at("running").get_to(searcher.running);
    json.at("waiting").get_to(searcher.waiting);
    json.at("allowance").get_to(searcher.allowance);
    return searcher;
}

Json targetJson(const ClassTarget &target)
{
    return {{"latencyMs", toMilliseconds(target.latency)},
            {"percentile", target.percentile},
            {"completeness", target.completeness},
            {"extraLoad", target.extraLoad}};
}

ClassTarget readTarget(const Json &json)
{
    ClassTarget target;
    target.latency = fromMilliseconds(json.at("latencyMs").get<double>());
    json.at("percentile").get_to(target.percentile);
    json.at("completeness").get_to(target.completeness);
    json.at("extraLoad").get_to(target.extraLoad);
    return target;
}

Json refusalsJson(const std::vector<RefusalCount> &refusals)
{
    Json json = Json::array();
    for (const RefusalCount &refusal : refusals) {
        json.push_back({{"reason", name(refusal.reason)}, {"count", refusal.count}});
    }
    return json;
}

std::vector<RefusalCount> readRefusals(const Json &json)
{
    std::vector<RefusalCount> refusals;
    for (const Json &refusal : json) {
        // Names of errors begin at 1.
        for (int i = 1; i <= static_cast<int>(Errc::Internal); ++i) {
            if (refusal.at("reason") == name(static_cast<Errc>(i))) {
                refusals.push_back({static_cast<Errc>(i), wholeNumber(refusal.at("count"))});
            }
        }
    }
    return refusals;
}

Json measuredJson(const ClassSummary &measured)
{
    return {{"windowAnswers", measured.windowAnswers},
            {"p50Ms", measured.p50Ms},
            {"p99Ms", measured.p99Ms},
            {"p999Ms", measured.p999Ms},
            {"meanMs", measured.meanMs},
            {"coverageMean", measured.coverageMean},
            {"coverageP1", measured.coverageP1},
            {"coverageLeast", measured.coverageLeast},
            {"extraLoad", measured.extraLoad},
            {"answers", measured.answers},
            {"latencySumMs", measured.latencySumMs},
            {"sentCalls", measured.sentCalls},
            {"neededCalls", measured.neededCalls},
            {"refusals", refusalsJson(measured.refusals)}};
}

ClassSummary readMeasured(const Json &json)
{
    ClassSummary measured;
    json.at("windowAnswers").get_to(measured.windowAnswers);
    json.at("p50Ms").get_to(measured.p50Ms);
    json.at("p99Ms").get_to(measured.p99Ms);
    json.at("p999Ms").get_to(measured.p999Ms);
    json.at("meanMs").get_to(measured.meanMs);
    json.at("coverageMean").get_to(measured.coverageMean);
    json.at("coverageP1").get_to(measured.coverageP1);
    json.at("coverageLeast").get_to(measured.coverageLeast);
    json.at("extraLoad").get_to(measured.extraLoad);
    json.at("answers").get_to(measured.answers);
    json.at("latencySumMs").get_to(measured.latencySumMs);
    json.at("sentCalls").get_to(measured.sentCalls);
    json.at("neededCalls").get_to(measured.neededCalls);
    measured.refusals = readRefusals(json.at("refusals"));
    return measured;
}

Json classJson(const ClassStatus &cls)
{
    return {{"name", cls.measured.name},
            {"target", targetJson(cls.target)},
            {"measured", measuredJson(cls.measured)},
            {"conflict", cls.conflict}};
}

ClassStatus readClass(const Json &json)
{
    ClassStatus cls;
    cls.target = readTarget(json.at("target"));
    cls.measured = readMeasured(json.at("measured"));
    json.at("name").get_to(cls.measured.name);
    json.at("conflict").get_to(cls.conflict);
    return cls;
}

template<typename T, typename Write>
Json listJson(const std::vector<T> &items, const Write &write)
{
    Json json = Json::array();
    for (const T &item : items) {
        json.push_back(write(item));
    }
    return json;
}

template<typename T, typename Read>
void readList(const Json &json, std::vector<T> &items, const Read &read)
{
    for (const Json &item : json) {
        items.push_back(read(item));
    }
}

} // namespace

void to_json(nlohmann::json &json, const DaemonStatus &status)
{
    json = {{"id", status.id.toString()},
            {"incarnation", status.incarnation.value},
            {"program", status.program},
            {"failureDomain", status.failureDomain},
            {"region", status.region},
            {"phase", name(status.phase)},
            {"uptimeSeconds", status.uptimeSeconds},
            {"configuration", publishedJson(status.configuration)},
            {"shardMap", publishedJson(status.shardMap)},
            {"vms", publishedJson(status.vms)},
            {"domainsOut", status.domainsOut},
            {"barredRequests", status.barredRequests},
            {"peers", listJson(status.peers, peerJson)},
            {"searchers", listJson(status.searchers, searcherJson)},
            {"classes", listJson(status.classes, classJson)}};
}

void from_json(const nlohmann::json &json, DaemonStatus &status)
{
    status.id = detail::addressAt(json, "id");
    status.incarnation.value = wholeNumber(json.at("incarnation"));
    json.at("program").get_to(status.program);
    json.at("failureDomain").get_to(status.failureDomain);
    json.at("region").get_to(status.region);
    status.phase = detail::enumAt(json, "phase", DaemonPhase::Stopped);
    json.at("uptimeSeconds").get_to(status.uptimeSeconds);
    status.configuration = readPublished(json.at("configuration"));
    status.shardMap = readPublished(json.at("shardMap"));
    status.vms = readPublished(json.at("vms"));
    json.at("domainsOut").get_to(status.domainsOut);
    json.at("barredRequests").get_to(status.barredRequests);
    readList(json.at("peers"), status.peers, readPeer);
    readList(json.at("searchers"), status.searchers, readSearcher);
    readList(json.at("classes"), status.classes, readClass);
}

} // namespace sassafrasvane
