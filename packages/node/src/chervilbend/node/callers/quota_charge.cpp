#include <chervilbend/node/callers/quota_charge.hpp>

#include <utility>

namespace chervilbend::node
{

quota_charge::quota_charge(std::shared_ptr<routing::account_quotas> quotas, std::shared_ptr<routing::quota_request> request)
    : m_quotas(std::move(quotas))
    , m_request(std::move(request))
{
}

quota_charge::~quota_charge()
{
    if (!m_isBeingSent && !m_mayHaveRun) {
        m_quotas->refund(*m_request);
    }
}

void quota_charge::startAttempt()
{
    m_isBeingSent = true;
}

void quota_charge::endAttempt(bool mayHaveRun)
{
    m_isBeingSent = false;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
}

} // namespace chervilbend::node
