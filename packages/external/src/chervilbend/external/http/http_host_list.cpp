#include <chervilbend/external/http/http_host_list.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/external/http/host_entry_json.hpp>
#include <chervilbend/external/http/internal/json_fields.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <set>
#include <string>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::external
{

namespace
{
constexpr int statusOk = 200;
constexpr std::size_t maxLoggedBytes = 200;
} // namespace

http_host_list::http_host_list(net::http_client &client, net::address address, http_adapter_options options)
    : m_client(client, options)
    , m_address(std::move(address))
{
}

asio::awaitable<std::optional<std::vector<host_entry>>> http_host_list::fetch()
{
    const std::optional<json_answer> answer = co_await m_client.get(m_address, "/hosts");
    if (!answer) {
        co_return fail(m_client.lastReason());
    }
    if (answer->status != statusOk) {
        co_return fail(base::error_kind::endpointFailed, "host list: status " + std::to_string(answer->status));
    }
    co_return parse(answer->body);
}

std::optional<std::vector<host_entry>> http_host_list::parse(const boost::json::object &body)
{
    const boost::json::array *const elements = arrayField(body, "hosts");
    if (!elements) {
        return fail(base::error_kind::endpointInvalidAnswer, "the host list's answer has no array \"hosts\"");
    }
    std::vector<host_entry> hosts;
    std::set<std::string> ids;
    for (const boost::json::value &element : *elements) {
        const boost::json::object *const object = element.if_object();
        std::optional<host_entry> host = object ? hostEntryFromJson(*object) : std::nullopt;
        if (!host) {
            LOG4CXX_WARN(base::partLogger("node"), "skipped an invalid host list entry: " << boost::json::serialize(element).substr(0, maxLoggedBytes));
            continue;
        }
        if (!ids.insert(host->id).second) {
            return fail(base::error_kind::endpointInvalidAnswer, "the host list contains the id " + host->id + " twice");
        }
        hosts.push_back(std::move(*host));
    }
    if (hosts.empty() && !elements->empty()) {
        return fail(base::error_kind::endpointInvalidAnswer, "no entry of the host list is valid");
    }
    return hosts;
}

} // namespace chervilbend::external
