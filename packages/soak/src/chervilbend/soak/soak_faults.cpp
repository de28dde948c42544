#include <chervilbend/soak/soak_run.hpp>

#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace asio = boost::asio;

namespace chervilbend::soak
{

namespace
{

constexpr base::milliseconds noteInterval{100};
constexpr base::milliseconds linkDelay{150};
/// How long another service has the address of a server.
constexpr base::milliseconds reuseTime{3'000};
constexpr std::string_view otherService = "other";
/// A node that waits for a silent store gives up then: a long poll of 2 s and 0.9 s for the answer.
constexpr base::milliseconds longestStoreWait{3'000};
/// The supervisor starts a node again 500 ms after its end, so that these changes come while all are down.
constexpr base::milliseconds earliestChangeWhileDown{50};
constexpr base::milliseconds latestChangeWhileDown{350};
constexpr int recordsWhileDown = 3;

} // namespace

asio::awaitable<void> soak_run::playSchedule(base::time_point start)
{
    for (const scheduled_fault &fault : m_schedule) {
        co_await net::sleepFor(start + fault.at - base::clock::now());
        ++m_openFaults;
        asio::co_spawn(m_context, playFault(fault), [this](const std::exception_ptr &) { --m_openFaults; });
    }
}

asio::awaitable<void> soak_run::playFault(scheduled_fault fault)
{
    if (isDisruption(fault.kind)) {
        asio::co_spawn(m_context, noteDisruption(fault.duration), asio::detached);
    }
    if (cutsStoreContact(fault.kind)) {
        const bool isSilent = fault.kind == fault_kind::silenceStoreLink;
        asio::co_spawn(m_context, noteContactLoss(isSilent ? longestStoreWait : fault.duration), asio::detached);
    }
    if (fault.kind >= fault_kind::loseAllPower) {
        co_await playOutage(fault);
    } else if (fault.kind <= fault_kind::starveNode) {
        co_await playNodeFault(fault);
    } else if (fault.kind <= fault_kind::hideServers) {
        co_await playServerFault(fault);
    } else if (fault.kind <= fault_kind::silenceStoreLink) {
        co_await playLinkFault(fault);
    } else {
        co_await playStoreFault(fault);
    }
}

asio::awaitable<void> soak_run::noteDisruption(base::milliseconds duration)
{
    const base::time_point end = base::clock::now() + duration;
    do {
        m_ledger.onDisruption();
        co_await net::sleepFor(noteInterval);
    } while (base::clock::now() < end);
    m_ledger.onDisruption();
}

asio::awaitable<void> soak_run::noteContactLoss(base::milliseconds duration)
{
    const base::time_point end = base::clock::now() + duration;
    while (base::clock::now() < end) {
        m_ledger.quotas().onContactLoss();
        co_await net::sleepFor(noteInterval);
    }
    m_ledger.quotas().onContactLoss();
}

void soak_run::stopNode(std::size_t node)
{
    if (m_nodes.signal(node, SIGTERM)) {
        m_ledger.onStop(node);
    }
}

asio::awaitable<void> soak_run::playNodeFault(scheduled_fault fault)
{
    constexpr int signalsInSeries = 6;
    const std::size_t node = fault.target % m_options.nodes;
    switch (fault.kind) {
    case fault_kind::stopNode:
        stopNode(node);
        break;
    case fault_kind::stopNodeTwice:
        if (const std::optional<pid_t> process = m_nodes.signal(node, SIGTERM)) {
            m_ledger.onStop(node);
            co_await net::sleepFor(fault.duration);
            m_nodes.signalProcess(*process, SIGTERM);
        }
        break;
    case fault_kind::stopNodeInSeries:
    case fault_kind::hangUpNode:
        for (int i = 0; i < signalsInSeries; ++i) {
            if (fault.kind == fault_kind::hangUpNode) {
                m_nodes.signal(node, SIGHUP);
            } else {
                stopNode(node);
            }
            co_await net::sleepFor(fault.duration / signalsInSeries);
        }
        break;
    case fault_kind::stopTwoNodes:
        stopNode(node);
        co_await net::sleepFor(fault.duration);
        stopNode((node + 1) % m_options.nodes);
        break;
    case fault_kind::killNode:
        m_nodes.signal(node, SIGKILL);
        break;
    case fault_kind::killAllNodes:
        killAllNodes();
        break;
    case fault_kind::starveNode:
        if (const std::optional<pid_t> process = m_nodes.stopOpeningDescriptors(node)) {
            co_await keepFromStarting(node, fault.duration);
            m_nodes.resumeOpeningDescriptors(*process);
        }
        break;
    default:
        if (const std::optional<pid_t> process = m_nodes.signal(node, SIGSTOP)) {
            co_await keepFromStarting(node, fault.duration);
            m_nodes.signalProcess(*process, SIGCONT);
        }
        break;
    }
}

asio::awaitable<void> soak_run::playServerFault(scheduled_fault fault)
{
    fakes::application_server &server = *m_servers[fault.target % m_options.servers];
    if (fault.kind == fault_kind::stallServer) {
        server.stall(fault.duration);
    } else if (fault.kind == fault_kind::hideServers) {
        for (const auto &one : m_servers) {
            one->stopAccepting();
        }
        co_await net::sleepFor(fault.duration);
        for (const auto &one : m_servers) {
            one->resumeAccepting();
        }
    } else if (server.isRunning()) {
        server.crash();
        co_await net::sleepFor(fault.duration);
        if (fault.kind == fault_kind::reuseServerAddress) {
            server.setService(std::string(otherService));
            startServer(server, false);
            co_await net::sleepFor(reuseTime);
            server.crash();
            server.setService("desk");
        }
        startServer(server, fault.kind == fault_kind::crashServerKeepingId);
    }
}

void soak_run::startServer(fakes::application_server &server, bool keepsId)
{
    // Overlapping faults may both bring it back.
    if (!server.isRunning()) {
        server.start(keepsId);
    }
}

asio::awaitable<void> soak_run::playLinkFault(scheduled_fault fault)
{
    const bool isStore = fault.kind >= fault_kind::holdStoreRequests;
    // Servers with odd numbers are behind relays.
    const std::size_t server = (fault.target % m_options.servers) | 1U;
    fakes::fault_relay *const relay = isStore ? m_storeRelays[fault.target % m_options.nodes].get()
        : server < m_options.servers          ? m_serverRelays[server].get()
                                              : nullptr;
    if (!relay) {
        co_return;
    }
    fakes::link_state state;
    switch (fault.kind) {
    case fault_kind::silenceServerLink:
    case fault_kind::silenceStoreLink:
        relay->silence();
        if (isStore) {
            co_await keepFromStarting(fault.target % m_options.nodes, longestStoreWait);
        }
        co_return;
    case fault_kind::resetServerLink:
        relay->resetConnections();
        state.refusesConnections = true;
        break;
    case fault_kind::delayServerLink:
        state.delay = linkDelay;
        break;
    case fault_kind::holdRequests:
    case fault_kind::holdStoreRequests:
        state.holdsRequests = true;
        break;
    default:
        state.holdsAnswers = true;
        break;
    }
    relay->setState(state);
    if (isStore) {
        co_await keepFromStarting(fault.target % m_options.nodes, fault.duration);
    } else {
        co_await net::sleepFor(fault.duration);
    }
    relay->setState({});
}

asio::awaitable<void> soak_run::playStoreFault(scheduled_fault fault)
{
    switch (fault.kind) {
    case fault_kind::busyStore:
        setStoreFault(fakes::store_fault::busy);
        break;
    case fault_kind::silentStore:
        setStoreFault(fakes::store_fault::silent);
        break;
    case fault_kind::slowStore:
        setStoreFault(fakes::store_fault::slow);
        break;
    default:
        setStoreFault(fakes::store_fault::lossy);
        break;
    }
    co_await net::sleepFor(fault.duration);
    setStoreFault(fakes::store_fault::none);
}

void soak_run::setStoreFault(fakes::store_fault fault)
{
    m_store.setFault(fault);
    // A store that loses answers to appends still lets a node start.
    m_isStoreStrained = fault != fakes::store_fault::none && fault != fakes::store_fault::lossy;
}

asio::awaitable<void> soak_run::playOutage(scheduled_fault fault)
{
    ++m_openOutages;
    switch (fault.kind) {
    case fault_kind::loseAllPower:
        co_await playPowerLoss(fault);
        break;
    case fault_kind::killAllNodesInSeries: {
        const kill_series series = killSeriesOf(fault);
        if (series.strain == store_strain::fewReads) {
            m_store.setReadRate(series.readsPerSecond);
            ++m_readLimits;
        } else {
            setStoreFault(series.strain == store_strain::busy ? fakes::store_fault::busy : fakes::store_fault::slow);
        }
        for (int i = 0; i < series.kills; ++i) {
            killAllNodes();
            changeRecords(recordsWhileDown);
            co_await net::sleepFor(fault.duration / series.kills);
        }
        if (series.strain != store_strain::fewReads) {
            setStoreFault(fakes::store_fault::none);
        } else if (--m_readLimits == 0) {
            m_store.setReadRate(std::nullopt);
        }
        break;
    }
    default:
        killAllNodes();
        co_await net::sleepFor(std::clamp(fault.duration, earliestChangeWhileDown, latestChangeWhileDown));
        writeConfiguration();
        changeRecords(recordsWhileDown);
        break;
    }
    --m_openOutages;
}

asio::awaitable<void> soak_run::playPowerLoss(scheduled_fault fault)
{
    const base::time_point start = base::clock::now();
    std::vector<fakes::application_server *> crashed;
    for (const auto *const servers : {&m_servers, &m_feedServers}) {
        for (const auto &server : *servers) {
            if (server->isRunning()) {
                crashed.push_back(server.get());
            }
        }
    }
    killAllNodes();
    for (fakes::application_server *const server : crashed) {
        server->crash();
    }
    changeRecords(recordsWhileDown);
    for (const server_return &one : serverReturnsOf(fault, crashed.size())) {
        co_await net::sleepFor(start + one.after - base::clock::now());
        startServer(*crashed[one.server], false);
    }
}

void soak_run::killAllNodes()
{
    for (std::size_t node = 0; node < m_options.nodes; ++node) {
        m_nodes.signal(node, SIGKILL);
    }
    m_recovery.onAllKilled();
}

asio::awaitable<void> soak_run::keepFromStarting(std::size_t node, base::milliseconds duration)
{
    ++m_obstacles[node];
    co_await net::sleepFor(duration);
    --m_obstacles[node];
}

asio::awaitable<void> soak_run::watchObstacles()
{
    std::vector<std::optional<pid_t>> last(m_options.nodes);
    std::size_t served = 0;
    std::size_t ended = 0;
    while (true) {
        m_servedInOutages += m_openOutages > 0 ? m_ledger.served() - served : 0;
        m_endedInOutages += m_openOutages > 0 ? m_ledger.ended() - ended : 0;
        served = m_ledger.served();
        ended = m_ledger.ended();
        const auto isUp = [](const std::unique_ptr<fakes::application_server> &server) {
            return server->isRunning();
        };
        const bool isAnyServerUp = std::any_of(m_servers.begin(), m_servers.end(), isUp) || std::any_of(m_feedServers.begin(), m_feedServers.end(), isUp);
        const bool isForAll = m_isStoreStrained || m_readLimits > 0 || !isAnyServerUp;
        for (std::size_t node = 0; node < m_options.nodes; ++node) {
            const std::optional<pid_t> process = m_nodes.processOf(node);
            const bool isStarting = !process || process != last[node] || m_nodes.isStopping(*process);
            last[node] = process;
            if (isForAll || isStarting || m_obstacles[node] > 0) {
                m_recovery.onObstacle(node);
            }
        }
        co_await net::sleepFor(noteInterval);
    }
}

void soak_run::changeRecords(int count)
{
    for (int i = 0; i < count && m_options.hasOddRecords; ++i) {
        const further_record record = m_contents.drawChange();
        write(record, m_store);
        const auto at = std::chrono::duration_cast<base::milliseconds>(base::clock::now() - m_start);
        m_changes.push_back(std::to_string(at.count()) + ' ' + describe(record));
    }
}

asio::awaitable<void> soak_run::playRecordChanges(base::time_point end)
{
    constexpr base::milliseconds interval{400};
    while (base::clock::now() < end) {
        co_await net::sleepFor(interval);
        changeRecords(1);
    }
}

} // namespace chervilbend::soak
