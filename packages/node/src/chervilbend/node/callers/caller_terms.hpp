#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/base/work_class.hpp>
#include <chervilbend/net/http_types.hpp>

#include <optional>

namespace chervilbend::node
{

/// On whose behalf and how urgently a request is to be served.
struct caller_terms {
    base::account_id account;
    base::work_class urgency = base::work_class::normal;
    base::time_point deadline;
};

/// What the declaration allows a caller to ask for.
struct caller_bounds {
    base::work_class highestUrgency = base::work_class::normal;
    base::work_class defaultUrgency = base::work_class::normal;
    base::milliseconds deadline{0};
};

/// Reads `X-Account`, `X-Priority` and `X-Deadline-Ms`.
class caller_terms_reader : public base::reason_holder
{
public:
    /// Asking for more than the bounds allow gives the bound; a value that is none gives no terms.
    std::optional<caller_terms> read(const net::http_request &request, const caller_bounds &bounds);
};

} // namespace chervilbend::node
