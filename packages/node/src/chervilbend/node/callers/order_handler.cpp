#include <chervilbend/node/callers/order_handler.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/config/work_class_name.hpp>
#include <chervilbend/control/order_gateway.hpp>
#include <chervilbend/net/answer_status.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/net/timer.hpp>
#include <chervilbend/node/callers/admitted_request.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/node/callers/message_headers.hpp>
#include <chervilbend/node/callers/open_requests.hpp>
#include <chervilbend/node/callers/problem_answer.hpp>
#include <chervilbend/node/callers/request_attributes.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace chervilbend::node
{

namespace
{

using routing::request_outcome;

constexpr std::size_t maxKeyLength = 255;

const log4cxx::LoggerPtr &routeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("route");
    return logger;
}

std::string keyFromBody(const std::string &body, const std::string &field)
{
    boost::json::error_code error;
    const boost::json::value parsed = boost::json::parse(body, error);
    const boost::json::object *const object = error ? nullptr : parsed.if_object();
    const boost::json::value *const key = object ? object->if_contains(field) : nullptr;
    if (!key) {
        return {};
    }
    if (key->is_string()) {
        return {key->get_string().data(), key->get_string().size()};
    }
    return key->is_int64() ? std::to_string(key->get_int64()) : std::string();
}

/// The request's idempotency key. If it is missing or invalid, returns no value and sets @p why.
std::optional<std::string> idempotencyKeyOf(const net::http_request &request, const config::route_declaration &route, base::reason &why)
{
    const auto header = request["Idempotency-Key"];
    std::string key(header.data(), header.size());
    if (key.empty() && !route.idempotencyField.empty()) {
        key = keyFromBody(request.body(), route.idempotencyField);
    }
    if (key.empty()) {
        why = {base::error_kind::missingIdempotencyKey, "orders on this route run at most once and require an Idempotency-Key"};
        return std::nullopt;
    }
    const bool printable = std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < 0x7f; });
    if (key.size() > maxKeyLength || !printable) {
        why = {base::error_kind::badRequest, "the idempotency key is longer than 255 characters or not printable ASCII"};
        return std::nullopt;
    }
    return key;
}

control::order_answer failureAnswer(base::run_state state, const base::reason &why)
{
    control::order_answer answer;
    answer.state = state;
    answer.kind = why.kind;
    answer.detail = why.text;
    return answer;
}

net::http_response responseFor(const control::order_answer &answer)
{
    if (answer.httpStatus == 0) {
        return problemAnswer({answer.kind, answer.detail}, answer.state);
    }
    const auto status = static_cast<unsigned>(answer.httpStatus);
    // Builds before this check have recorded statuses up to 999.
    if (!net::isFinalStatus(status)) {
        return problemAnswer({base::error_kind::endpointInvalidAnswer, "the recorded answer has status " + std::to_string(answer.httpStatus)},
                             base::run_state::unknown);
    }
    net::http_response response;
    net::setStatus(response, status, answer.reasonPhrase);
    if (!answer.contentType.empty()) {
        response.set(http::field::content_type, answer.contentType);
    }
    const std::string_view state = base::toString(answer.state);
    response.set(runStateField, boost::beast::string_view(state.data(), state.size()));
    if (answer.replayed) {
        response.set("Idempotency-Replayed", "true");
    }
    response.body() = answer.body;
    return response;
}

} // namespace

/// State of an order, shared by its task and the caller's request.
struct order_handler::order_task {
    order_task(const asio::any_io_executor &executor, control::order_request orderRequest)
        : order(std::move(orderRequest))
        , done(executor, net::distantFuture)
    {
    }

    control::order_request order;
    std::optional<control::order_answer> answer;
    net::timer done;
};

order_handler::order_handler(control::order_gateway &gateway,
                             admission &requestAdmission,
                             endpoint_directory &endpoints,
                             net::http_client &client,
                             open_requests &open,
                             caller_metrics &metrics)
    : m_gateway(gateway)
    , m_admission(requestAdmission)
    , m_endpoints(endpoints)
    , m_client(client)
    , m_open(open)
    , m_metrics(metrics)
{
}

