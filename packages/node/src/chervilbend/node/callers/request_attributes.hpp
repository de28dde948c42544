#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/base/work_class.hpp>
#include <chervilbend/net/http_types.hpp>

#include <optional>

namespace chervilbend::node
{

/// Account, urgency and deadline of a request.
struct request_attributes {
    base::account_id account;
    base::work_class urgency = base::work_class::normal;
    base::time_point deadline;
};

/// Limits and defaults that the declaration sets for a caller's requests.
struct request_limits {
    base::work_class highestUrgency = base::work_class::normal;
    base::work_class defaultUrgency = base::work_class::normal;
    base::milliseconds deadline{0};
};

/// Parses the header fields `X-Account`, `X-Priority` and `X-Deadline-Ms`.
class request_attributes_reader : public base::reason_holder
{
public:
    /// Values beyond the limits are reduced to them. An invalid value is an error: no result, and lastReason() gives the cause.
    std::optional<request_attributes> read(const net::http_request &request, const request_limits &limits);
};

} // namespace chervilbend::node
