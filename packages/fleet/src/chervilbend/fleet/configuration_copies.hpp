#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/fleet/traffic_configuration.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace chervilbend::fleet
{

/// A copy of the configuration that was read from the store.
struct configuration_copy {
    traffic_configuration configuration;
    /// The operators' record, as it is written to other copies.
    std::string record;
};

/// Copies of the operators' configuration, which this system keeps in several places of the platform's store: a part of the store may be unavailable, and the
/// operators' own record is in one place only.
class configuration_copies : public base::reason_holder
{
public:
    virtual ~configuration_copies() = default;

    /// Number of copies; 0 if none are kept.
    virtual int count() const = 0;
    /// The copy at an index below count(); no value if it can't be read, or was never written.
    virtual boost::asio::awaitable<std::optional<configuration_copy>> read(int index) = 0;
    /// False with a last reason if it is not certain that the copy was written.
    virtual boost::asio::awaitable<bool> write(int index, std::string record) = 0;
};

} // namespace chervilbend::fleet
