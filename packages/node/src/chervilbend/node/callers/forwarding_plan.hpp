#pragma once

#include <chervilbend/routing/request_facts.hpp>

#include <string>

namespace chervilbend::node
{

/// How one request is to be forwarded.
struct forwarding_plan {
    routing::request_facts facts;
    /// The endpoint is a model engine: a stream is whole only when it ends with "[DONE]", and tokens are counted.
    bool inference = false;
    /// Passed on as `Idempotency-Key`; empty for none.
    std::string idempotencyKey;
};

} // namespace chervilbend::node
