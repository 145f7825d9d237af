#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

/// \file
/// Calls that wait for a free searcher.

namespace sassafrasvane
{

/// The waiting calls of each back end, the most urgent route first, then the earliest.
///
/// \code
/// waiting.add("desk", route.priority, [] { return tryToSend(); });
/// waiting.onFree("desk");
/// \endcode
class WaitingList
{
public:
    /// Tries to send the call. \return true if it need not wait any longer, sent or not.
    using Attempt = std::function<bool()>;

    /// Calls that may wait for one back end.
    static constexpr std::size_t mostPerBackend() noexcept { return 200; }

    /// Adds a call. \return false if too many wait.
    bool add(std::string_view backend, std::uint32_t priority, Attempt attempt);

    /// A searcher of \p backend may be free: tries the calls in turn until one still has to wait.
    void onFree(std::string_view backend);

    /// Tries the calls of all back ends.
    void onTick();

    std::size_t size() const noexcept;

private:
    using Rank = std::pair<std::uint32_t, std::uint64_t>;
    using Queue = std::map<Rank, Attempt>;

    std::map<std::string, Queue, std::less<>> queues_;
    std::uint64_t lastOrder_ = 0;
    bool isTrying_ = false;
};

} // namespace sassafrasvane
