#include "searchoracle.h"

#include "base/random.h"

#include <algorithm>
#include <cmath>

namespace sassafrasvane
{

namespace
{

constexpr std::uint64_t keysPerHit = 3;
constexpr double coverageTolerance = 1e-9;

std::string bodyOf(IndexVersion version, CallerQueryId query, std::uint64_t key)
{
    return "v" + std::to_string(version.value) + "/q" + std::to_string(query) + "/k" + std::to_string(key);
}

bool isBefore(const Hit &left, const Hit &right)
{
    return left.score != right.score ? left.score > right.score : left.key < right.key;
}

std::set<PartId> missedParts(const QueryAnswer &answer)
{
    std::set<PartId> parts;
    for (const MissedPart &missed : answer.missed) {
        parts.insert(missed.part);
    }
    return parts;
}

} // namespace

std::vector<Hit> rightHits(IndexVersion version, std::uint64_t begin, std::uint64_t end, CallerQueryId query)
{
    std::vector<Hit> hits;
    for (std::uint64_t key = begin; key < end; ++key) {
        const std::uint64_t hash = mix(mix(version.value, query), key);
        if (hash % keysPerHit == 0) {
            hits.push_back({key, static_cast<double>((hash >> 32U) % 100), bodyOf(version, query, key)});
        }
    }
    std::sort(hits.begin(), hits.end(), isBefore);
    return hits;
}

void SearchOracle::asked(CallerQueryId query, std::size_t hitLimit)
{
    asked_[query].hitLimit = hitLimit;
}

void SearchOracle::published(const IndexMap &index)
{
    versions_[index.version] = index;
}

void SearchOracle::delivered(CallerQueryId query, IndexVersion version, PartId part)
{
    asked_.at(query).delivered.emplace(version, part);
}

void SearchOracle::ran(CallerQueryId query)
{
    Asked &asked = asked_.at(query);
    asked.hasRun = true;
    checkNotRun(asked);
}

void SearchOracle::answered(CallerQueryId query, const QueryAnswer &answer)
{
    Asked &asked = asked_.at(query);
    ++asked.answers;
    verdicts_->require(Property::EachCallerGetsItsOwnWholeAnswer, asked.answers == 1, "a caller was answered twice");
    asked.isToldNotRun = answer.coveredParts == 0 && answer.sentCalls == 0;
    checkNotRun(asked);
    checkSnapshot(query, answer);
    const auto index = versions_.find(answer.version);
    if (index == versions_.end()) {
        verdicts_->require(Property::ReportedCoverageIsTheCoverageItHas,
                           answer.coverage == 0 && answer.coveredParts == 0 && answer.hits.empty(),
                           "an answer without a version claims coverage");
        return;
    }
    checkCoverage(query, answer, index->second);
    checkHits(query, answer, index->second);
}

void SearchOracle::abandoned(CallerQueryId query)
{
    asked_.at(query).isAbandoned = true;
}

void SearchOracle::finished()
{
    for (const auto &[query, asked] : asked_) {
        verdicts_->require(Property::EachCallerGetsItsOwnWholeAnswer,
                           asked.isAbandoned || asked.answers == 1,
                           "query " + std::to_string(query) + " was never answered");
    }
}

void SearchOracle::checkSnapshot(CallerQueryId query, const QueryAnswer &answer)
{
    const std::string prefix = "v" + std::to_string(answer.version.value) + "/";
    for (const Hit &hit : answer.hits) {
        verdicts_->require(Property::EveryAnswerComesFromOneSnapshot,
                           hit.body.starts_with(prefix),
                           "answer of " + prefix + " to query " + std::to_string(query) + " holds " + hit.body);
    }
}

void SearchOracle::checkCoverage(CallerQueryId query, const QueryAnswer &answer, const IndexMap &index)
{
    const std::set<PartId> missed = missedParts(answer);
    const Asked &asked = asked_.at(query);
    std::uint64_t coveredWidth = 0;
    std::size_t covered = 0;
    bool isAllDelivered = true;
    for (const Part &part : index.parts) {
        if (missed.contains(part.id)) {
            continue;
        }
        ++covered;
        coveredWidth += part.width();
        isAllDelivered = isAllDelivered && asked.delivered.contains({index.version, part.id});
    }
    const double coverage = static_cast<double>(coveredWidth) / static_cast<double>(index.width);
    const bool isHonest = missed.size() == answer.missed.size() && answer.coveredParts == covered
        && answer.totalParts == index.parts.size() && std::abs(answer.coverage - coverage) < coverageTolerance;
    verdicts_->require(Property::ReportedCoverageIsTheCoverageItHas,
                       isHonest,
                       "query " + std::to_string(query) + " reports " + std::to_string(answer.coverage) + " and "
                           + std::to_string(answer.coveredParts) + " parts, but has " + std::to_string(coverage)
                           + " and " + std::to_string(covered));
    verdicts_->require(Property::ReportedCoverageIsTheCoverageItHas,
                       isAllDelivered,
                       "query " + std::to_string(query) + " counts a part that no server returned");
}

// The answer must hold the best hits of exactly the parts that it says it covers.
void SearchOracle::checkHits(CallerQueryId query, const QueryAnswer &answer, const IndexMap &index)
{
    const std::set<PartId> missed = missedParts(answer);
    std::vector<Hit> right;
    for (const Part &part : index.parts) {
        if (!missed.contains(part.id)) {
            const std::vector<Hit> hits = rightHits(index.version, part.begin, part.end, query);
            right.insert(right.end(), hits.begin(), hits.end());
        }
    }
    std::sort(right.begin(), right.end(), isBefore);
    right.resize(std::min(right.size(), asked_.at(query).hitLimit));
    const bool isSame = std::equal(
        right.begin(), right.end(), answer.hits.begin(), answer.hits.end(), [](const Hit &left, const Hit &other) {
            return left.key == other.key && left.score == other.score && left.body == other.body;
        });
    verdicts_->require(Property::EachCallerGetsItsOwnWholeAnswer,
                       isSame,
                       "query " + std::to_string(query) + " got " + std::to_string(answer.hits.size())
                           + " hits that are not the best " + std::to_string(right.size()) + " of its parts");
}

void SearchOracle::checkNotRun(const Asked &asked)
{
    verdicts_->require(Property::NotRunMeansNotRun,
                       !(asked.isToldNotRun && asked.hasRun),
                       "a search that its caller was told did not run has run");
}

} // namespace sassafrasvane
