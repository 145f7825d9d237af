#include "refusal.h"

#include "http/server.h"

namespace sassafrasvane::detail
{

namespace
{

constexpr unsigned unavailable = 503;
/// In seconds: about the time in which a searcher that is left alone after failures is tried again.
constexpr const char *retryAfter = "0.2";

} // namespace

http::Response notRunResponse()
{
    http::Response response = http::emptyResponse(unavailable);
    response.set(boost::beast::http::field::retry_after, retryAfter);
    return response;
}

} // namespace sassafrasvane::detail
