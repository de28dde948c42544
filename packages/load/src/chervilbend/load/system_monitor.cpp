#include <chervilbend/load/system_monitor.hpp>

#include <chervilbend/load/history_json.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <thread>
#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace chervilbend::load
{

namespace
{

constexpr base::milliseconds pollInterval{200};
/// Short, so that a paused node delays the polling of the others only briefly.
constexpr base::milliseconds requestTimeout{300};

std::int64_t numberAt(const json::value &value, const char *pointer)
{
    json::error_code error;
    const json::value *const found = value.find_pointer(pointer, error);
    return found && found->is_int64() ? found->get_int64() : 0;
}

json::value parsed(const std::string &text)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    return error ? json::value() : value;
}

asio::awaitable<void> fetch(net::address address, std::string path, std::string &body)
{
    net::http_client client;
    net::http_send_options options;
    options.connectTimeout = requestTimeout;
    options.answerTimeout = requestTimeout;
    options.freshConnection = true;
    net::http_request request(http::verb::get, path, 11);
    const std::optional<net::http_response> response = co_await client.send(address, std::move(request), options);
    if (response && response->result() == http::status::ok) {
        body = response->body();
    }
}

} // namespace

system_monitor::system_monitor(monitor_options options, ctl::node_client &caller, history_writer &history)
    : m_options(std::move(options))
    , m_caller(caller)
    , m_history(history)
{
}

void system_monitor::run(const volatile bool &stopped)
{
    while (!stopped) {
        readEngines();
        readServices();
        readNodes();
        std::this_thread::sleep_for(pollInterval);
    }
}

std::string system_monitor::get(const net::address &address, const std::string &path)
{
    std::string body;
    asio::io_context context;
    asio::co_spawn(context, fetch(address, path, body), asio::detached);
    context.run();
    return body;
}

void system_monitor::readEngines()
{
    for (const auto &[id, address] : m_options.engines) {
        const std::string body = get(address, "/engine/counts");
        if (!body.empty()) {
            const json::value counts = parsed(body);
            const std::int64_t now = base::clock::wallNow().count();
            m_history.write(toLine(memory_sample{id, now, numberAt(counts, "/highestBytes"), numberAt(counts, "/memoryBytes")}));
            m_history.write(toLine(request_count_sample{id, now, numberAt(counts, "/requests")}));
        }
    }
}

void system_monitor::readServices()
{
    for (const auto &[id, address] : m_options.services) {
        const std::string body = get(address, "/runs");
        if (!body.empty()) {
            m_history.write(toLine(request_count_sample{id, base::clock::wallNow().count(), numberAt(parsed(body), "/total")}));
        }
    }
}

void system_monitor::readNodes()
{
    for (const monitor_options::node &node : m_options.nodes) {
        version_sample sample;
        sample.node = toString(node.peerAddress);
        sample.requestedMs = base::clock::wallNow().count();
        // A node that is not ready serves no requests, so its configuration is not in force.
        if (get(node.callerAddress, "/readyz").empty()) {
            continue;
        }
        const auto status = m_caller.call(node.peerAddress, "status", Json::Value(Json::objectValue), requestTimeout);
        if (!status || !(*status)["services"].isArray()) {
            continue;
        }
        for (const Json::Value &service : (*status)["services"]) {
            sample.services[service["service"].asString()] = service["version"].asInt64();
        }
        sample.atMs = base::clock::wallNow().count();
        m_history.write(toLine(sample));
    }
}

void system_monitor::writeRuns()
{
    for (const auto &[id, address] : m_options.services) {
        const json::value response = parsed(get(address, "/runs"));
        json::error_code error;
        const json::value *const runs = response.find_pointer("/runs", error);
        if (!runs || !runs->is_object()) {
            continue;
        }
        std::map<std::string, std::int64_t> counts;
        for (const auto &[key, count] : runs->get_object()) {
            counts[std::string(key)] = count.is_int64() ? count.get_int64() : 0;
        }
        m_history.write(toRunsLine(counts));
    }
}

} // namespace chervilbend::load
