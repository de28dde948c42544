#include <chervilbend/measure/simulation/order_service.hpp>

#include <chervilbend/net/sleep.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::measure
{

namespace
{

constexpr double refusedProbability = 0.05;
constexpr double lostAnswerProbability = 0.05;

} // namespace

order_service::order_service(std::uint64_t seed, order_history &history)
    : m_random(seed)
    , m_history(history)
{
}

asio::awaitable<control::order_answer> order_service::dispatch(std::string key, int attempt)
{
    control::order_answer answer;
    co_await net::sleepFor(base::milliseconds(m_random.between(1, 20)));
    if (m_random.chance(refusedProbability)) {
        answer.state = base::run_state::notRun;
        answer.kind = base::error_kind::endpointRefused;
        co_return answer;
    }
    const base::milliseconds delay(m_random.between(0, 400));
    m_pending.emplace(base::clock::now() + delay, pending_order{key, attempt});
    co_await net::sleepFor(delay + base::milliseconds(m_random.between(20, 40)));
    if (m_random.chance(lostAnswerProbability)) {
        answer.kind = base::error_kind::endpointFailed;
        co_return answer;
    }
    answer.state = base::run_state::ran;
    answer.httpStatus = 201;
    answer.contentType = "text/plain";
    answer.body = "done " + key;
    co_return answer;
}

void order_service::runDueOrders()
{
    while (!m_pending.empty() && m_pending.begin()->first <= base::clock::now()) {
        const auto due = m_pending.extract(m_pending.begin());
        m_history.addRan(due.mapped().key, due.mapped().attempt);
    }
}

} // namespace chervilbend::measure
