#include <chervilbend/measure/simulation/order_history.hpp>

namespace chervilbend::measure
{

void order_history::addStarted(const std::string &key, int attempt)
{
    m_events.push_back({event_kind::started, key, attempt});
}

void order_history::addAnswered(const std::string &key, int attempt, base::run_state state)
{
    m_events.push_back({event_kind::answered, key, attempt, state});
}

void order_history::addRan(const std::string &key, int attempt)
{
    m_events.push_back({event_kind::ran, key, attempt});
}

const std::vector<order_history::event> &order_history::events() const
{
    return m_events;
}

} // namespace chervilbend::measure
