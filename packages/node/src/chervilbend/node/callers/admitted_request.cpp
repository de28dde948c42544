#include <chervilbend/node/callers/admitted_request.hpp>

#include <chervilbend/node/callers/admission.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::node
{

admitted_request::admitted_request(admission &requestAdmission)
    : m_admission(requestAdmission)
    , m_alive(requestAdmission.m_self)
{
}

admitted_request::~admitted_request()
{
    finish(routing::request_outcome::cancelled);
}

asio::awaitable<std::optional<routing::dispatch>> admitted_request::submit(routing::request_facts facts)
{
    base::reason why;
    const std::optional<routing::request_handle> ticket = m_admission.m_director.submit(facts, why);
    if (!ticket) {
        m_admission.deliverDecisions();
        co_return fail(std::move(why));
    }
    m_ticket = *ticket;
    co_return co_await waitForDecision();
}

asio::awaitable<std::optional<routing::dispatch>> admitted_request::retry(routing::request_outcome outcome)
{
    base::reason why;
    const bool queued = m_admission.m_director.retry(m_ticket, outcome, why);
    if (!queued) {
        m_ticket = 0;
        m_admission.deliverDecisions();
        co_return fail(std::move(why));
    }
    co_return co_await waitForDecision();
}

bool admitted_request::allowsRetry() const
{
    return m_ticket != 0 && m_admission.m_director.allowsRetry(m_ticket);
}

void admitted_request::firstByte()
{
    if (m_ticket != 0) {
        m_admission.m_director.firstByte(m_ticket);
    }
}

void admitted_request::progress(base::token_count generated)
{
    if (m_ticket != 0) {
        m_admission.m_director.progress(m_ticket, generated);
    }
}

void admitted_request::finish(routing::request_outcome outcome)
{
    const routing::request_handle ticket = std::exchange(m_ticket, 0);
    if (ticket != 0 && isConnected()) {
        m_admission.m_waiting.erase(ticket);
        m_admission.m_director.finish(ticket, outcome);
        m_admission.deliverDecisions();
    }
}

void admitted_request::onDispatch(routing::dispatch dispatched)
{
    m_dispatch = std::move(dispatched);
    if (m_decisionTimer) {
        m_decisionTimer->cancel();
    }
}

void admitted_request::onRefusal(base::reason why)
{
    m_ticket = 0;
    m_refusal = std::move(why);
    if (m_decisionTimer) {
        m_decisionTimer->cancel();
    }
}

asio::awaitable<std::optional<routing::dispatch>> admitted_request::waitForDecision()
{
    m_dispatch.reset();
    m_refusal.reset();
    m_admission.m_waiting.emplace(m_ticket, this);
    m_admission.deliverDecisions();
    if (!m_dispatch && !m_refusal) {
        m_decisionTimer.emplace(m_admission.m_executor, net::distantFuture);
        co_await m_decisionTimer->async_wait(asio::as_tuple(asio::use_awaitable));
        m_decisionTimer.reset();
    }
    if (m_dispatch) {
        co_return std::exchange(m_dispatch, std::nullopt);
    }
    if (m_refusal) {
        co_return fail(std::move(*m_refusal));
    }
    finish(routing::request_outcome::cancelled);
    co_return fail(base::error_kind::internal, "the request was cancelled while waiting for its dispatch");
}

} // namespace chervilbend::node
