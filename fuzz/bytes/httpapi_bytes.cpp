#include "bytes.h"

#include "wire/backendapi.h"
#include "wire/callerapi.h"

/// \file
/// Any text as the body of a caller's request or of a searcher's answer.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasvane;
    constexpr int statuses[] = {200, 409, 503, 504, 0};
    const std::string_view text = textOf(data, size);
    const Result<CallerQuery> query = readCallerQuery(text);
    check(query.has_error() || !query.value().className.empty());
    const Result<CallerRun> run = readCallerRun(text);
    check(run.has_error() || !run.value().className.empty());
    for (const int status : statuses) {
        const BackEndAnswer answer = readBackEndAnswer(status, text);
        check(answer.outcome != CallOutcome::Answered || status == 200);
    }
    return 0;
}
