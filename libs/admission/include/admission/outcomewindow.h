#pragma once

#include "base/time.h"

#include <cstdint>

/// \file
/// Share of recent outcomes that are bad.

namespace sassafrasvane
{

/// Counts good and bad outcomes over the current and the previous time window.
///
/// \code
/// OutcomeWindow window(std::chrono::seconds(1));
/// window.add(now, isGood);
/// const double bad = window.badShare(now);
/// \endcode
class OutcomeWindow
{
public:
    /// \param length duration of one window.
    explicit OutcomeWindow(Duration length) noexcept : length_(length) { }

    /// Adds an outcome.
    void add(TimePoint now, bool isGood) noexcept;

    /// Share of bad outcomes, in [0, 1]; 0 if there are no outcomes.
    double badShare(TimePoint now) const noexcept;

    /// Number of outcomes.
    std::uint64_t total(TimePoint now) const noexcept;

private:
    struct Counts {
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
    };

    Counts sum(TimePoint now) const noexcept;

    Duration length_;
    TimePoint start_;
    Counts current_;
    Counts previous_;
};

} // namespace sassafrasvane
