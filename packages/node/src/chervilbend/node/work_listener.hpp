#pragma once

#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/node/reports/day_counters.hpp>
#include <chervilbend/routing/request_facts.hpp>

#include <optional>

namespace chervilbend::node
{

/// Is told how each request ended.
class work_listener
{
public:
    virtual ~work_listener() = default;

    /// @p refusal is the kind of error of a refused request.
    virtual void workEnded(const routing::request_facts &facts, request_result end, std::optional<base::error_kind> refusal) = 0;
};

} // namespace chervilbend::node
