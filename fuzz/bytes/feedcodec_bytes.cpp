#include "bytes.h"

#include "entry/feedcodec.h"

/// \file
/// Any bytes as another entry process's response and as a request for changes.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasvane;
    const std::string_view bytes = textOf(data, size);
    const Result<FeedResponse> response = decodeFeedResponse(bytes);
    if (response.has_value()) {
        const Result<FeedResponse> again = decodeFeedResponse(encodeFeedResponse(response.value()));
        check(again.has_value() && again.value().items.size() == response.value().items.size());
        check(again.value().position == response.value().position
              && again.value().isSnapshot == response.value().isSnapshot);
    }
    const std::optional<FeedRequest> request = parseFeedTarget(bytes);
    if (request) {
        const std::optional<FeedRequest> again = parseFeedTarget(feedTarget(*request));
        check(again && again->after == request->after && again->wantsItems == request->wantsItems);
    }
    return 0;
}
