#include <chervilbend/node/callers/admission.hpp>

#include <chervilbend/node/callers/admitted_request.hpp>

#include <algorithm>

namespace chervilbend::node
{

namespace
{
/// A director whose next wake-up lies in the past must not spin the event loop.
constexpr base::milliseconds shortestWait{1};
} // namespace

admission::admission(const boost::asio::any_io_executor &executor, routing::traffic_director &director)
    : m_executor(executor)
    , m_director(director)
    , m_timer(executor)
    , m_self(std::make_shared<admission *>(this))
{
}

admission::~admission() = default;

void admission::deliverDecisions()
{
    for (routing::dispatch &sent : m_director.takeDispatches()) {
        const auto found = m_waiting.find(sent.request);
        if (found == m_waiting.end()) {
            m_director.finish(sent.request, routing::request_outcome::cancelled);
            continue;
        }
        admitted_request *const request = found->second;
        m_waiting.erase(found);
        request->onDispatch(std::move(sent));
    }
    for (routing::refusal &refused : m_director.takeRefusals()) {
        const auto found = m_waiting.find(refused.request);
        if (found != m_waiting.end()) {
            admitted_request *const request = found->second;
            m_waiting.erase(found);
            request->onRefusal(std::move(refused.why));
        }
    }
    arm();
}

void admission::arm()
{
    const base::time_point next = m_director.nextWakeup();
    if (next == base::time_point::max() || (m_armedFor && *m_armedFor <= next)) {
        return;
    }
    m_armedFor = std::max(next, base::clock::now() + shortestWait);
    m_timer.expires_at(*m_armedFor);
    m_timer.async_wait([weak = std::weak_ptr(m_self)](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error) {
            (*self)->m_armedFor.reset();
            (*self)->deliverDecisions();
        }
    });
}

} // namespace chervilbend::node
