#include <chervilbend/fakes/servers/log_server.hpp>

#include <chervilbend/external/http/log_page_json.hpp>
#include <chervilbend/net/http_exchange.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace chervilbend::fakes
{

namespace
{
constexpr std::int64_t maxWaitMs = 30'000;
constexpr std::size_t maxStreams = 64;
} // namespace

log_server::log_server(log_store_options options)
    : m_options(options)
{
    // The server closes the connection at once to simulate a lost response.
    m_faults.answerTimeout = base::milliseconds(0);
    m_faultRegistry.addFlag("outage", m_faults.outage);
    m_faultRegistry.addTime("delayMs", m_faults.delay);
    m_faultRegistry.addShare("lostAnswers", m_faults.lostAnswers);
    m_faultRegistry.addShare("lostAppends", m_faults.lostAppends);
    m_faultRegistry.addShare("lateAppends", m_faults.lateAppends);
    m_faultRegistry.addTime("lateByMs", m_faults.lateBy);
    m_faultRegistry.onChange([this] {
        for (const auto &[name, entry] : m_streams) {
            entry.store->setFaults(m_faults);
        }
    });
}

asio::awaitable<void> log_server::serve(std::shared_ptr<net::http_exchange> exchange, request_target target)
{
    const std::vector<std::string> &segments = target.segments();
    if (segments.size() != 3 || segments[0] != "streams" || segments[2] != "records") {
        co_await respondError(exchange, http::status::not_found, "unknown path; only /streams/STREAM/records exists");
        co_return;
    }
    if (m_streams.size() >= maxStreams && m_streams.count(segments[1]) == 0) {
        co_await respondError(exchange, http::status::not_found, "the maximum number of streams is reached");
        co_return;
    }
    if (exchange->request().method() == http::verb::post) {
        co_await append(exchange, segments[1]);
    } else if (exchange->request().method() == http::verb::get) {
        co_await read(exchange, segments[1], target);
    } else {
        co_await respondError(exchange, http::status::method_not_allowed, "method not allowed; use GET or POST");
    }
}

log_server::stream &log_server::findOrCreateStream(const std::string &name)
{
    const auto found = m_streams.find(name);
    if (found != m_streams.end()) {
        return found->second;
    }
    stream created;
    created.store = std::make_shared<log_store>(m_options);
    created.store->setFaults(m_faults);
    created.service = std::make_unique<in_process_log_service>(created.store);
    return m_streams.emplace(name, std::move(created)).first->second;
}

asio::awaitable<void> log_server::append(std::shared_ptr<net::http_exchange> exchange, std::string name)
{
    in_process_log_service &service = *findOrCreateStream(name).service;
    const external::append_result result = co_await service.append(exchange->request().body());
    if (result.status == external::append_status::refused) {
        co_await respondError(exchange, http::status::service_unavailable, service.lastReason().text);
    } else if (result.status == external::append_status::accepted) {
        boost::json::object body{{"offset", result.offset.count()}};
        co_await respond(exchange, http::status::ok, std::move(body));
    }
}

asio::awaitable<void> log_server::read(std::shared_ptr<net::http_exchange> exchange, std::string name, request_target target)
{
    const std::optional<std::int64_t> after = target.integerParameter("after", 0);
    const std::optional<std::int64_t> waitMs = target.integerParameter("waitMs", 0);
    if (!after || !waitMs) {
        co_await respondError(exchange, http::status::bad_request, "after and waitMs must be whole numbers from 0");
        co_return;
    }
    in_process_log_service &service = *findOrCreateStream(name).service;
    const base::milliseconds wait(std::min(*waitMs, maxWaitMs));
    const std::optional<external::log_page> page = co_await service.read(base::log_offset(*after), wait);
    if (page) {
        co_await respond(exchange, http::status::ok, external::toJson(*page));
    } else {
        co_await respondError(exchange, http::status::service_unavailable, service.lastReason().text);
    }
}

} // namespace chervilbend::fakes
