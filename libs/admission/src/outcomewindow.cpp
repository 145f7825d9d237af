#include "admission/outcomewindow.h"

namespace sassafrasvane
{

void OutcomeWindow::add(TimePoint now, bool isGood) noexcept
{
    if (now - start_ >= length_) {
        previous_ = now - start_ >= 2 * length_ ? Counts() : current_;
        current_ = Counts();
        start_ = now;
    }
    ++(isGood ? current_.good : current_.bad);
}

double OutcomeWindow::badShare(TimePoint now) const noexcept
{
    const Counts counts = sum(now);
    const std::uint64_t all = counts.good + counts.bad;
    return all == 0 ? 0 : static_cast<double>(counts.bad) / static_cast<double>(all);
}

std::uint64_t OutcomeWindow::total(TimePoint now) const noexcept
{
    const Counts counts = sum(now);
    return counts.good + counts.bad;
}

OutcomeWindow::Counts OutcomeWindow::sum(TimePoint now) const noexcept
{
    if (now - start_ >= 2 * length_) {
        return Counts();
    }
    if (now - start_ >= length_) {
        return current_;
    }
    return {current_.good + previous_.good, current_.bad + previous_.bad};
}

} // namespace sassafrasvane
