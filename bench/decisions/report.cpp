#include "report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace sassafrasvane
{

namespace
{

double quantile(std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const std::size_t index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return quantile(values, 0.5);
}

} // namespace

Figures figuresOf(std::span<const QueryRecord> records, const std::function<bool(const QueryRecord &)> &isWanted)
{
    std::vector<double> latencies;
    std::vector<double> coverages;
    std::size_t needed = 0;
    std::size_t extra = 0;
    std::size_t refused = 0;
    double coverage = 0;
    for (const QueryRecord &record : records) {
        if (isWanted(record) && record.isRefused) {
            ++refused;
        } else if (isWanted(record)) {
            latencies.push_back(toMilliseconds(record.latency));
            coverages.push_back(record.coverage);
            coverage += record.coverage;
            needed += record.needed;
            extra += record.extra;
        }
    }
    std::sort(latencies.begin(), latencies.end());
    std::sort(coverages.begin(), coverages.end());
    const double count = std::max<double>(1, static_cast<double>(latencies.size()));
    Figures figures;
    figures.queries = latencies.size();
    figures.refused = static_cast<double>(refused) / std::max(1.0, static_cast<double>(refused + latencies.size()));
    figures.p50 = quantile(latencies, 0.5);
    figures.p99 = quantile(latencies, 0.99);
    figures.p999 = quantile(latencies, 0.999);
    figures.meanCoverage = coverage / count;
    figures.coverageP1 = quantile(coverages, 0.01);
    figures.extraLoad = needed == 0 ? 0 : static_cast<double>(extra) / static_cast<double>(needed);
    return figures;
}

void Report::add(const std::string &scenario,
                 const std::string &measure,
                 const std::string &target,
                 double ours,
                 double baseline,
                 bool isReached)
{
    auto row = std::find_if(rows_.begin(), rows_.end(), [&](const Row &known) {
        return known.scenario == scenario && known.measure == measure;
    });
    if (row == rows_.end()) {
        rows_.push_back({scenario, measure, target, {}, {}, true});
        row = rows_.end() - 1;
    }
    row->ours.push_back(ours);
    if (baseline >= 0) {
        row->baseline.push_back(baseline);
    }
    row->isReached = row->isReached && isReached;
}

void Report::addFigures(const std::string &scenario, const Figures &ours, const Figures &baseline)
{
    add(scenario, "p50 ms", "", ours.p50, baseline.p50, true);
    add(scenario, "p99 ms", "", ours.p99, baseline.p99, true);
    add(scenario, "p99.9 ms", "", ours.p999, baseline.p999, true);
    add(scenario, "coverage mean", "", ours.meanCoverage, baseline.meanCoverage, true);
    add(scenario, "coverage p1", "", ours.coverageP1, baseline.coverageP1, true);
    add(scenario, "extra load", "", ours.extraLoad, baseline.extraLoad, true);
    add(scenario, "refused at the entry", "", ours.refused, baseline.refused, true);
}

void Report::printTable() const
{
    std::printf(
        "%-44s %-30s %10s %10s %10s %10s  %s\n", "scenario", "measure", "ours", "least", "most", "baseline", "target");
    for (const Row &row : rows_) {
        const auto [least, most] = std::minmax_element(row.ours.begin(), row.ours.end());
        std::printf("%-44s %-30s %10.4g %10.4g %10.4g ",
                    row.scenario.c_str(),
                    row.measure.c_str(),
                    median(row.ours),
                    *least,
                    *most);
        if (row.baseline.empty()) {
            std::printf("%10s", "-");
        } else {
            std::printf("%10.4g", median(row.baseline));
        }
        const char *verdict = row.target.empty() ? "" : row.isReached ? " reached" : " NOT REACHED";
        std::printf("  %s%s\n", row.target.c_str(), verdict);
    }
}

bool Report::writeJson(const std::string &path) const
{
    nlohmann::json json = nlohmann::json::array();
    for (const Row &row : rows_) {
        nlohmann::json entry{
            {"scenario", row.scenario}, {"measure", row.measure}, {"ours", row.ours}, {"baseline", row.baseline}};
        if (!row.target.empty()) {
            entry["target"] = row.target;
            entry["reached"] = row.isReached;
        }
        json.push_back(std::move(entry));
    }
    std::ofstream file(path);
    file << json.dump(2) << '\n';
    return file.good();
}

} // namespace sassafrasvane
