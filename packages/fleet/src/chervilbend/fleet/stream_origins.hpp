#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason.hpp>
#include <chervilbend/fleet/stream_origin.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace chervilbend::fleet
{

/// Where the origin of a stream is known from, for the log.
enum class origin_source {
    unknown,
    /// The stream began, or went on, at this node.
    ownMemory,
    /// Only one version can have begun it.
    singleVersion,
    record,
};

std::string_view toString(origin_source source);

/// The result of a search for the software version that began a stream.
struct origin_lookup {
    /// Empty if it is not known.
    base::software_version version;
    origin_source source = origin_source::unknown;
    /// Why it is not known.
    base::reason why;
};

/// Knows which software version began a stream that a caller takes up again.
class stream_origins
{
public:
    virtual ~stream_origins() = default;

    /// The first event of the stream is about to go out to the caller, or the stream goes on at this node.
    virtual void noteBegun(const stream_origin &origin) = 0;
    /// The answer that carried the stream has ended. The caller of an incomplete one is about to come back, at any node.
    virtual void noteEnded(std::uint64_t stream, bool isComplete) = 0;

    /// @p stream has no value if the caller has not named it. Returns by @p until.
    virtual boost::asio::awaitable<origin_lookup> find(base::service_id service, std::optional<std::uint64_t> stream, base::time_point until) = 0;
};

} // namespace chervilbend::fleet
