#pragma once

#include "fanout/messages.h"
#include "shardmap/shardmap.h"
#include "verdicts.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// The right answers to searches, computed from what was asked, delivered and run alone.

namespace sassafrasvane
{

/// A query of a caller, numbered over all daemons and lives.
using CallerQueryId = std::uint64_t;

/// The hits of \p query among the keys [\p begin, \p end) of \p version, best first. Each body names all three.
std::vector<Hit> rightHits(IndexVersion version, std::uint64_t begin, std::uint64_t end, CallerQueryId query);

/// Checks answers to callers against what servers returned for their queries.
class SearchOracle
{
public:
    explicit SearchOracle(Verdicts &verdicts) noexcept : verdicts_(&verdicts) { }

    /// A caller asked for at most \p hitLimit hits.
    void asked(CallerQueryId query, std::size_t hitLimit);

    /// A version with its parts was made.
    void published(const IndexMap &index);

    /// A server's answer with \p part of \p version reached the daemon that serves \p query.
    void delivered(CallerQueryId query, IndexVersion version, PartId part);

    /// A server began to run a call of \p query.
    void ran(CallerQueryId query);

    /// The caller of \p query was answered.
    void answered(CallerQueryId query, const QueryAnswer &answer);

    /// The caller of \p query lost its daemon and is owed no answer.
    void abandoned(CallerQueryId query);

    /// All deadlines have passed and all messages arrived.
    void finished();

private:
    struct Asked {
        std::size_t hitLimit = 0;
        std::set<std::pair<IndexVersion, PartId>> delivered;
        std::uint32_t answers = 0;
        bool isAbandoned = false;
        /// The caller was told that nothing ran.
        bool isToldNotRun = false;
        bool hasRun = false;
    };

    void checkSnapshot(CallerQueryId query, const QueryAnswer &answer);
    void checkCoverage(CallerQueryId query, const QueryAnswer &answer, const IndexMap &index);
    void checkHits(CallerQueryId query, const QueryAnswer &answer, const IndexMap &index);
    void checkNotRun(const Asked &asked);

    Verdicts *verdicts_;
    std::map<CallerQueryId, Asked> asked_;
    std::map<IndexVersion, IndexMap> versions_;
};

} // namespace sassafrasvane
