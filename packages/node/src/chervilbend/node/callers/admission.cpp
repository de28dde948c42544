#include <chervilbend/node/callers/admission.hpp>

#include <chervilbend/node/callers/admitted_request.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::node
{

namespace
{
/// Lower bound of a wake-up delay, so that a director whose next wake-up lies in the past does not spin the event loop.
constexpr base::milliseconds minWakeupDelay{1};
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
    for (routing::dispatch &dispatched : m_director.takeDispatches()) {
        const auto found = m_waiting.find(dispatched.request);
        if (found == m_waiting.end()) {
            m_director.finish(dispatched.request, routing::request_outcome::cancelled);
            continue;
        }
        admitted_request *const request = found->second;
        m_waiting.erase(found);
        request->onDispatch(std::move(dispatched));
    }
    for (routing::refusal &refusal : m_director.takeRefusals()) {
        const auto found = m_waiting.find(refusal.request);
        if (found != m_waiting.end()) {
            admitted_request *const request = found->second;
            m_waiting.erase(found);
            request->onRefusal(std::move(refusal.why));
        }
    }
    scheduleWakeup();
}

void admission::refuseWaiting(const base::reason &why)
{
    for (const auto &[handle, request] : std::exchange(m_waiting, {})) {
        m_director.finish(handle, routing::request_outcome::cancelled);
        request->onRefusal(why);
    }
}

void admission::scheduleWakeup()
{
    const base::time_point next = m_director.nextWakeup();
    if (next == base::time_point::max() || (m_wakeupAt && *m_wakeupAt <= next)) {
        return;
    }
    m_wakeupAt = std::max(next, base::clock::now() + minWakeupDelay);
    m_timer.expires_at(*m_wakeupAt);
    m_timer.async_wait([weak = std::weak_ptr(m_self)](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error) {
            (*self)->m_wakeupAt.reset();
            (*self)->deliverDecisions();
        }
    });
}

} // namespace chervilbend::node
