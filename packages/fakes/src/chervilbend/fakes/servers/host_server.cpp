#include <chervilbend/fakes/servers/host_server.hpp>

#include <chervilbend/external/http/host_entry_json.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace chervilbend::fakes
{

host_server::host_server(base::milliseconds lag)
    : m_lag(lag)
    , m_directory(lag)
{
    m_faultRegistry.addFlag("outage", m_outage);
    m_faultRegistry.addTime("lagMs", m_lag);
    m_faultRegistry.addTime("delayMs", m_delay);
    m_faultRegistry.onChange([this] { m_directory.setLag(m_lag); });
}

bool host_server::load(const std::string &document)
{
    json::error_code error;
    const json::value parsed = json::parse(document, error);
    const json::object *const object = error ? nullptr : parsed.if_object();
    const json::value *const hosts = object ? object->if_contains("hosts") : nullptr;
    if (!hosts || !hosts->is_array()) {
        return false;
    }
    for (const json::value &element : hosts->get_array()) {
        const std::optional<external::host_entry> host = element.is_object() ? external::hostEntryFromJson(element.get_object()) : std::nullopt;
        if (!host) {
            return false;
        }
        m_directory.set(*host);
    }
    return true;
}

asio::awaitable<void> host_server::serve(std::shared_ptr<net::http_exchange> exchange, request_target target)
{
    if (target.segments().empty() || target.segments()[0] != "hosts" || target.segments().size() > 2) {
        co_await respondError(exchange, http::status::not_found, "unknown path; only /hosts and /hosts/ID exist");
        co_return;
    }
    if (target.segments().size() == 2) {
        co_await changeHost(exchange, target.segments()[1]);
        co_return;
    }
    if (m_delay.count() > 0) {
        co_await net::sleepFor(m_delay);
    }
    if (m_outage) {
        co_await respondError(exchange, http::status::service_unavailable, "the host list is unavailable");
        co_return;
    }
    json::array hosts;
    for (const external::host_entry &host : m_directory.delayedHosts()) {
        hosts.push_back(external::toJson(host));
    }
    json::object body{{"hosts", std::move(hosts)}};
    co_await respond(exchange, http::status::ok, std::move(body));
}

asio::awaitable<void> host_server::changeHost(std::shared_ptr<net::http_exchange> exchange, std::string id)
{
    if (exchange->request().method() == http::verb::delete_) {
        m_directory.remove(id);
    } else if (exchange->request().method() == http::verb::put) {
        const std::optional<json::object> body = parseBody(exchange->request());
        const std::optional<external::host_entry> host = body ? external::hostEntryFromJson(*body) : std::nullopt;
        if (!host || host->id != id) {
            co_await respondError(exchange, http::status::bad_request, "the body is not a valid entry for " + id);
            co_return;
        }
        m_directory.set(*host);
    } else {
        co_await respondError(exchange, http::status::method_not_allowed, "method not allowed; use PUT or DELETE");
        co_return;
    }
    co_await respond(exchange, http::status::ok, {});
}

} // namespace chervilbend::fakes
