#pragma once

#include <chervilbend/routing/account_quotas.hpp>

#include <memory>

namespace chervilbend::node
{

/// What a request was charged to its account's quota. It is given back at the end unless the request may have run.
class quota_charge
{
public:
    /// @p request must have been admitted.
    quota_charge(std::shared_ptr<routing::account_quotas> quotas, std::shared_ptr<routing::quota_request> request);
    ~quota_charge();
    quota_charge(const quota_charge &) = delete;
    quota_charge &operator=(const quota_charge &) = delete;

    /// The request is sent to an endpoint. Until the attempt has ended, it may have run.
    void startAttempt();
    void endAttempt(bool mayHaveRun);

private:
    std::shared_ptr<routing::account_quotas> m_quotas;
    std::shared_ptr<routing::quota_request> m_request;
    bool m_isBeingSent = false;
    bool m_mayHaveRun = false;
};

} // namespace chervilbend::node
