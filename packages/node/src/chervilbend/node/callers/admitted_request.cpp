#include <chervilbend/node/callers/admitted_request.hpp>

#include <chervilbend/node/callers/admission.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::node
{

admitted_request::admitted_request(admission &gate)
    : m_admission(gate)
    , m_alive(gate.m_self)
{
}

admitted_request::~admitted_request()
{
    finish(routing::request_outcome::cancelled);
}

asio::awaitable<std::optional<routing::dispatch>> admitted_request::submit(routing::request_facts facts)
{
    base::reason why;
    const std::optional<routing::ticket> ticket = m_admission.m_director.submit(facts, why);
    if (!ticket) {
        m_admission.deliverDecisions();
        co_return fail(std::move(why));
    }
    m_ticket = *ticket;
    co_return co_await decision();
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
    co_return co_await decision();
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
    const routing::ticket ticket = std::exchange(m_ticket, 0);
    if (ticket != 0 && isConnected()) {
        m_admission.m_waiting.erase(ticket);
        m_admission.m_director.finish(ticket, outcome);
        m_admission.deliverDecisions();
    }
}

void admitted_request::onDispatch(routing::dispatch sent)
{
    m_sent = std::move(sent);
    if (m_wake) {
        m_wake->cancel();
    }
}

void admitted_request::onRefusal(base::reason why)
{
    m_ticket = 0;
    m_refused = std::move(why);
    if (m_wake) {
        m_wake->cancel();
    }
}

asio::awaitable<std::optional<routing::dispatch>> admitted_request::decision()
{
    m_sent.reset();
    m_refused.reset();
    m_admission.m_waiting.emplace(m_ticket, this);
    m_admission.deliverDecisions();
    if (!m_sent && !m_refused) {
        m_wake.emplace(m_admission.m_executor, net::distantFuture);
        co_await m_wake->async_wait(asio::as_tuple(asio::use_awaitable));
        m_wake.reset();
    }
    if (m_sent) {
        co_return std::exchange(m_sent, std::nullopt);
    }
    if (m_refused) {
        co_return fail(std::move(*m_refused));
    }
    finish(routing::request_outcome::cancelled);
    co_return fail(base::error_kind::internal, "the wait for a dispatch was cancelled");
}

} // namespace chervilbend::node
