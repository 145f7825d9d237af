#include "bytes.h"

#include "entry/feedcodec.h"

/// \file
/// Any bytes as another entry process's answer and as a question for changes.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasvane;
    const std::string_view bytes = textOf(data, size);
    const Result<FeedAnswer> answer = decodeFeedAnswer(bytes);
    if (answer.has_value()) {
        const Result<FeedAnswer> again = decodeFeedAnswer(encodeFeedAnswer(answer.value()));
        check(again.has_value() && again.value().items.size() == answer.value().items.size());
        check(again.value().asOf == answer.value().asOf && again.value().isFull == answer.value().isFull);
    }
    const std::optional<FeedQuestion> question = readFeedTarget(bytes);
    if (question) {
        const std::optional<FeedQuestion> again = readFeedTarget(feedTarget(*question));
        check(again && again->afterRevision == question->afterRevision && again->wantsItems == question->wantsItems);
    }
    return 0;
}
