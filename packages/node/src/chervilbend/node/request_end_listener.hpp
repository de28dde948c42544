#pragma once

#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/node/reports/day_counters.hpp>
#include <chervilbend/routing/request_facts.hpp>

#include <optional>

namespace chervilbend::node
{

/// Is notified when a request ends.
class request_end_listener
{
public:
    virtual ~request_end_listener() = default;

    /// Called once per request. @p refusal is the kind of error if the request was refused, and has no value otherwise.
    virtual void requestEnded(const routing::request_facts &facts, request_result end, std::optional<base::error_kind> refusal) = 0;
};

} // namespace chervilbend::node
