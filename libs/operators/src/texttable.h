#pragma once

#include <string>
#include <vector>

/// \file
/// Tables for people.

namespace sassafrasvane
{

/// \p number without trailing zeros, rounded to three decimals.
std::string roundedText(double number);

/// Rows in columns of equal width.
///
/// \code
/// TextTable table({"DAEMON", "PHASE"});
/// table.add({"10.0.0.7:7002", "serving"});
/// out << table.toString();
/// \endcode
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /// Adds a row; it must have as many cells as the header.
    void add(std::vector<std::string> row);

    bool isEmpty() const noexcept { return rows_.size() == 1; }

    /// The table with a line end after each row. Control characters are shown as "?".
    std::string toString() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace sassafrasvane
