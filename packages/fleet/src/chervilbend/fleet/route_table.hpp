#pragma once

#include <chervilbend/fleet/account_directory.hpp>
#include <chervilbend/fleet/traffic_configuration.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::fleet
{

/// Finds the route and the account of a request in one version of the configuration.
class route_table
{
public:
    explicit route_table(std::shared_ptr<const traffic_configuration> configuration);

    /// The route of @p host with the longest prefix of @p path; nullptr when there is none.
    const route_rule *find(std::string_view host, std::string_view path) const;

    /// nullptr if the configuration has no accounts.
    const account_directory *accounts() const
    {
        return m_accounts ? &*m_accounts : nullptr;
    }

    const traffic_configuration &configuration() const
    {
        return *m_configuration;
    }

private:
    std::shared_ptr<const traffic_configuration> m_configuration;
    std::optional<account_directory> m_accounts;
    std::map<std::string, std::map<std::string, const route_rule *, std::less<>>, std::less<>> m_byHost;
};

/// Selects the service for a request by the weights of the route's shares; the same @p key always gives the same service. nullptr when no share
/// has a positive weight.
const base::service_id *chooseService(const route_rule &route, std::string_view key);

} // namespace chervilbend::fleet
