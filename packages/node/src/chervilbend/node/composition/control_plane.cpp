#include <chervilbend/node/composition/control_plane.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/control/checkpoint_transfer.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/node/composition/external_clients.hpp>
#include <chervilbend/node/composition/state_method.hpp>
#include <chervilbend/peers/rpc_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

constexpr base::milliseconds memberRefreshInterval{1'000};
/// Time at the start after which the state is requested from peers if the log has not been read to its head.
constexpr base::milliseconds initialLogTimeout{500};
/// Maximum number of peers whose state is requested in one round. Asking more of them would delay the start by more than a newer state is
/// worth.
constexpr int maxStatePeers = 5;
constexpr base::milliseconds stateTimeout{2'000};

const log4cxx::LoggerPtr logger = base::partLogger("node");

control::log_follower_options followerOptions(const std::string &stream, const node_identity &identity, std::function<void(std::string_view)> onRecord = {})
{
    control::log_follower_options options;
    options.onRecord = std::move(onRecord);
    options.stream = stream;
    options.seed = base::hash64(identity.id.value());
    return options;
}

control::lease_times leaseTimes(const config::node_settings &settings)
{
    control::lease_times times;
    times.heartbeatInterval = settings.heartbeatInterval;
    times.term = settings.leaseTerm;
    times.margin = settings.leaseMargin;
    return times;
}

membership::member selfAsMember(const node_identity &identity)
{
    membership::member self;
    self.id = identity.id;
    self.incarnation = identity.incarnation;
    self.address = identity.peerAddress;
    self.zone = identity.zone;
    return self;
}

std::string_view nameOf(membership::member_state state)
{
    switch (state) {
    case membership::member_state::alive:
        return "alive";
    case membership::member_state::suspect:
        return "suspect";
    case membership::member_state::dead:
        break;
    }
    return "dead";
}

} // namespace

control_plane::control_plane(const asio::any_io_executor &executor,
                             const config::node_settings &settings,
                             node_identity identity,
                             external_clients &clients,
                             std::shared_ptr<membership::message_signer> signer,
                             const control::demand_source &demand)
    : m_executor(executor)
    , m_settings(settings)
    , m_identity(std::move(identity))
    , m_clients(clients)
    , m_control(executor,
                *clients.control,
                followerOptions("control", m_identity, [this](std::string_view payload) { m_archive.observe(payload); }),
                clients.checkpoints.get())
    , m_orders(executor, *clients.orders, followerOptions("orders", m_identity), clients.checkpoints.get())
    , m_hosts(*clients.hosts, settings.hostInterval)
    , m_members(selfAsMember(m_identity), {}, base::hash64(m_identity.id.value(), static_cast<std::uint64_t>(m_identity.incarnation.count())))
    , m_demand(m_identity.id)
    , m_peers(std::move(signer), std::make_shared<net::http_client>())
    , m_prober(executor, m_members, m_peers)
    , m_reporter(m_control.state(), m_members, m_demand, demand, m_peers)
    , m_leases(m_identity.id, m_identity.incarnation, m_control.state(), m_control, m_control, leaseTimes(settings))
    , m_drivers(m_control.state(), m_leases, *clients.engines, m_control)
    , m_planner(m_control.state(), m_leases, m_control, m_demand, *clients.store)
    , m_endObserver(
          m_control.state(), m_members, [this] { return m_leases.holds(state::plannerLease()); }, m_control, settings.quarantine)
{
    m_leases.setOutstandingCommandsCheck([this] { return m_drivers.hasOutstandingLoadsWithoutLease(); });
    m_hosts.addListener(*this);
    m_hosts.addListener(m_planner);
    m_hosts.addListener(m_endObserver);
}

void control_plane::start()
{
    m_control.follower().start();
    m_orders.follower().start();
    spawn(m_hosts.run());
    spawn(m_prober.run());
    spawn(m_reporter.run());
    spawn(m_leases.run([this] { return m_members.eligibleHolders(); }));
    spawn(m_drivers.run());
    spawn(m_planner.run());
    spawn(m_endObserver.run());
    spawn(refreshMembers());
    spawn(writeCheckpoints());
    spawn(fetchStateFromPeers());
}

void control_plane::registerMethods(peers::rpc_server &server)
{
    for (const auto &method : m_prober.methods()) {
        server.add(method);
    }
    server.add(m_reporter.method());
    server.add(std::make_shared<state_method>(m_control.state(), m_orders.state()));
}

asio::awaitable<void> control_plane::handOverLeases(base::milliseconds timeout)
{
    co_await m_prober.announceLeaving();
    m_leases.stop();
    const base::time_point until = base::clock::now() + timeout;
    const auto holdsLeases = [this] {
        const auto &leases = m_control.state().leases();
        return std::any_of(leases.begin(), leases.end(), [this](const auto &lease) {
            return lease.second.holder == m_identity.id && lease.second.incarnation == m_identity.incarnation;
        });
    };
    while (holdsLeases() && base::clock::now() < until) {
        co_await m_control.follower().waitForChange(until);
    }
    if (holdsLeases()) {
        LOG4CXX_WARN(logger, "Leases were not handed over in time; other nodes take them over when they expire.");
    }
}

void control_plane::onPublishAccepted(std::function<void(const std::string &publishId)> listener)
{
    m_publishAccepted = std::move(listener);
}

bool control_plane::submit(state::entry entry)
{
    if (!m_control.follower().isReachable()) {
        fail(base::error_kind::logUnavailable, "the log service is unavailable");
        return false;
    }
    const auto *publish = std::get_if<state::publish_entry>(&entry);
    if (publish && m_publishAccepted) {
        m_publishAccepted(publish->publishId);
    }
    m_control.append(std::move(entry));
    return true;
}

void control_plane::hostsChanged(const std::vector<external::host_entry> &hosts)
{
    std::vector<membership::member> listed;
    for (const external::host_entry &host : hosts) {
        if (host.kind != external::host_kind::node) {
            continue;
        }
        membership::member node;
        node.id = base::node_id(host.id);
        node.address = net::toString(host.address);
        node.zone = host.zone;
        node.draining = host.draining;
        listed.push_back(std::move(node));
    }
    m_members.setListedMembers(listed);
}

base::node_id control_plane::self() const
{
    return m_identity.id;
}

log_status control_plane::log() const
{
    log_status status;
    status.reachable = m_control.follower().isReachable();
    const base::time_point atHead = m_control.follower().lastAtHead();
    status.lastAnswerAge = atHead == base::time_point::min() ? base::milliseconds::max() : base::clock::now() - atHead;
    status.head = m_control.state().appliedOffset();
    return status;
}

std::vector<known_node> control_plane::nodes() const
{
    std::vector<known_node> nodes;
    for (const membership::member &member : m_members.live()) {
        nodes.push_back({member.id, member.address, member.zone, std::string(nameOf(member.state)), member.draining});
    }
    return nodes;
}

bool control_plane::hasEnded(const base::node_id &node, base::incarnation incarnation) const
{
    if (m_control.state().hasEnded(node, incarnation)) {
        return true;
    }
    const membership::member *member = m_members.find(node);
    return member && (member->incarnation > incarnation || (member->incarnation == incarnation && member->state == membership::member_state::dead));
}

asio::awaitable<void> control_plane::refreshMembers()
{
    while (true) {
        m_members.advance();
        std::vector<base::node_id> live;
        for (const membership::member &member : m_members.live()) {
            live.push_back(member.id);
        }
        const auto planner = m_control.state().leases().find(state::plannerLease());
        m_demand.setMembers(std::move(live), planner == m_control.state().leases().end() ? base::node_id() : planner->second.holder);
        co_await net::sleepFor(memberRefreshInterval);
    }
}

asio::awaitable<void> control_plane::writeCheckpoints()
{
    while (true) {
        co_await net::sleepFor(m_settings.checkpointInterval);
        if (!m_leases.holds(state::plannerLease())) {
            continue;
        }
        const std::string id =
            m_identity.id.value() + '/' + std::to_string(m_identity.incarnation.count()) + '/' + std::to_string(base::clock::wallNow().count());
        const bool control = co_await control::writeCheckpoint(*m_clients.checkpoints, "control", m_control.state(), id + "/control");
        const bool orders = co_await control::writeCheckpoint(*m_clients.checkpoints, "orders", m_orders.state(), id + "/orders");
        LOG4CXX_INFO(
            logger,
            "Checkpoint at offset " << m_control.state().appliedOffset()
                                    << (control && orders ? " written." : " could not be written; the next one follows after the checkpoint interval."));
    }
}

asio::awaitable<void> control_plane::fetchStateFromPeers()
{
    co_await net::sleepFor(initialLogTimeout);
    bool hasAllStreams = false;
    while (!hasAllStreams && m_control.follower().lastAtHead() == base::time_point::min()) {
        int askedPeers = 0;
        // A peer that had no contact with the log itself may lag behind the others. Only a newer state replaces the one restored before.
        const std::vector<membership::member> peers = m_members.live();
        for (const membership::member &member : peers) {
            const std::optional<net::address> peer = net::parseAddress(member.address);
            if (member.id == m_identity.id || !peer || askedPeers == maxStatePeers) {
                continue;
            }
            ++askedPeers;
            const bool hasControl = co_await fetchStream(*peer, "control", &m_control);
            co_await fetchStream(*peer, "orders", &m_orders);
            if (hasControl) {
                LOG4CXX_INFO(logger,
                             "Restored the state at offset " << m_control.state().appliedOffset() << " from node " << member.id
                                                             << ", because the log is unavailable.");
            }
        }
        m_hasStateFromPeers = m_hasStateFromPeers || m_control.state().appliedOffset() > base::log_offset(0);
        hasAllStreams = m_control.state().appliedOffset() > base::log_offset(0) && m_orders.state().appliedOffset() > base::log_offset(0);
        co_await net::sleepFor(memberRefreshInterval);
    }
}

asio::awaitable<bool> control_plane::fetchStream(net::address peer, std::string stream, control::log_stream *target)
{
    Json::Value parameters;
    parameters["stream"] = stream;
    const std::optional<Json::Value> answer = co_await m_peers.call(peer, state_method::methodName, parameters, stateTimeout);
    co_return answer && answer->isString() && target->follower().restore(answer->asString());
}

void control_plane::spawn(asio::awaitable<void> task)
{
    asio::co_spawn(m_executor, std::move(task), asio::detached);
}

} // namespace chervilbend::node
