#include "refusal.h"

#include "http/server.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace sassafrasvane::detail
{

bool isNotRunStatus(unsigned status) noexcept
{
    constexpr std::array<unsigned, 4> statuses{408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

http::Response notRunResponse(Duration retryAfter, unsigned status)
{
    // Rounded up, so that a caller that comes back on time does not come a little too early.
    constexpr double millisecondsPerHundredth = 10;
    const double hundredths = std::ceil(toMilliseconds(retryAfter) / millisecondsPerHundredth);
    std::array<char, 32> seconds{};
    const int size = std::snprintf(seconds.data(), seconds.size(), "%.2f", hundredths / 100);
    http::Response response = http::emptyResponse(status);
    response.set(boost::beast::http::field::retry_after,
                 boost::beast::string_view(seconds.data(), static_cast<std::size_t>(size)));
    return response;
}

} // namespace sassafrasvane::detail
