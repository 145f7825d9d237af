#include "operators/requeststory.h"

#include "texttable.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <sstream>

namespace sassafrasvane
{

namespace
{

using Json = nlohmann::json;

/// Events that concern a whole VM.
constexpr std::array<std::string_view, 13> vmEvents{"process_started",
                                                    "process_stopped",
                                                    "process_paused",
                                                    "stop_begun",
                                                    "settings_refused",
                                                    "settings_reloaded",
                                                    "configuration_in_force",
                                                    "configuration_refused",
                                                    "failure_domains_out",
                                                    "source_changed",
                                                    "store_call_failed",
                                                    "store_regained",
                                                    "log_lines_dropped"};

/// Events that tell of VMs that stopped, stood still or were lost.
constexpr std::array<std::string_view, 5> lossEvents{"process_started",
                                                     "process_stopped",
                                                     "process_paused",
                                                     "stop_begun",
                                                     "member_changed"};

template<std::size_t count>
bool contains(const std::array<std::string_view, count> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// A line with its members.
struct ParsedLine {
    LogLine line;
    Json members;
};

std::string textOf(const Json &members, const char *name)
{
    const auto found = members.find(name);
    return found != members.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<ParsedLine> parseLine(const std::string &text)
{
    ParsedLine parsed;
    parsed.members = Json::parse(text, nullptr, false);
    const Json &members = parsed.members;
    if (!members.is_object() || !members.contains("time_us") || !members["time_us"].is_number_unsigned()) {
        return std::nullopt;
    }
    parsed.line = {members["time_us"].get<std::uint64_t>(), textOf(members, "vm"), textOf(members, "event"), text};
    const bool isWhole = !parsed.line.vm.empty() && !parsed.line.event.empty();
    return isWhole ? std::optional(std::move(parsed)) : std::nullopt;
}

std::vector<ParsedLine> parseLogs(std::span<const LogText> logs, RequestStory &story)
{
    std::vector<ParsedLine> lines;
    for (const LogText &log : logs) {
        std::istringstream stream(log.text);
        std::string text;
        while (std::getline(stream, text)) {
            std::optional<ParsedLine> line = parseLine(text);
            if (!line) {
                story.unreadable += text.empty() ? 0 : 1;
                continue;
            }
            if (line->line.event == "log_lines_dropped") {
                story.dropped += line->members.value("lines", std::uint64_t{0});
            }
            lines.push_back(std::move(*line));
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const ParsedLine &left, const ParsedLine &right) {
        return left.line.timeMicros < right.line.timeMicros;
    });
    return lines;
}

/// What the lines of a request name.
struct Subjects {
    std::set<std::string> vms;
    std::set<std::string> backends;
    std::set<std::string> searchers;

    void add(const ParsedLine &line)
    {
        vms.insert(line.line.vm);
        backends.insert(textOf(line.members, "backend"));
        searchers.insert(textOf(line.members, "searcher"));
        std::istringstream missing(textOf(line.members, "missing"));
        std::string backend;
        while (std::getline(missing, backend, ',')) {
            backends.insert(backend);
        }
    }

    bool concern(const ParsedLine &line) const
    {
        const std::string backend = textOf(line.members, "backend");
        const std::string searcher = textOf(line.members, "searcher");
        const bool isNamed
            = (!backend.empty() && backends.contains(backend)) || (!searcher.empty() && searchers.contains(searcher));
        return vms.contains(line.line.vm) && (isNamed || contains(vmEvents, line.line.event));
    }
};

std::string numberOf(const Json &members, const char *name)
{
    const auto found = members.find(name);
    return found != members.end() && found->is_number() ? roundedText(found->get<double>()) : std::string("?");
}

std::string keyExplanation(const ParsedLine &line)
{
    const std::string reason = textOf(line.members, "reason");
    const std::string version = numberOf(line.members, "configuration");
    std::string text = "refused by " + line.line.vm + " with status 401 under configuration " + version + ": ";
    if (reason == "missing_key") {
        text += "the request has no API key, and its route is not public";
    } else if (reason == "unreadable_key") {
        text += "the request has several API keys, or something else in place of one";
    } else {
        text += "no tenant holds the request's API key; look for a version that removed it, or for a VM with an older "
                "one";
    }
    return text + '\n';
}

std::string quotaExplanation(const ParsedLine &line)
{
    const Json &members = line.members;
    return "refused by " + line.line.vm + " with status 429: tenant " + textOf(members, "tenant")
        + " is over its quota of " + numberOf(members, "requests_per_second") + " requests per second with a burst of "
        + numberOf(members, "burst") + "; share of its bucket that was left: " + numberOf(members, "bucket_left")
        + "; basis of the decision: " + textOf(members, "basis") + ", " + numberOf(members, "age_ms")
        + " ms old; told to come back after " + numberOf(members, "retry_after_ms") + " ms\n";
}

// What a line about a refusal because of a key or a quota means; empty for other lines.
std::string explanation(const ParsedLine &line)
{
    constexpr std::uint64_t unauthorized = 401;
    constexpr std::uint64_t tooManyRequests = 429;
    const auto status = line.members.find("status");
    if (line.line.event != "request_refused" || status == line.members.end()) {
        return {};
    }
    if (*status == unauthorized) {
        return keyExplanation(line);
    }
    return *status == tooManyRequests ? quotaExplanation(line) : std::string();
}

void keepLast(std::vector<LogLine> &lines)
{
    if (lines.size() > mostSurroundings()) {
        lines.erase(lines.begin(), lines.end() - static_cast<std::ptrdiff_t>(mostSurroundings()));
    }
}

void append(std::string &text, const std::vector<LogLine> &lines)
{
    for (const LogLine &line : lines) {
        text += "  " + line.json + '\n';
    }
}

} // namespace

RequestStory requestStory(std::string_view request, std::span<const LogText> logs)
{
    RequestStory story;
    const std::vector<ParsedLine> lines = parseLogs(logs, story);
    Subjects subjects;
    for (const ParsedLine &line : lines) {
        if (textOf(line.members, "request") == request) {
            story.lines.push_back(line.line);
            story.explanations += explanation(line);
            subjects.add(line);
        }
    }
    const bool isKnown = !story.lines.empty();
    const std::uint64_t first = isKnown ? story.lines.front().timeMicros : 0;
    const std::uint64_t last = isKnown ? story.lines.back().timeMicros : 0;
    for (const ParsedLine &line : lines) {
        const bool isDuring = line.line.timeMicros + storyLeadMicros() >= first && line.line.timeMicros <= last;
        const bool isOther = textOf(line.members, "request") != request;
        const bool belongs
            = isKnown ? isDuring && isOther && subjects.concern(line) : contains(lossEvents, line.line.event);
        if (belongs) {
            story.surroundings.push_back(line.line);
        }
    }
    keepLast(story.surroundings);
    return story;
}

std::string requestStoryText(std::string_view request, const RequestStory &story)
{
    std::string text;
    if (story.lines.empty()) {
        text += "no line names request " + std::string(request)
            + ": its VM was lost before it logged the end, or the line was dropped\n";
        text += "VMs that stopped, stood still or were lost:\n";
    } else {
        text += "request " + std::string(request) + ":\n";
        append(text, story.lines);
        text += story.explanations;
        text += "on these VMs, up to 5 s before and during the request:\n";
    }
    append(text, story.surroundings);
    if (story.dropped > 0) {
        text += "the logs say that " + std::to_string(story.dropped) + " lines were dropped\n";
    }
    if (story.unreadable > 0) {
        text += std::to_string(story.unreadable) + " lines cannot be read\n";
    }
    return text;
}

} // namespace sassafrasvane
