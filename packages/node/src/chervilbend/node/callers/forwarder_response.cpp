#include <chervilbend/node/callers/forwarder.hpp>

#include <chervilbend/net/answer_status.hpp>
#include <chervilbend/net/http_client_stream.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>
#include <chervilbend/node/callers/endpoint_reachability.hpp>
#include <chervilbend/node/callers/event_scanner.hpp>
#include <chervilbend/node/callers/forwarded_request.hpp>
#include <chervilbend/node/callers/message_headers.hpp>
#include <chervilbend/node/callers/problem_answer.hpp>
#include <chervilbend/node/callers/request_attributes.hpp>

#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace chervilbend::node
{

namespace
{

using routing::request_outcome;

/// Bytes. A longer response is forwarded as a stream instead of being buffered, which bounds memory use.
constexpr std::size_t maxBufferedResponse = 4 * 1024 * 1024;
/// Memory, in bytes, that each stream may use for its events even if the limit of all together is reached. Sound events are far shorter.
constexpr std::size_t guaranteedEventBytes = 64 * 1024;

bool isEventStream(const http::response_header<> &header)
{
    const auto type = header[http::field::content_type];
    return std::string_view(type.data(), type.size()).starts_with("text/event-stream");
}

asio::awaitable<bool> startStream(std::shared_ptr<net::http_exchange> exchange, std::shared_ptr<net::http_client_stream> answer)
{
    http::response<http::empty_body> header;
    net::copyStatus(answer->header(), header);
    copyResponseFields(answer->header(), header);
    header.set(runStateField, "ran");
    co_return co_await exchange->startStream(std::move(header));
}

/// Whether a stream that ended without a transport error is complete.
bool isComplete(const forwarding_plan &plan, const net::http_client_stream &answer, const event_scanner &scanner, bool requiresDoneEvent)
{
    if (requiresDoneEvent) {
        return scanner.isDone();
    }
    return (answer.isSelfDelimiting() || plan.hasStrictStatus) && !scanner.isInsideEvent();
}

} // namespace

asio::awaitable<forwarder::attempt_result> forwarder::forwardResponse(std::shared_ptr<forwarded_request> request,
                                                                      const endpoint_protocol &protocol,
                                                                      routing::dispatch target,
                                                                      std::shared_ptr<net::http_client_stream> answer)
{
    attempt_result result;
    const forwarding_plan &plan = request->plan;
    fleet::answer_disposition verdict = protocol.classify(answer->header(), plan);
    while (verdict == fleet::answer_disposition::mismatched) {
        // The response to an earlier, abandoned request may precede the expected one on the connection.
        if (!co_await answer->skipToNextAnswer()) {
            result.mayHaveRun = true;
            result.outcome = answer->hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
            result.why = answer->lastReason();
            co_return result;
        }
        m_metrics.onSkippedAnswer();
        verdict = protocol.classify(answer->header(), plan);
    }
    if (verdict != fleet::answer_disposition::forwardToCaller) {
        // The endpoint may write it once more. The attempt ID doesn't tell the copy from the answer if the same attempt is on the connection again.
        answer->closeAfterAnswer();
    }
    result.status = static_cast<int>(answer->header().result_int());
    result.connection = answer->connectionNumber();
    result.isOnUsedConnection = !answer->isFirstRequest();
    routing::endpoint_notice notice;
    if (verdict != fleet::answer_disposition::notExecutedMisdirected && verdict != fleet::answer_disposition::invalid) {
        notice = protocol.readNotice(answer->header());
        request->admitted.noteAnswer(notice);
    }
    const run_evidence refusalEvidence = protocol.namesAttempt(answer->header(), plan) ? run_evidence::namedRefusal : run_evidence::unnamedRefusal;
    switch (verdict) {
    case fleet::answer_disposition::notExecutedOverloaded:
        result.evidence = refusalEvidence;
        result.outcome = request_outcome::refused;
        result.why = {base::error_kind::overloaded, target.endpoint.value() + (notice.toleratedRefusals ? " is overloaded and brittle" : " is overloaded")};
        co_return result;
    case fleet::answer_disposition::notExecutedMisdirected:
        if (m_missingItemListener) {
            m_missingItemListener(target.endpoint, plan.item);
        }
        result.evidence = refusalEvidence;
        result.outcome = request_outcome::refused;
        result.why = {base::error_kind::noEndpoint, target.endpoint.value() + " does not hold " + plan.facts.pool + " any more"};
        co_return result;
    case fleet::answer_disposition::invalid:
        result.mayHaveRun = true;
        result.outcome = request_outcome::connectionLost;
        result.why = {base::error_kind::endpointInvalidAnswer,
                      "the endpoint's response is not valid in its protocol, status " + std::to_string(answer->header().result_int())};
        co_return result;
    case fleet::answer_disposition::notExecutedRejected:
    case fleet::answer_disposition::forwardToCaller:
    case fleet::answer_disposition::mismatched:
        break;
    }
    request->endpoint = target.endpoint;
    if (!target.endpoint.empty()) {
        request->softwareVersion = target.softwareVersion;
    }
    const bool isStarted = request->exchange->isStarted();
    if (!isEventStream(answer->header()) || (isStarted && answer->header().result() != http::status::ok)) {
        if (isStarted) {
            result.mayHaveRun = true;
            result.outcome = request_outcome::connectionLost;
            result.why = {base::error_kind::endpointInvalidAnswer,
                          "the endpoint answered " + std::to_string(answer->header().result_int()) + " instead of resuming the stream"};
            co_return result;
        }
        co_return co_await forwardCompleteResponse(request, answer);
    }
    const bool requiresDoneEvent = plan.inference && answer->header().result() == http::status::ok;
    co_return co_await forwardStream(request, answer, std::string(), requiresDoneEvent);
}

asio::awaitable<forwarder::attempt_result> forwarder::forwardCompleteResponse(std::shared_ptr<forwarded_request> request,
                                                                              std::shared_ptr<net::http_client_stream> answer)
{
    attempt_result result;
    result.mayHaveRun = true;
    result.isFinal = true;
    if (!answer->isSelfDelimiting() && !request->plan.hasStrictStatus) {
        result.why = {base::error_kind::endpointInvalidAnswer, "the endpoint's response has no length and no end marker"};
        m_metrics.onProblem(result.why.kind);
        co_await request->exchange->respond(problemAnswer(result.why));
        co_return result;
    }
    net::http_response complete;
    net::copyStatus(answer->header(), complete);
    copyResponseFields(answer->header(), complete);
    bool ended = false;
    while (!ended) {
        const std::optional<std::string_view> piece = co_await answer->read();
        if (!piece) {
            result.isFinal = false;
            result.outcome = answer->hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
            result.why = answer->lastReason();
            co_return result;
        }
        request->firstByte();
        ended = piece->empty();
        complete.body().append(*piece);
        if (complete.body().size() > maxBufferedResponse || !request->keptBytes.resize(complete.body().size())) {
            co_return co_await forwardStream(request, answer, std::move(complete.body()), false);
        }
    }
    if (request->plan.inference) {
        request->progress(event_scanner::tokensOfCompleteResponse(complete.body()));
    }
    complete.set(runStateField, "ran");
    const bool sent = co_await request->exchange->respond(std::move(complete));
    result.outcome = sent ? request_outcome::answered : request_outcome::cancelled;
    co_return result;
}

asio::awaitable<forwarder::attempt_result> forwarder::forwardStream(std::shared_ptr<forwarded_request> request,
                                                                    std::shared_ptr<net::http_client_stream> answer,
                                                                    std::string bufferedBody,
                                                                    bool requiresDoneEvent)
{
    const std::shared_ptr<net::http_exchange> exchange = request->exchange;
    const forwarding_plan &plan = request->plan;
    const bool events = isEventStream(answer->header());
    attempt_result result;
    result.mayHaveRun = true;
    event_scanner &scanner = request->events;
    std::optional<endpoint_silence::open_response> openResponse;
    std::string_view ready = bufferedBody;
    bool complete = false;
    while (true) {
        bool sent = true;
        if (!ready.empty()) {
            request->beginStream();
            request->dropKept();
        }
        if (!ready.empty() && !exchange->isStarted()) {
            sent = co_await startStream(exchange, answer);
        }
        if (sent) {
            sent = co_await exchange->writeChunk(ready);
        }
        if (!sent) {
            result.isFinal = true;
            result.outcome = request_outcome::cancelled;
            co_return result;
        }
        const std::optional<std::string_view> piece = co_await answer->read();
        if (!piece || piece->empty()) {
            // An endpoint that ends before it has written anything closes its connection like one whose stream is complete.
            const bool isEmpty = !answer->isSelfDelimiting() && !request->hasFirstByte();
            complete = piece && !isEmpty && isComplete(plan, *answer, scanner, requiresDoneEvent);
            break;
        }
        request->firstByte();
        if (m_reachability) {
            m_reachability->noteReceived();
        }
        request->recordStreamPart();
        if (!openResponse) {
            openResponse.emplace(m_silence, request->endpoint);
        }
        openResponse->received();
        ready = events ? scanner.feed(*piece) : *piece;
        if (events && scanner.isOutOfOrder()) {
            result.why = {base::error_kind::endpointInvalidAnswer, "the stream's event ids are not increasing"};
            break;
        }
        if (plan.hasStrictStatus && scanner.isOverlong()) {
            result.why = {base::error_kind::endpointInvalidAnswer, "the stream contains bytes without end that are no event"};
            break;
        }
        if (events && !request->keptBytes.resize(scanner.bufferBytes()) && scanner.bufferBytes() > guaranteedEventBytes) {
            result.why = {base::error_kind::endpointInvalidAnswer, "an event is longer than the memory that is left for incomplete events"};
            break;
        }
        request->progress(base::token_count(scanner.tokens().count() * plan.tokensPerEvent));
    }
    if (complete) {
        bool sent = exchange->isStarted();
        if (!sent) {
            sent = co_await startStream(exchange, answer);
        }
        if (sent) {
            sent = co_await exchange->finishStream();
        }
        result.isFinal = true;
        result.outcome = sent ? request_outcome::answered : request_outcome::cancelled;
        co_return result;
    }
    answer->closeAfterAnswer();
    result.outcome = answer->hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
    if (result.why.text.empty()) {
        result.why = answer->lastReason();
    }
    if (result.why.text.empty()) {
        result.why = {base::error_kind::endpointInvalidAnswer, "the stream ended without its end marker"};
    }
    // A response that has been started can only be continued if the stream can be resumed.
    if (answer->wasGivenUp() && exchange->isStarted() && !request->hasKept()) {
        request->keep(answer);
    }
    result.isFinal = exchange->isStarted() && !(plan.resumable && scanner.isResumable());
    if (result.isFinal) {
        m_metrics.onBrokenStream();
        if (events && !plan.hasStrictStatus) {
            co_await exchange->writeChunk(problemEvent(result.why, base::run_state::unknown));
        }
    }
    co_return result;
}

} // namespace chervilbend::node
