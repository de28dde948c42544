#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/node/callers/event_scanner.hpp>

#include <memory>

namespace chervilbend::net
{
class http_client_stream;
}

namespace chervilbend::node
{

/// A stream whose endpoint has fallen silent after it had begun. It is kept while other endpoints are asked to continue it, and goes on if none does.
struct kept_response {
    std::shared_ptr<net::http_client_stream> answer;
    base::endpoint_id endpoint;
    base::software_version softwareVersion;
    /// With the part of an event that has come.
    event_scanner events;
    /// When its latest part came.
    base::time_point lastPartAt;
};

} // namespace chervilbend::node
