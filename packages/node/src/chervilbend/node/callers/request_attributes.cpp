#include <chervilbend/node/callers/request_attributes.hpp>

#include <chervilbend/config/work_class_name.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>

namespace chervilbend::node
{

namespace
{

constexpr std::size_t maxAccountLength = 128;

std::string_view headerOf(const net::http_request &request, std::string_view name)
{
    const auto found = request.find(boost::beast::string_view(name.data(), name.size()));
    return found == request.end() ? std::string_view() : std::string_view(found->value().data(), found->value().size());
}

} // namespace

std::optional<request_attributes> request_attributes_reader::read(const net::http_request &request, const request_limits &limits)
{
    request_attributes attributes;
    const std::string_view account = headerOf(request, "X-Account");
    if (account.size() > maxAccountLength) {
        return fail(base::error_kind::badRequest, "X-Account is longer than 128 characters");
    }
    attributes.account = base::account_id(account.empty() ? "default" : std::string(account));

    const std::string_view priority = headerOf(request, "X-Priority");
    const std::optional<base::work_class> requested = priority.empty() ? limits.defaultUrgency : config::parseWorkClass(priority);
    if (!requested) {
        return fail(base::error_kind::badRequest, "X-Priority must be urgent, normal or batch");
    }
    attributes.urgency = std::max(*requested, limits.highestUrgency);

    base::milliseconds timeout = limits.deadline;
    const std::string_view deadline = headerOf(request, "X-Deadline-Ms");
    if (!deadline.empty()) {
        std::int64_t count = 0;
        const auto [end, error] = std::from_chars(deadline.data(), deadline.data() + deadline.size(), count);
        if (error != std::errc{} || end != deadline.data() + deadline.size() || count <= 0) {
            return fail(base::error_kind::badRequest, "X-Deadline-Ms is not a positive integer");
        }
        timeout = std::min(timeout, base::milliseconds(count));
    }
    attributes.deadline = base::clock::now() + timeout;
    return attributes;
}

} // namespace chervilbend::node
