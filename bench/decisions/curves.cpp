#include "report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace sassafrasvane
{

namespace
{

constexpr double plotWidth = 860;
constexpr double plotHeight = 150;
constexpr double leftMargin = 70;
constexpr double topMargin = 40;
constexpr double panelGap = 45;

/// The figures of each second of a run.
using Seconds = std::vector<Figures>;

/// One panel: a figure of every second.
struct Panel {
    const char *title = "";
    double (*value)(const Figures &) = nullptr;
    double least = 0;
};

constexpr std::array<Panel, 3> panels{{
    {"p99 latency, ms", [](const Figures &figures) { return figures.p99; }, 0},
    {"mean coverage", [](const Figures &figures) { return figures.meanCoverage; }, 1},
    {"extra load", [](const Figures &figures) { return figures.extraLoad; }, 0},
}};

Seconds secondsOf(std::span<const QueryRecord> records, TimePoint start)
{
    std::vector<std::vector<QueryRecord>> buckets;
    for (const QueryRecord &record : records) {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(record.startedAt - start).count();
        if (second >= 0) {
            buckets.resize(std::max(buckets.size(), static_cast<std::size_t>(second) + 1));
            buckets[static_cast<std::size_t>(second)].push_back(record);
        }
    }
    Seconds seconds;
    seconds.reserve(buckets.size());
    for (const std::vector<QueryRecord> &bucket : buckets) {
        seconds.push_back(figuresOf(bucket, [](const QueryRecord &) { return true; }));
    }
    return seconds;
}

/// Draws one panel with both curves.
class PanelWriter
{
public:
    PanelWriter(std::ostream &out, const Panel &panel, double top, std::size_t seconds)
        : out_(out), panel_(panel), top_(top), seconds_(seconds)
    {
    }

    void draw(const Seconds &ours, const Seconds &baseline, std::span<const CurveMark> marks)
    {
        findRange(ours);
        findRange(baseline);
        out_ << "<text x='" << leftMargin << "' y='" << top_ - 6 << "'>" << panel_.title << "</text>\n"
             << "<rect x='" << leftMargin << "' y='" << top_ << "' width='" << plotWidth << "' height='" << plotHeight
             << "' fill='none' stroke='#999'/>\n";
        label(least_);
        label(most_);
        for (const CurveMark &mark : marks) {
            const double x = xOf(mark.seconds);
            out_ << "<line x1='" << x << "' x2='" << x << "' y1='" << top_ << "' y2='" << top_ + plotHeight
                 << "' stroke='#c00' stroke-dasharray='4'/>\n<text x='" << x + 3 << "' y='" << top_ + 12
                 << "' fill='#c00'>" << mark.text << "</text>\n";
        }
        curve(baseline, "#888");
        curve(ours, "#06c");
    }

private:
    void findRange(const Seconds &values)
    {
        for (const Figures &figures : values) {
            least_ = std::min(least_, panel_.value(figures));
            most_ = std::max(most_, panel_.value(figures));
        }
    }

    double xOf(double second) const { return leftMargin + plotWidth * second / static_cast<double>(seconds_); }

    double yOf(double value) const
    {
        const double range = std::max(most_ - least_, 1e-9);
        return top_ + plotHeight * (1 - (value - least_) / range);
    }

    void label(double value)
    {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.3g", value);
        out_ << "<text x='8' y='" << yOf(value) + 4 << "'>" << text.data() << "</text>\n";
    }

    void curve(const Seconds &values, const char *colour)
    {
        out_ << "<polyline fill='none' stroke-width='1.5' stroke='" << colour << "' points='";
        for (std::size_t i = 0; i < values.size(); ++i) {
            out_ << xOf(static_cast<double>(i) + 0.5) << ',' << yOf(panel_.value(values[i])) << ' ';
        }
        out_ << "'/>\n";
    }

    std::ostream &out_;
    const Panel &panel_;
    double top_;
    std::size_t seconds_;
    double least_ = panel_.least;
    double most_ = panel_.least;
};

} // namespace

bool writeCurves(const std::string &path,
                 const std::string &title,
                 std::span<const QueryRecord> ours,
                 std::span<const QueryRecord> baseline,
                 TimePoint start,
                 std::span<const CurveMark> marks)
{
    const Seconds oursBySecond = secondsOf(ours, start);
    const Seconds baselineBySecond = secondsOf(baseline, start);
    const double height = topMargin + panels.size() * (plotHeight + panelGap);
    std::ofstream out(path);
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << leftMargin + plotWidth + 20 << "' height='" << height
        << "' font-family='sans-serif' font-size='11'>\n<rect width='100%' height='100%' fill='#fff'/>\n<text x='"
        << leftMargin << "' y='16' font-size='13'>" << title
        << " (blue: with the decisions, grey: baseline; by second of the run)</text>\n";
    double top = topMargin;
    for (const Panel &panel : panels) {
        PanelWriter(out, panel, top, oursBySecond.size()).draw(oursBySecond, baselineBySecond, marks);
        top += plotHeight + panelGap;
    }
    out << "</svg>\n";
    return out.good();
}

} // namespace sassafrasvane