asio::awaitable<void> order_handler::handle(std::shared_ptr<net::http_exchange> exchange, route_target target, forwarding_plan plan)
{
    const net::http_request &request = exchange->request();
    base::reason why;
    const std::optional<std::string> key = idempotencyKeyOf(request, target.route, why);
    if (!key) {
        co_await exchange->respond(problemAnswer(why));
        co_return;
    }
    const std::string_view path(request.target().data(), request.target().size());
    control::order_request order;
    order.account = plan.facts.account;
    order.route = target.service.value() + std::string(path.substr(0, path.find('?')));
    order.idempotencyKey = *key;
    // The method and the query are part of what the key identifies: the same key with another query is a different order.
    order.body = std::string(request.method_string()) + ' ' + std::string(path) + '\n' + request.body();
    order.firstAttempt = request["Idempotency-Attempt"] == "1";
    order.deadline = plan.facts.deadline;
    order.callerHasLeft = [exchange] {
        return exchange->callerHasDisconnected();
    };
    plan.idempotencyKey = *key;

    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const auto task = std::make_shared<order_task>(executor, std::move(order));
    asio::co_spawn(executor, run(task, exchange, std::move(plan)), asio::detached);
    if (!task->answer) {
        co_await task->done.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (task->answer) {
        co_await exchange->respond(responseFor(*task->answer));
    }
}

asio::awaitable<void> order_handler::run(std::shared_ptr<order_task> task, std::shared_ptr<net::http_exchange> exchange, forwarding_plan plan)
{
    const open_requests::registration registration(m_open, exchange);
    const control::order_gateway::dispatch_order send = [this, exchange, plan] {
        return dispatch(exchange, plan);
    };
    control::order_answer answer;
    try {
        answer = co_await m_gateway.run(task->order, send);
    } catch (const std::exception &error) {
        answer = failureAnswer(base::run_state::unknown, {base::error_kind::internal, error.what()});
    }
    LOG4CXX_INFO(routeLog(),
                 "order " << task->order.route << " key " << task->order.idempotencyKey << ", account " << task->order.account << ": "
                          << base::toString(answer.state) << (answer.replayed ? " (replayed)" : "")
                          << (answer.httpStatus == 0 ? ", " + answer.detail : std::string()));
    m_metrics.onOrder(answer.state, answer.replayed);
    task->answer = std::move(answer);
    task->done.cancel();
}

asio::awaitable<control::order_answer> order_handler::dispatch(std::shared_ptr<net::http_exchange> exchange, forwarding_plan plan)
{
    admitted_request admitted(m_admission);
    std::optional<routing::dispatch> target = co_await admitted.submit(plan.facts);
    base::reason why;
    while (target) {
        LOG4CXX_INFO(routeLog(),
                     plan.facts.pool << " order to " << target->endpoint << ", class " << config::nameOf(plan.facts.urgency) << ", account "
                                     << plan.facts.account << ": " << target->why);
        const std::optional<net::address> address = m_endpoints.find(target->endpoint);
        std::optional<net::http_response> response;
        if (address) {
            net::http_send_options options;
            options.freshConnection = true;
            options.deadline = plan.facts.deadline;
            options.answerTimeout = plan.timeLeft();
            options.connectTimeout = std::min(options.connectTimeout, options.answerTimeout);
            net::http_request forwarded = requestForEndpoint(exchange->request(), plan);
            response = co_await m_client.send(*address, std::move(forwarded), options);
            why = m_client.lastReason();
        } else {
            why = {base::error_kind::endpointRefused, "the address of " + target->endpoint.value() + " is not known"};
        }
        if (response) {
            admitted.firstByte();
            admitted.finish(request_outcome::answered);
            control::order_answer answer;
            answer.state = base::run_state::ran;
            answer.httpStatus = static_cast<int>(response->result_int());
            answer.reasonPhrase = net::reasonOf(*response);
            const auto type = (*response)[http::field::content_type];
            answer.contentType.assign(type.data(), type.size());
            answer.body = std::move(response->body());
            co_return answer;
        }
        if (why.kind != base::error_kind::endpointRefused) {
            admitted.finish(m_client.hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost);
            co_return failureAnswer(base::run_state::unknown, why);
        }
        target = co_await admitted.retry(request_outcome::notSent);
    }
    if (why.text.empty()) {
        why = admitted.lastReason();
    }
    co_return failureAnswer(base::run_state::notRun, why);
}

} // namespace chervilbend::node
