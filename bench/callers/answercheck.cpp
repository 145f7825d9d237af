#include "answercheck.h"

#include "searchresult.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sassafrasvane
{

namespace
{

constexpr double tolerance = 1e-9;

std::vector<StandinHit> hitsOf(const nlohmann::json &answer)
{
    std::vector<StandinHit> hits;
    for (const nlohmann::json &hit : answer.at("hits")) {
        hits.push_back(
            {hit.at("key").get<std::uint64_t>(), hit.at("score").get<double>(), hit.at("body").get<std::string>()});
    }
    return hits;
}

bool isBetter(const StandinHit &left, const StandinHit &right)
{
    return left.score != right.score ? left.score > right.score : left.key < right.key;
}

} // namespace

std::string faultOf(const BackEndMap &map, const AskedQuery &asked, const nlohmann::json &answer)
{
    const IndexMap *index = map.find(IndexVersion{answer.at("snapshot").get<std::uint64_t>()});
    if (index == nullptr) {
        return "the snapshot is not published";
    }
    std::set<std::uint32_t> missed;
    for (const nlohmann::json &part : answer.at("missed")) {
        missed.insert(part.at("part").get<std::uint32_t>());
    }
    std::uint64_t covered = 0;
    std::vector<StandinHit> expected;
    for (const Part &part : index->parts) {
        if (!missed.contains(part.id.value)) {
            covered += part.width();
            std::vector<StandinHit> hits
                = searchResult(index->version.value, part.begin, part.end, asked.query, asked.limit);
            expected.insert(expected.end(), hits.begin(), hits.end());
        }
    }
    std::sort(expected.begin(), expected.end(), isBetter);
    expected.resize(std::min(expected.size(), asked.limit));
    const double coverage = static_cast<double>(covered) / static_cast<double>(index->width);
    if (std::abs(coverage - answer.at("coverage").get<double>()) > tolerance) {
        return "the coverage is not that of the parts that are not missed";
    }
    if (hitsOf(answer) != expected) {
        return "the hits are not those of the covered parts of the snapshot";
    }
    return {};
}

} // namespace sassafrasvane
