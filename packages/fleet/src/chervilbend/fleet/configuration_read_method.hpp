#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/configuration_answer_limiter.hpp>
#include <chervilbend/peers/rpc_method.hpp>

namespace chervilbend::fleet
{

class configuration_follower;

inline constexpr const char *configurationReadMethodName = "configuration.read";

/// Answers a node that cannot read the store with the configuration in force here, from memory, if that is newer. Any node answers it.
class configuration_read_method : public peers::rpc_method
{
public:
    /// @p configuration must outlive the method. @p linkMegabits is the rate of this host's link in Mbit/s.
    configuration_read_method(base::node_id node, const configuration_follower &configuration, double linkMegabits);

    std::string name() const override;
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    base::node_id m_node;
    const configuration_follower &m_configuration;
    configuration_answer_limiter m_limiter;
};

} // namespace chervilbend::fleet
