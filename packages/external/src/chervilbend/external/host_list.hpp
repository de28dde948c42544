#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/external/host_entry.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace chervilbend::external
{

/// The platform's list of live and draining hosts. It may be out of date.
class host_list : public base::reason_holder
{
public:
    virtual ~host_list() = default;

    virtual boost::asio::awaitable<std::optional<std::vector<host_entry>>> fetch() = 0;
};

} // namespace chervilbend::external
