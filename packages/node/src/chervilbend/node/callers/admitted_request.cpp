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
    const std::optional<routing::request_handle> handle = m_admission.m_director.submit(facts, why);
    if (!handle) {
        m_admission.deliverDecisions();
        co_return fail(std::move(why));
    }
    m_handle = *handle;
    co_return co_await waitForDecision();
}

asio::awaitable<std::optional<routing::dispatch>> admitted_request::retry(routing::request_outcome outcome)
{
    base::reason why;
    const bool queued = m_admission.m_director.retry(m_handle, outcome, why);
    if (!queued) {
        m_handle = 0;
        m_admission.deliverDecisions();
        co_return fail(std::move(why));
    }
    co_return co_await waitForDecision();
}

bool admitted_request::allowsRetry() const
{
    return m_handle != 0 && m_admission.m_director.allowsRetry(m_handle);
}

void admitted_request::noteAnswer(const routing::endpoint_notice &notice)
{
    if (m_handle != 0) {
        m_admission.m_director.noteAnswer(m_handle, notice);
    }
}

void admitted_request::bindToVersion()
{
    if (m_handle != 0) {
        m_admission.m_director.bindToVersion(m_handle);
    }
}

void admitted_request::firstByte()
{
    if (m_handle != 0) {
        m_admission.m_director.firstByte(m_handle);
    }
}

void admitted_request::progress(base::token_count generated)
{
    if (m_handle != 0) {
        m_admission.m_director.progress(m_handle, generated);
    }
}

void admitted_request::finish(routing::request_outcome outcome)
{
    const routing::request_handle handle = std::exchange(m_handle, 0);
    if (handle != 0 && isConnected()) {
        m_admission.m_waiting.erase(handle);
        m_admission.m_director.finish(handle, outcome);
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
    m_handle = 0;
    m_refusal = std::move(why);
    if (m_decisionTimer) {
        m_decisionTimer->cancel();
    }
}

asio::awaitable<std::optional<routing::dispatch>> admitted_request::waitForDecision()
{
    m_dispatch.reset();
    m_refusal.reset();
    m_admission.m_waiting.emplace(m_handle, this);
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
