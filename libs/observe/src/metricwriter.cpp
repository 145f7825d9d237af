#include "observe/metricwriter.h"

#include <array>
#include <charconv>

namespace sassafrasvane
{

namespace
{

std::string escaped(std::string_view text, bool isLabel)
{
    std::string result;
    for (const char c : text) {
        if (c == '\n') {
            result += "\\n";
        } else if (c == '\\' || (isLabel && c == '"')) {
            result += {'\\', c};
        } else {
            result += c;
        }
    }
    return result;
}

} // namespace

std::string labelText(const std::vector<MetricLabel> &labels)
{
    std::string text;
    for (const MetricLabel &label : labels) {
        text += (text.empty() ? "{" : ",") + label.name + "=\"" + escaped(label.value, true) + '"';
    }
    return text.empty() ? text : text + '}';
}

std::string metricNumberText(double number)
{
    std::array<char, 32> text{};
    const std::to_chars_result result = std::to_chars(text.data(), text.data() + text.size(), number);
    return {text.data(), result.ptr};
}

MetricWriter::MetricWriter(std::string &text, std::string_view name, std::string_view help, std::string_view type)
    : text_(text), name_(name)
{
    if (!help.empty()) {
        text_.append("# HELP ").append(name).append(" ").append(escaped(help, false)).append("\n");
    }
    text_.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void MetricWriter::line(std::string_view labels, double value, std::string_view suffix)
{
    line(labels, std::string_view(metricNumberText(value)), suffix);
}

void MetricWriter::line(std::string_view labels, std::uint64_t value, std::string_view suffix)
{
    line(labels, std::string_view(std::to_string(value)), suffix);
}

void MetricWriter::line(std::string_view labels, std::string_view value, std::string_view suffix)
{
    text_.append(name_).append(suffix).append(labels).append(" ").append(value).append("\n");
}

} // namespace sassafrasvane
