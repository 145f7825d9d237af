#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// What the logs of several VMs say of one request.

namespace sassafrasvane
{

/// The text of one log file.
struct LogText {
    std::string source;
    std::string text;
};

/// One line of a log.
struct LogLine {
    /// Microseconds since the Unix epoch.
    std::uint64_t timeMicros = 0;
    std::string vm;
    std::string event;
    /// The line as it was written.
    std::string json;
};

/// The lines that explain a request, in the order of time.
struct RequestStory {
    /// Lines that name the request.
    std::vector<LogLine> lines;
    /// What the refusals among \c lines because of an API key or a quota mean; a line of text for each.
    std::string explanations;
    /// Lines that changed what the VMs believed shortly before and during the request; without \c lines, those that
    /// tell of VMs that stopped, stood still or were lost.
    std::vector<LogLine> surroundings;
    /// Log lines that are no JSON objects with time, VM and event.
    std::size_t unreadable = 0;
    /// Lines that the logs say were dropped.
    std::uint64_t dropped = 0;
};

/// Time before a request's first line whose lines belong to its surroundings, in microseconds.
constexpr std::uint64_t storyLeadMicros() noexcept
{
    return 5'000'000;
}

/// Most surroundings that are kept: the last ones.
constexpr std::size_t mostSurroundings() noexcept
{
    return 100;
}

/// Collects the story of \p request from \p logs.
///
/// Surroundings are lines of the VMs that handled the request about its searchers and back ends, the store, the
/// configuration and the process itself.
RequestStory requestStory(std::string_view request, std::span<const LogText> logs);

/// The story for people; \p request names it.
std::string requestStoryText(std::string_view request, const RequestStory &story);

} // namespace sassafrasvane
