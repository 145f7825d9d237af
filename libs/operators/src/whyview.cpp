#include "texttable.h"
#include "views.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <map>
#include <set>

namespace sassafrasvane
{

namespace
{

using Replies = std::vector<FromDaemon<WhyReply>>;

constexpr std::uint64_t microsPerSecond = 1'000'000;
constexpr double microsPerMilli = 1'000;

std::string attributeText(const AttributeValue &value)
{
    if (const auto *text = std::get_if<std::string>(&value)) {
        return *text;
    }
    if (const auto *whole = std::get_if<std::int64_t>(&value)) {
        return std::to_string(*whole);
    }
    if (const auto *number = std::get_if<double>(&value)) {
        return roundedText(*number);
    }
    return std::get<bool>(value) ? "yes" : "no";
}

/// Writes the spans of one trace below each other.
class SpanTree
{
public:
    explicit SpanTree(const Replies &replies)
    {
        for (const FromDaemon<WhyReply> &reply : replies) {
            for (const Span &span : reply.message.spans) {
                known_.insert(span.context.span);
                spans_.push_back({reply.daemon, &span});
            }
        }
        std::stable_sort(spans_.begin(), spans_.end(), [](const Node &a, const Node &b) {
            return a.span->startMicros < b.span->startMicros;
        });
    }

    std::string toString()
    {
        if (spans_.empty()) {
            return {};
        }
        for (const Node &node : spans_) {
            // A parent that no daemon knows, such as the caller's own span, leaves its children as roots.
            if (!known_.contains(node.span->parent)) {
                add(node, 0);
            }
        }
        return table_.toString();
    }

private:
    struct Node {
        Address daemon;
        const Span *span = nullptr;
    };

    void add(const Node &node, std::size_t depth)
    {
        // Spans that name each other as parents must not loop.
        if (!shown_.insert(node.span).second) {
            return;
        }
        const Span &span = *node.span;
        const double start
            = static_cast<double>(span.startMicros - std::min(span.startMicros, first())) / microsPerMilli;
        const double length
            = static_cast<double>(span.endMicros - std::min(span.endMicros, span.startMicros)) / microsPerMilli;
        std::string details = span.statusMessage;
        for (const SpanAttribute &attribute : span.attributes) {
            details += (details.empty() ? "" : " ") + attribute.name + '=' + attributeText(attribute.value);
        }
        table_.add({std::string(2 * depth, ' ') + span.name,
                    roundedText(start),
                    roundedText(length),
                    node.daemon.toString(),
                    span.status == SpanStatus::Error ? "error" : "ok",
                    details});
        for (const Node &child : spans_) {
            if (child.span->parent == span.context.span) {
                add(child, depth + 1);
            }
        }
    }

    std::uint64_t first() const { return spans_.front().span->startMicros; }

    std::vector<Node> spans_;
    std::set<SpanId> known_;
    std::set<const Span *> shown_;
    TextTable table_{{"SPAN", "START (ms)", "TOOK (ms)", "DAEMON", "STATUS", "DETAILS"}};
};

std::string clockText(std::uint64_t micros)
{
    const std::time_t seconds = static_cast<std::time_t>(micros / microsPerSecond);
    std::tm broken{};
    gmtime_r(&seconds, &broken);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%H:%M:%S", &broken);
    std::string fraction = std::to_string(micros % microsPerSecond / 1'000);
    return std::string(text.data()) + '.' + std::string(3 - fraction.size(), '0') + fraction;
}

std::string decisionTable(const Replies &replies)
{
    std::vector<FromDaemon<Decision>> decisions;
    for (const FromDaemon<WhyReply> &reply : replies) {
        for (const Decision &decision : reply.message.decisions) {
            decisions.push_back({reply.daemon, decision});
        }
    }
    std::stable_sort(decisions.begin(), decisions.end(), [](const auto &a, const auto &b) {
        return a.message.timeMicros < b.message.timeMicros;
    });
    TextTable table({"TIME (UTC)", "DAEMON", "DECISION", "CLASS", "SERVER", "WHAT"});
    for (const auto &[daemon, decision] : decisions) {
        table.add({clockText(decision.timeMicros),
                   daemon.toString(),
                   name(decision.kind),
                   decision.cls.empty() ? "-" : decision.cls,
                   decision.server.port == 0 ? "-" : decision.server.toString(),
                   decision.text});
    }
    return table.isEmpty() ? std::string() : table.toString();
}

} // namespace

std::string whyText(const Replies &replies)
{
    const std::string tree = SpanTree(replies).toString();
    const std::string decisions = decisionTable(replies);
    if (tree.empty() && decisions.empty()) {
        return "nothing is known any more\n";
    }
    return tree + (tree.empty() || decisions.empty() ? "" : "\n") + decisions;
}

} // namespace sassafrasvane
