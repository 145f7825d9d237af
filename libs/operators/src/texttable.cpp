#include "texttable.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace sassafrasvane
{

namespace
{

constexpr std::size_t columnGap = 2;

// A name from a daemon must not move the operator's cursor.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    return text;
}

} // namespace

std::string roundedText(double number)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.3f", number);
    std::string result = text.data();
    result.erase(result.find_last_not_of('0') + 1);
    if (result.back() == '.') {
        result.pop_back();
    }
    return result;
}

TextTable::TextTable(std::vector<std::string> header)
{
    rows_.push_back(std::move(header));
}

void TextTable::add(std::vector<std::string> row)
{
    std::transform(row.begin(), row.end(), row.begin(), printable);
    rows_.push_back(std::move(row));
}

std::string TextTable::toString() const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (const std::vector<std::string> &row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const std::vector<std::string> &row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + columnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

} // namespace sassafrasvane
