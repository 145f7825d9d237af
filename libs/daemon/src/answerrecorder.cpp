#include "answerrecorder.h"

namespace sassafrasvane::detail
{

namespace
{

/// Parts of one answer whose absence is noted one by one.
constexpr std::size_t maxNotedParts = 8;

bool isPartial(const CallerOutcome &outcome)
{
    return outcome.answer && outcome.answer->coverage < 1;
}

} // namespace

AnswerRecorder::AnswerRecorder(Observability &observability, double sampledShare, std::uint64_t seed)
    : observability_(observability), sampledShare_(sampledShare), random_(seed)
{
}

RequestTrace AnswerRecorder::begin(const std::string &traceparent)
{
    RequestTrace request;
    request.startMicros = wallClockMicros();
    request.start = BootClock::now();
    const Result<TraceContext> given = TraceContext::parse(traceparent);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (given.has_value()) {
        request.context = given.value().child(random_);
        request.parent = given.value().span;
    } else {
        request.context = TraceContext::root(random_, random_.chance(sampledShare_));
    }
    return request;
}

void AnswerRecorder::end(const RequestTrace &request, const CallerOutcome &outcome)
{
    if (!request.className.empty()) {
        recordMetrics(request, outcome);
        recordDecisions(request, outcome);
    }
    recordSpan(request, outcome);
}

void AnswerRecorder::recordMetrics(const RequestTrace &request, const CallerOutcome &outcome)
{
    ClassMetrics &metrics = observability_.metrics.classMetrics(request.className);
    if (outcome.error) {
        metrics.recordRefusal(outcome.error->errc());
        return;
    }
    const TimePoint now = BootClock::now();
    AnswerSample sample{now - request.start, 1, 1, 1};
    if (outcome.answer) {
        sample.coverage = outcome.answer->coverage;
        sample.neededCalls = outcome.answer->neededCalls;
        sample.sentCalls = outcome.answer->neededCalls + outcome.answer->extraCalls;
    }
    metrics.recordAnswer(now, sample);
}

void AnswerRecorder::recordSpan(const RequestTrace &request, const CallerOutcome &outcome)
{
    const TraceVerdict verdict{request.target > Duration{0} && BootClock::now() - request.start > request.target,
                               isPartial(outcome),
                               outcome.error.has_value()};
    if (!request.context.isSampled && !verdict.isNotable()) {
        return;
    }
    Span span{outcome.answer || request.className.empty() ? "query" : "request",
              request.context,
              request.parent,
              request.startMicros,
              wallClockMicros(),
              {},
              SpanStatus::Ok,
              {}};
    span.attributes.push_back({"class", request.className});
    if (outcome.answer) {
        const QueryAnswer &answer = *outcome.answer;
        span.attributes.push_back({"snapshot", static_cast<std::int64_t>(answer.version.value)});
        span.attributes.push_back({"coverage", answer.coverage});
        span.attributes.push_back({"extra_calls", static_cast<std::int64_t>(answer.extraCalls)});
    }
    if (outcome.error) {
        span.status = SpanStatus::Error;
        span.statusMessage = outcome.error->message();
        span.attributes.push_back({"ran", std::string(name(outcome.ran))});
    }
    observability_.traces->record(std::move(span));
    observability_.traces->finish(request.context, verdict);
}

void AnswerRecorder::recordDecisions(const RequestTrace &request, const CallerOutcome &outcome)
{
    const auto note = [this, &request](DecisionKind kind, std::string text) {
        observability_.journal.record(
            {wallClockMicros(), kind, request.context.trace, request.className, {}, std::move(text)});
    };
    if (outcome.error) {
        note(DecisionKind::RequestRefused, outcome.error->message() + ", ran: " + name(outcome.ran));
        return;
    }
    if (!outcome.answer) {
        note(DecisionKind::TicketUsed, "the request ran");
        return;
    }
    const QueryAnswer &answer = *outcome.answer;
    const bool isPlain = !isPartial(outcome) && answer.extraCalls == 0 && !answer.isRestarted;
    if (isPlain && !request.context.isSampled) {
        return;
    }
    note(answer.isRestarted ? DecisionKind::SnapshotChanged : DecisionKind::SnapshotChosen,
         "index version " + std::to_string(answer.version.value));
    if (answer.extraCalls > 0) {
        note(DecisionKind::HedgeSent,
             std::to_string(answer.extraCalls) + " extra calls beside " + std::to_string(answer.neededCalls));
    }
    for (std::size_t i = 0; i < std::min(answer.missed.size(), maxNotedParts); ++i) {
        note(DecisionKind::PartMissed,
             "part " + std::to_string(answer.missed[i].part.value) + ": " + name(answer.missed[i].reason));
    }
    if (!outcome.conflict.empty()) {
        note(DecisionKind::TargetConflict, outcome.conflict);
    }
}

} // namespace sassafrasvane::detail
