#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/net/change_signal.hpp>
#include <chervilbend/node/callers/quota_charge.hpp>
#include <chervilbend/routing/account_quotas.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace chervilbend::node
{

/// Charges requests to the quotas of their accounts, and lets them wait while the allocator is asked for a grant.
class quota_admission
{
public:
    explicit quota_admission(std::shared_ptr<routing::account_quotas> quotas);

    /// The request as decided: admitted or refused.
    boost::asio::awaitable<std::shared_ptr<routing::quota_request>> charge(base::account_id account, double cost);

    const std::shared_ptr<routing::account_quotas> &quotas() const
    {
        return m_quotas;
    }

private:
    std::shared_ptr<routing::account_quotas> m_quotas;
    net::change_signal m_decided;
};

} // namespace chervilbend::node
