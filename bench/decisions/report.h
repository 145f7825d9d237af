#pragma once

#include "tier.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

/// \file
/// Figures of runs, as a table, as JSON and as curves over time.

namespace sassafrasvane
{

/// What a set of queries came to.
struct Figures {
    /// Queries that were answered.
    std::size_t queries = 0;
    /// Share of the queries that were refused at the entry.
    double refused = 0;
    /// Milliseconds.
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double meanCoverage = 0;
    /// Coverage that 99 in 100 answers reach.
    double coverageP1 = 0;
    /// Extra calls over needed calls.
    double extraLoad = 0;
};

/// The figures of the records for which \p isWanted.
Figures figuresOf(std::span<const QueryRecord> records, const std::function<bool(const QueryRecord &)> &isWanted);

/// One figure of one scenario, per seed.
struct Row {
    std::string scenario;
    std::string measure;
    /// What it is held against; empty if it is only reported.
    std::string target;
    std::vector<double> ours;
    std::vector<double> baseline;
    /// False if any seed missed the target.
    bool isReached = true;
};

/// Collects rows; figures of the same scenario and measure are joined.
class Report
{
public:
    /// Adds the figure of one seed. \param baseline negative if there is none.
    void add(const std::string &scenario,
             const std::string &measure,
             const std::string &target,
             double ours,
             double baseline,
             bool isReached);

    /// Adds latency, coverage, extra load and refusals, reported only.
    void addFigures(const std::string &scenario, const Figures &ours, const Figures &baseline);

    /// Prints the median and the worst seed's figure of each row.
    void printTable() const;

    /// Writes all figures to \p path. \return false if that fails.
    bool writeJson(const std::string &path) const;

private:
    std::vector<Row> rows_;
};

/// A time at which something is changed, for a curve.
struct CurveMark {
    double seconds = 0;
    std::string text;
};

/// Writes latency, coverage and extra load over time, ours against the baseline, to \p path as SVG.
bool writeCurves(const std::string &path,
                 const std::string &title,
                 std::span<const QueryRecord> ours,
                 std::span<const QueryRecord> baseline,
                 TimePoint start,
                 std::span<const CurveMark> marks);

} // namespace sassafrasvane
