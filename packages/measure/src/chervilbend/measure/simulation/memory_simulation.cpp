#include <chervilbend/measure/simulation/memory_simulation.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace chervilbend::measure
{

namespace
{

using base::milliseconds;

constexpr milliseconds stepLength{250};
constexpr int nodes = 3;
constexpr int engines = 4;
constexpr int items = 8;
constexpr base::byte_count engineMemory{100};

/// Mean times between two faults.
constexpr milliseconds killEvery{40'000};
constexpr milliseconds pauseEvery{15'000};
constexpr milliseconds logDisconnectEvery{40'000};
constexpr milliseconds outageEvery{60'000};
constexpr milliseconds restartEvery{60'000};
constexpr milliseconds departureEvery{90'000};
constexpr milliseconds leaseTransferEvery{12'000};
constexpr milliseconds planEvery{400};

fakes::log_store_options storeOptions(std::uint64_t seed)
{
    fakes::log_store_options options;
    options.seed = seed;
    return options;
}

base::item_id itemOf(int number)
{
    return base::item_id("model" + std::to_string(number) + "@1");
}

/// 20 to 62 of an engine's 100 bytes: one to five items fill an engine.
base::byte_count bytesOf(int number)
{
    return base::byte_count(20 + 6 * number);
}

} // namespace

memory_simulation::memory_simulation(std::uint64_t seed)
    : m_random(seed)
    , m_store(std::make_shared<fakes::log_store>(storeOptions(seed + 1)))
{
    m_logFaults.lostAnswers = 0.05;
    m_logFaults.lostAppends = 0.03;
    m_logFaults.lateAppends = 0.05;
    m_store->setFaults(m_logFaults);
    for (int i = 0; i < engines; ++i) {
        fakes::engine_options options;
        options.memory = engineMemory;
        options.checksFencing = i % 2 == 0;
        options.reportLag = milliseconds(m_random.between(0, 2'000));
        m_engines.push_back({base::endpoint_id("engine" + std::to_string(i)),
                             {"127.0.0.1", static_cast<std::uint16_t>(9'000 + i)},
                             std::make_shared<fakes::engine_model>(options)});
    }
    m_nodes.resize(nodes);
    for (int i = 0; i < nodes; ++i) {
        m_nodes[static_cast<std::size_t>(i)].id = base::node_id("node" + std::to_string(i));
    }
    for (node_slot &slot : m_nodes) {
        startNode(slot);
    }
}

void memory_simulation::startNode(node_slot &slot)
{
    std::vector<base::node_id> candidates;
    candidates.reserve(m_nodes.size());
    for (const node_slot &each : m_nodes) {
        candidates.push_back(each.id);
    }
    const auto seed = static_cast<std::uint64_t>(m_random.between(1, 1'000'000'000));
    slot.node = std::make_unique<control_node>(m_time, m_store, slot.id, slot.incarnation, std::move(candidates), seed);
    fakes::engine_faults faults;
    faults.lostCommands = 0.05;
    faults.lostAnswers = 0.05;
    faults.lateCommands = 0.15;
    faults.duplicates = 0.15;
    faults.lateBy = milliseconds(20'000);
    // With a delay, a node may be paused between its last check of the lease and the arrival of its command.
    faults.delay = milliseconds(m_random.between(0, 2) * 250);
    slot.node->engines().setFaults(faults);
    for (const engine_slot &each : m_engines) {
        slot.node->engines().add(each.address, each.engine);
    }
}

base::time_point memory_simulation::randomTime(std::int64_t leastMilliseconds, std::int64_t mostMilliseconds)
{
    return base::clock::now() + milliseconds(m_random.between(leastMilliseconds, mostMilliseconds));
}

bool memory_simulation::isDue(milliseconds meanInterval)
{
    return m_random.chance(static_cast<double>(stepLength.count()) / static_cast<double>(meanInterval.count()));
}

memory_simulation::node_slot &memory_simulation::randomNode()
{
    return m_nodes[static_cast<std::size_t>(m_random.between(0, nodes - 1))];
}

memory_simulation::engine_slot &memory_simulation::randomEngine()
{
    return m_engines[static_cast<std::size_t>(m_random.between(0, engines - 1))];
}

memory_result memory_simulation::run(milliseconds duration)
{
    for (milliseconds elapsed{0}; elapsed < duration; elapsed += stepLength) {
        step();
    }
    m_result.overcommitted = std::count_if(m_engines.begin(), m_engines.end(), [](const engine_slot &each) { return each.engine->wasOvercommitted(); });
    return m_result;
}

void memory_simulation::step()
{
    injectLogFaults();
    injectNodeFaults();
    injectEngineFaults();
    for (node_slot &slot : m_nodes) {
        if (slot.node && !slot.node->isPaused() && isDue(planEvery)) {
            plan(*slot.node);
        }
    }
    if (isDue(leaseTransferEvery) && randomNode().node) {
        for (node_slot &slot : m_nodes) {
            if (slot.node && !slot.node->isPaused()) {
                transferLease(*slot.node);
                break;
            }
        }
    }
    m_time.advance(stepLength, stepLength);
    countAppliedEntries();
}

void memory_simulation::injectLogFaults()
{
    if (isDue(outageEvery)) {
        m_outageEndsAt = randomTime(500, 15'000);
    }
    const bool outage = base::clock::now() < m_outageEndsAt;
    if (outage != m_logFaults.outage) {
        m_logFaults.outage = outage;
        m_store->setFaults(m_logFaults);
    }
}

void memory_simulation::injectNodeFaults()
{
    node_slot &victim = randomNode();
    if (isDue(killEvery) && victim.node) {
        victim.node.reset();
        victim.faultEndsAt = randomTime(250, 20'000);
    } else if (isDue(pauseEvery) && victim.node && !victim.node->isPaused()) {
        victim.node->setPaused(true);
        victim.faultEndsAt = randomTime(250, 40'000);
    } else if (isDue(logDisconnectEvery) && victim.node) {
        victim.node->log().setReachable(false);
        victim.reconnectsAt = randomTime(500, 15'000);
    }
    for (node_slot &slot : m_nodes) {
        endNodeFaults(slot);
    }
}

void memory_simulation::endNodeFaults(node_slot &slot)
{
    const base::time_point now = base::clock::now();
    if (slot.faultEndsAt <= now) {
        slot.faultEndsAt = base::time_point::max();
        if (slot.node) {
            slot.node->setPaused(false);
        } else {
            slot.incarnation += base::incarnation(1);
            startNode(slot);
        }
    }
    if (slot.reconnectsAt <= now && slot.node) {
        slot.reconnectsAt = base::time_point::max();
        slot.node->log().setReachable(true);
    }
}

void memory_simulation::injectEngineFaults()
{
    if (isDue(restartEvery)) {
        randomEngine().engine->restart();
    }
    if (isDue(departureEvery)) {
        randomEngine().returnsAt = randomTime(2'000, 20'000);
    }
}

void memory_simulation::plan(control_node &node)
{
    const base::log_offset token = node.leases().token(state::plannerLease());
    if (node.leases().holds(state::plannerLease())) {
        m_formerTokens.push_back(token);
        registerEngines(node, token);
        node.sink().append(randomPlannerEntry(node, token));
    } else if (!m_formerTokens.empty() && m_random.chance(0.1)) {
        // Simulates a planner that has not noticed the loss of its lease.
        const auto former = static_cast<std::size_t>(m_random.between(0, static_cast<std::int64_t>(m_formerTokens.size()) - 1));
        node.sink().append(randomPlannerEntry(node, m_formerTokens[former]));
    }
}

state::entry memory_simulation::randomPlannerEntry(const control_node &node, base::log_offset token)
{
    // Only a full engine can be overcommitted by a stray load. So this assigns an item where one fits, and drops one where none does.
    const engine_slot &engine = randomEngine();
    const auto first = static_cast<int>(m_random.between(0, items - 1));
    const auto view = node.state().endpoints().find(engine.id);
    if (view == node.state().endpoints().end() || m_random.chance(0.1)) {
        return state::assign_entry{engine.id, itemOf(first), bytesOf(first), token};
    }
    for (int i = 0; i < items; ++i) {
        const int number = (first + i) % items;
        if (!view->second.items.contains(itemOf(number)) && view->second.reserved + bytesOf(number) <= engineMemory) {
            return state::assign_entry{engine.id, itemOf(number), bytesOf(number), token};
        }
    }
    const auto victim = std::next(view->second.items.begin(), m_random.between(0, static_cast<std::int64_t>(view->second.items.size()) - 1));
    return state::drop_entry{engine.id, victim->first, token};
}

void memory_simulation::registerEngines(control_node &node, base::log_offset token)
{
    for (const engine_slot &each : m_engines) {
        const bool isLeaving = base::clock::now() < each.returnsAt;
        if (node.state().endpoints().contains(each.id) == isLeaving) {
            node.sink().append(state::endpoint_entry{
                each.id, net::toString(each.address), base::zone_id("a"), engineMemory, each.engine->options().checksFencing, isLeaving, token});
        }
    }
}

void memory_simulation::transferLease(control_node &node)
{
    const base::lease_name name = m_random.chance(0.3) ? state::plannerLease() : state::endpointLease(randomEngine().id);
    const auto current = node.state().leases().find(name);
    const node_slot &next = randomNode();
    if (current != node.state().leases().end()) {
        node.sink().append(state::lease_entry{name, current->second.token, state::lease_action::transfer, next.id, next.incarnation});
    }
}

void memory_simulation::countAppliedEntries()
{
    const external::log_page page = m_store->read(m_observer.appliedOffset());
    for (const external::log_record &record : page.records) {
        m_history.push_back(record.payload);
        std::map<base::endpoint_id, std::size_t> before;
        for (const auto &[id, view] : m_observer.endpoints()) {
            before[id] = view.items.size();
        }
        m_observer.apply(record.offset, record.payload);
        for (const auto &[id, view] : m_observer.endpoints()) {
            m_result.assigned += view.items.size() > before[id] ? 1 : 0;
            m_result.released += view.items.size() < before[id] ? 1 : 0;
            const base::log_offset owner = m_observer.ownerToken(id);
            m_result.ownerChanges += std::exchange(m_owners[id], owner) != owner ? 1 : 0;
        }
        m_result.quarantines += m_observer.quarantined().empty() ? 0 : 1;
    }
}

} // namespace chervilbend::measure
