#include <chervilbend/node/callers/quota_admission.hpp>

#include <chervilbend/base/clock.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

/// A caller is better told to come back than kept waiting. Longer than an exchange may take (50 ms until it begins, 300 ms until it is given up): the node
/// decides by its share then.
constexpr base::milliseconds longestWait{450};

/// Gives the request up if the task that waits for it ends before, for example because its caller has left.
class waiting_request
{
public:
    waiting_request(routing::account_quotas &quotas, routing::quota_request &request)
        : m_quotas(quotas)
        , m_request(request)
    {
    }

    ~waiting_request()
    {
        m_quotas.abandon(m_request);
    }

    waiting_request(const waiting_request &) = delete;
    waiting_request &operator=(const waiting_request &) = delete;

private:
    routing::account_quotas &m_quotas;
    routing::quota_request &m_request;
};

} // namespace

quota_admission::quota_admission(std::shared_ptr<routing::account_quotas> quotas)
    : m_quotas(std::move(quotas))
{
    m_quotas->onDecision([this] { m_decided.notify(); });
}

asio::awaitable<std::shared_ptr<routing::quota_request>> quota_admission::charge(base::account_id account, double cost)
{
    const std::shared_ptr<routing::quota_request> request = m_quotas->charge(account, cost);
    if (request->decision != routing::quota_decision::waiting) {
        co_return request;
    }
    const waiting_request waiting(*m_quotas, *request);
    const base::time_point until = base::clock::now() + longestWait;
    while (request->decision == routing::quota_decision::waiting && base::clock::now() < until) {
        co_await m_decided.wait(until);
    }
    m_quotas->abandon(*request);
    co_return request;
}

} // namespace chervilbend::node
