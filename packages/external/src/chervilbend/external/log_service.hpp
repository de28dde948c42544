#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/base/units.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace chervilbend::external
{

enum class append_status {
    accepted,
    /// The service reported that it did not append the record.
    refused,
    /// No answer: the record may or may not be in the log, now or later.
    unknown,
};

struct append_result {
    append_status status = append_status::unknown;
    /// Set when accepted.
    base::log_offset offset;
};

struct log_record {
    base::log_offset offset;
    std::string payload;
};

/// Consecutive records of the log.
struct log_page {
    std::vector<log_record> records;
    /// Offset of the oldest retained record; records between the requested offset and this one have expired.
    base::log_offset firstRetained;
    /// Offset of the newest record at the time of the read; 0 for an empty log.
    base::log_offset head;
};

/// The platform's append-only log. Offsets start at 1 and increase.
class log_service : public base::reason_holder
{
public:
    virtual ~log_service() = default;

    virtual boost::asio::awaitable<append_result> append(std::string payload) = 0;

    /// Reads the records after @p after, waiting up to @p wait for the first one. The page is empty when none arrived. No value when the service is
    /// unavailable.
    virtual boost::asio::awaitable<std::optional<log_page>> read(base::log_offset after, base::milliseconds wait) = 0;
};

} // namespace chervilbend::external
