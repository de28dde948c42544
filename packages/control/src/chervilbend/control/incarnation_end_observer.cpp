#include <chervilbend/control/incarnation_end_observer.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/control/entry_sink.hpp>
#include <chervilbend/net/sleep.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::control
{

namespace
{

constexpr base::milliseconds interval{1'000};
const log4cxx::LoggerPtr logger = base::partLogger("place");

} // namespace

incarnation_end_observer::incarnation_end_observer(const state::replicated_state &state,
                                                   const membership::member_table &members,
                                                   std::function<bool()> isPlanner,
                                                   entry_sink &sink,
                                                   base::milliseconds unlistedFor)
    : m_state(state)
    , m_members(members)
    , m_isPlanner(std::move(isPlanner))
    , m_sink(sink)
    , m_unlistedFor(unlistedFor)
{
}

asio::awaitable<void> incarnation_end_observer::run()
{
    while (true) {
        observe();
        co_await net::sleepFor(interval);
    }
}

void incarnation_end_observer::observe()
{
    const base::time_point now = base::clock::now();
    std::map<node_life, base::time_point> endedSince;
    for (const node_life &former : quarantining()) {
        if (!hasSuccessor(former) && !isGone(former)) {
            continue;
        }
        const auto known = m_endedSince.find(former);
        const base::time_point since = known == m_endedSince.end() ? now : known->second;
        endedSince[former] = since;
        if (now - since < patienceFor(former) || !m_isPlanner()) {
            continue;
        }
        LOG4CXX_INFO(logger, "Life " << former.second << " of node " << former.first << " has ended, its quarantine is lifted.");
        m_sink.append(state::ended_entry{former.first, former.second});
        // Asked again only if the record is lost.
        endedSince[former] = now;
    }
    m_endedSince = std::move(endedSince);
}

void incarnation_end_observer::hostsChanged(const std::vector<external::host_entry> &hosts)
{
    m_knowsHosts = true;
    m_listed.clear();
    for (const external::host_entry &host : hosts) {
        if (host.kind == external::host_kind::node) {
            m_listed.insert(base::node_id(host.id));
        }
    }
}

std::set<incarnation_end_observer::node_life> incarnation_end_observer::quarantining() const
{
    std::set<node_life> lives;
    for (const auto &[endpoint, items] : m_state.quarantined()) {
        for (const auto &[item, residency] : items) {
            for (const state::quarantine_view &quarantine : residency.quarantine) {
                lives.emplace(quarantine.node, quarantine.life);
            }
        }
    }
    return lives;
}

bool incarnation_end_observer::hasSuccessor(const node_life &former) const
{
    const membership::member *member = m_members.find(former.first);
    return member && member->life > former.second && member->state == membership::member_state::alive;
}

bool incarnation_end_observer::isGone(const node_life &former) const
{
    if (!m_knowsHosts || m_listed.contains(former.first)) {
        return false;
    }
    const membership::member *member = m_members.find(former.first);
    return !member || member->state == membership::member_state::dead;
}

base::milliseconds incarnation_end_observer::patienceFor(const node_life &former) const
{
    return hasSuccessor(former) ? commandFlight : m_unlistedFor;
}

} // namespace chervilbend::control
