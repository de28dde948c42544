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

constexpr base::milliseconds observationInterval{1'000};
const log4cxx::LoggerPtr logger = base::partLogger("place");

} // namespace

incarnation_end_observer::incarnation_end_observer(const state::replicated_state &state,
                                                   const membership::member_table &members,
                                                   std::function<bool()> isPlanner,
                                                   entry_sink &sink,
                                                   base::milliseconds unlistedTimeout)
    : m_state(state)
    , m_members(members)
    , m_isPlanner(std::move(isPlanner))
    , m_sink(sink)
    , m_unlistedTimeout(unlistedTimeout)
{
}

asio::awaitable<void> incarnation_end_observer::run()
{
    while (true) {
        observe();
        co_await net::sleepFor(observationInterval);
    }
}

void incarnation_end_observer::observe()
{
    const base::time_point now = base::clock::now();
    std::map<node_incarnation, base::time_point> endedSince;
    for (const node_incarnation &former : quarantinedIncarnations()) {
        if (!hasSuccessor(former) && !isUnlistedAndUnresponsive(former)) {
            continue;
        }
        const auto known = m_endedSince.find(former);
        const base::time_point since = known == m_endedSince.end() ? now : known->second;
        endedSince[former] = since;
        if (now - since < confirmationTime(former) || !m_isPlanner()) {
            continue;
        }
        LOG4CXX_INFO(logger, "Incarnation " << former.second << " of node " << former.first << " has ended; lifting its quarantine.");
        m_sink.append(state::incarnation_ended_entry{former.first, former.second});
        // Restarts the wait, so that the record is appended again only if it was lost.
        endedSince[former] = now;
    }
    m_endedSince = std::move(endedSince);
}

void incarnation_end_observer::hostsChanged(const std::vector<external::host_entry> &hosts)
{
    m_hostsKnown = true;
    m_listed.clear();
    for (const external::host_entry &host : hosts) {
        if (host.kind == external::host_kind::node) {
            m_listed.insert(base::node_id(host.id));
        }
    }
}

std::set<incarnation_end_observer::node_incarnation> incarnation_end_observer::quarantinedIncarnations() const
{
    std::set<node_incarnation> incarnations;
    for (const auto &[endpoint, items] : m_state.quarantined()) {
        for (const auto &[item, residency] : items) {
            for (const state::quarantine_view &quarantine : residency.quarantine) {
                incarnations.emplace(quarantine.node, quarantine.incarnation);
            }
        }
    }
    return incarnations;
}

bool incarnation_end_observer::hasSuccessor(const node_incarnation &former) const
{
    const membership::member *member = m_members.find(former.first);
    return member && member->incarnation > former.second && member->state == membership::member_state::alive;
}

bool incarnation_end_observer::isUnlistedAndUnresponsive(const node_incarnation &former) const
{
    if (!m_hostsKnown || m_listed.contains(former.first)) {
        return false;
    }
    const membership::member *member = m_members.find(former.first);
    return !member || member->state == membership::member_state::dead;
}

base::milliseconds incarnation_end_observer::confirmationTime(const node_incarnation &former) const
{
    return hasSuccessor(former) ? commandTransitTime : m_unlistedTimeout;
}

} // namespace chervilbend::control
