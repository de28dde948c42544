#include <chervilbend/node/callers/caller_api.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>
#include <chervilbend/node/callers/handler_guard.hpp>
#include <chervilbend/node/callers/open_requests.hpp>
#include <chervilbend/node/callers/problem_answer.hpp>
#include <chervilbend/node/callers/request_path.hpp>
#include <chervilbend/node/callers/service_catalog.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace chervilbend::node
{

namespace
{

const log4cxx::LoggerPtr &httpLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("http");
    return logger;
}

/// Hash of account, route, pool and body. Each hash seeds the next one, so that moving bytes from one field to its neighbour changes the result.
std::uint64_t fingerprintOf(const base::account_id &account, std::string_view route, std::string_view pool, std::string_view body)
{
    return base::hash64(body, base::hash64(pool, base::hash64(route, base::hash64(account.value()))));
}

} // namespace

caller_api::caller_api(service_catalog &catalog, forwarder &requestForwarder, order_handler &orderHandler, open_requests &open, caller_metrics &metrics)
    : m_catalog(catalog)
    , m_forwarder(requestForwarder)
    , m_orderHandler(orderHandler)
    , m_open(open)
    , m_metrics(metrics)
{
}

asio::awaitable<void> caller_api::handle(std::shared_ptr<net::http_exchange> exchange)
{
    const open_requests::registration registration(m_open, exchange);
    const std::optional<std::string> failure = co_await failureOf(serve(exchange), exchange, std::string());
    if (!failure) {
        co_return;
    }
    LOG4CXX_ERROR(httpLog(), exchange->request().method_string() << ' ' << exchange->request().target() << " failed: " << *failure);
    if (!exchange->isStarted()) {
        const base::reason why{base::error_kind::internal, "the request failed with an internal error"};
        co_await exchange->respond(problemAnswer(why));
    }
}

asio::awaitable<void> caller_api::refuse(std::shared_ptr<net::http_exchange> exchange, base::error_kind kind, std::string text)
{
    const base::reason why{kind, std::move(text)};
    LOG4CXX_INFO(httpLog(),
                 exchange->request().method_string() << ' ' << exchange->request().target() << " from " << exchange->remoteAddress()
                                                     << " refused: " << why.text);
    m_metrics.onProblem(kind);
    co_await exchange->respond(problemAnswer(why));
}

/// Other nodes may know the route, or this node may have known it before, so a repeated order may have run in an earlier attempt. The run
/// state of an order that is not marked as its first attempt is therefore reported as unknown.
asio::awaitable<void> caller_api::refuseUnknownRoute(std::shared_ptr<net::http_exchange> exchange, std::string text)
{
    const net::http_request &request = exchange->request();
    const bool mayHaveRun = !request["Idempotency-Key"].empty() && request["Idempotency-Attempt"] != "1";
    if (!mayHaveRun) {
        co_await refuse(exchange, base::error_kind::unknownRoute, std::move(text));
        co_return;
    }
    const base::reason why{base::error_kind::unknownRoute, std::move(text)};
    LOG4CXX_INFO(httpLog(), request.method_string() << ' ' << request.target() << " from " << exchange->remoteAddress() << " refused: " << why.text);
    m_metrics.onProblem(why.kind);
    co_await exchange->respond(problemAnswer(why, base::run_state::unknown));
}

asio::awaitable<void> caller_api::serve(std::shared_ptr<net::http_exchange> exchange)
{
    const std::string_view target(exchange->request().target().data(), exchange->request().target().size());
    const std::string_view path = target.substr(0, target.find('?'));
    if (!isNormalizedPath(path)) {
        co_await refuse(exchange, base::error_kind::badRequest, "the path is not normalized");
        co_return;
    }
    if (path == "/v1/models") {
        co_await serveModelList(exchange);
    } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
        co_await serveInference(exchange, path);
    } else {
        co_await serveRoute(exchange, path);
    }
}

asio::awaitable<void> caller_api::serveInference(std::shared_ptr<net::http_exchange> exchange, std::string_view path)
{
    const net::http_request &request = exchange->request();
    if (request.method() != http::verb::post) {
        co_await refuse(exchange, base::error_kind::unknownRoute, "this path accepts only POST");
        co_return;
    }
    inference_request_reader reader;
    const std::optional<inference_request> inference = reader.read(request.body());
    if (!inference) {
        co_await refuse(exchange, reader.lastReason().kind, reader.lastReason().text);
        co_return;
    }
    const model_target *const target = m_catalog.findModel(inference->model);
    if (!target) {
        co_await refuse(exchange, base::error_kind::unknownModel, "no service declares the model \"" + inference->model + '"');
        co_return;
    }
    request_attributes_reader attributesReader;
    const std::optional<request_attributes> attributes =
        attributesReader.read(request, {target->policy.highestUrgency, target->policy.defaultUrgency, target->policy.deadline});
    if (!attributes) {
        co_await refuse(exchange, attributesReader.lastReason().kind, attributesReader.lastReason().text);
        co_return;
    }
    forwarding_plan plan;
    plan.inference = true;
    plan.facts.pool = target->pool;
    plan.facts.account = attributes->account;
    plan.facts.urgency = attributes->urgency;
    plan.facts.deadline = attributes->deadline;
    plan.facts.promptTokens = inference->promptTokens;
    plan.facts.maxTokens = inference->maxTokens;
    plan.facts.prefixHash = inference->prefix;
    plan.facts.fingerprint = fingerprintOf(attributes->account, path, target->pool, request.body());
    co_await m_forwarder.forward(exchange, std::move(plan));
}

asio::awaitable<void> caller_api::serveModelList(std::shared_ptr<net::http_exchange> exchange)
{
    if (exchange->request().method() != http::verb::get) {
        co_await refuse(exchange, base::error_kind::unknownRoute, "this path accepts only GET");
        co_return;
    }
    boost::json::array data;
    for (const auto &[name, target] : m_catalog.models()) {
        data.push_back({{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", target.service.value()}});
    }
    net::http_response response(http::status::ok, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = boost::json::serialize(boost::json::object{{"object", "list"}, {"data", std::move(data)}}) + '\n';
    co_await exchange->respond(std::move(response));
}

asio::awaitable<void> caller_api::serveRoute(std::shared_ptr<net::http_exchange> exchange, std::string_view path)
{
    const net::http_request &request = exchange->request();
    const std::string_view method(request.method_string().data(), request.method_string().size());
    const route_target *const found = m_catalog.findRoute(method, path);
    if (!found) {
        co_await refuseUnknownRoute(exchange, "no declared route matches " + std::string(method) + ' ' + std::string(path));
        co_return;
    }
    const route_target target = *found;
    request_attributes_reader attributesReader;
    const std::optional<request_attributes> attributes = attributesReader.read(request, {target.route.urgency, target.route.urgency, target.route.deadline});
    if (!attributes) {
        co_await refuse(exchange, attributesReader.lastReason().kind, attributesReader.lastReason().text);
        co_return;
    }
    forwarding_plan plan;
    plan.facts.pool = target.pool;
    plan.facts.account = attributes->account;
    plan.facts.urgency = attributes->urgency;
    plan.facts.deadline = attributes->deadline;
    plan.facts.repeatable = target.route.repeatable;
    plan.facts.fingerprint = fingerprintOf(attributes->account, std::string(method) + ' ' + std::string(request.target()), target.pool, request.body());
    if (target.route.repeatable) {
        co_await m_forwarder.forward(exchange, std::move(plan));
    } else {
        co_await m_orderHandler.handle(exchange, target, std::move(plan));
    }
}

} // namespace chervilbend::node
