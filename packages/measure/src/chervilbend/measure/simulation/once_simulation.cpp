#include <chervilbend/measure/simulation/once_simulation.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace chervilbend::measure
{

namespace
{

constexpr base::milliseconds stepLength{10};
/// Callers that have not finished by then count with their last word.
constexpr base::milliseconds longestTail{120'000};
/// Other nodes find out after this time that a process has ended.
constexpr base::milliseconds endNoticed{2'000};

fakes::log_store_options storeOptions(std::uint64_t seed)
{
    fakes::log_store_options options;
    options.seed = seed;
    return options;
}

} // namespace

once_simulation::once_simulation(std::uint64_t seed, once_options options)
    : m_options(options)
    , m_random(seed)
    , m_store(std::make_shared<fakes::log_store>(storeOptions(seed + 1)))
    , m_service(seed + 2, m_history)
{
    m_faults.delay = base::milliseconds(10);
    m_faults.lostAnswers = 0.05;
    m_faults.lostAppends = 0.03;
    m_faults.lateAppends = 0.05;
    m_store->setFaults(m_faults);
    m_nodes.resize(static_cast<std::size_t>(m_options.nodes));
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].id = base::node_id("node" + std::to_string(i));
        startNode(m_nodes[i]);
    }
    makeCallers();
}

std::string once_simulation::makeKey(int number)
{
    if (m_random.chance(0.5)) {
        return "order-" + std::to_string(number);
    }
    std::array<char, 48> text{};
    const auto now = static_cast<unsigned long long>(base::clock::wallNow().count());
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012x", now >> 16U, now & 0xFFFFU, static_cast<unsigned>(number));
    return text.data();
}

void once_simulation::makeCallers()
{
    for (int i = 0; i < m_options.orders; ++i) {
        caller each;
        each.key = makeKey(i);
        each.next = later(0, m_options.duration.count());
        each.repeatsAfterRan = m_random.chance(0.2);
        m_callers.push_back(std::move(each));
    }
}

void once_simulation::startNode(node_slot &slot)
{
    slot.node = std::make_unique<order_node>(
        m_time, m_store, slot.id, slot.life, [this](const base::node_id &node, base::incarnation life) { return hasEnded(node, life); });
}

bool once_simulation::hasEnded(const base::node_id &node, base::incarnation life) const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](const node_slot &slot) {
        const bool isDown = !slot.node && slot.killedAt + endNoticed <= base::clock::now();
        return slot.id == node && (life < slot.life || (life == slot.life && isDown));
    });
}

base::time_point once_simulation::later(std::int64_t leastMilliseconds, std::int64_t mostMilliseconds)
{
    return base::clock::now() + base::milliseconds(m_random.between(leastMilliseconds, mostMilliseconds));
}

bool once_simulation::isTime(base::milliseconds meanInterval)
{
    return m_random.chance(static_cast<double>(stepLength.count()) / static_cast<double>(meanInterval.count()));
}

const order_history &once_simulation::run()
{
    const base::time_point end = base::clock::now() + m_options.duration + longestTail;
    const auto isOver = [](const caller &each) {
        return each.done;
    };
    while (base::clock::now() < end && !std::all_of(m_callers.begin(), m_callers.end(), isOver)) {
        step();
    }
    // Orders that are still on their way to the service run, too.
    m_time.advance(base::milliseconds(30'000));
    m_service.settle();
    return m_history;
}

void once_simulation::step()
{
    injectFaults();
    for (caller &each : m_callers) {
        if (!each.done && (each.call || each.next <= base::clock::now())) {
            stepCaller(each);
        }
    }
    m_time.advance(stepLength, stepLength);
    m_service.settle();
}

void once_simulation::stepCaller(caller &each)
{
    if (!each.call) {
        send(each);
    } else if (each.call->isOver()) {
        takeAnswer(each);
    } else if (each.givesUp <= base::clock::now()) {
        std::exchange(each.call, nullptr)->isClosed = true;
        retry(each, 0.9, base::milliseconds(500));
    }
}

void once_simulation::send(caller &each)
{
    node_slot &slot = m_nodes[static_cast<std::size_t>(m_random.between(0, m_options.nodes - 1))];
    if (!slot.node) {
        return;
    }
    const int attempt = ++each.attempts;
    control::order_request order;
    order.account = base::account_id("account");
    order.route = "orders/burn";
    order.idempotencyKey = each.key;
    order.body = "burn " + each.key;
    order.firstAttempt = attempt == 1 && m_random.chance(0.5);
    order.deadline = base::clock::now() + m_options.deadline;
    each.givesUp = m_random.chance(0.3) ? later(100, 3'000) : order.deadline + base::milliseconds(1'000);
    m_history.addStarted(each.key, attempt);
    const auto dispatch = [this, key = each.key, attempt] {
        return m_service.dispatch(key, attempt);
    };
    each.call = slot.node->call(std::move(order), dispatch);
}

void once_simulation::takeAnswer(caller &each)
{
    const std::shared_ptr<order_call> call = std::exchange(each.call, nullptr);
    if (!call->answer) {
        retry(each, 0.9, base::milliseconds(50));
        return;
    }
    each.lastWord = call->answer->state;
    m_history.addAnswered(each.key, each.attempts, each.lastWord);
    switch (each.lastWord) {
    case base::run_state::ran:
        m_wrongAnswers += call->answer->body == "done " + each.key ? 0 : 1;
        retry(each, std::exchange(each.repeatsAfterRan, false) ? 1 : 0, base::milliseconds(5'000));
        break;
    case base::run_state::notRun:
        retry(each, 0.8, base::milliseconds(2'000));
        break;
    case base::run_state::unknown:
        retry(each, 0.7, base::milliseconds(5'000));
        break;
    }
}

void once_simulation::retry(caller &each, double share, base::milliseconds longestPause)
{
    each.done = each.attempts >= m_options.mostAttempts || !m_random.chance(share);
    each.next = later(0, longestPause.count());
}

void once_simulation::injectFaults()
{
    const base::time_point now = base::clock::now();
    const std::pair before(m_faults.outage, m_faults.delay);
    if (isTime(m_options.outageEvery)) {
        m_outageEnds = later(200, 6'000);
    }
    if (isTime(m_options.slowLogEvery)) {
        m_slowEnds = later(500, 5'000);
    }
    m_faults.outage = now < m_outageEnds;
    m_faults.delay = base::milliseconds(now < m_slowEnds ? 400 : 10);
    if (before != std::pair(m_faults.outage, m_faults.delay)) {
        m_store->setFaults(m_faults);
    }
    injectNodeFaults();
}

void once_simulation::injectNodeFaults()
{
    node_slot &victim = m_nodes[static_cast<std::size_t>(m_random.between(0, m_options.nodes - 1))];
    if (isTime(m_options.killEvery) && victim.node) {
        victim.node.reset();
        victim.killedAt = base::clock::now();
        victim.changesAt = later(500, 10'000);
    } else if (isTime(m_options.pauseEvery) && victim.node && !victim.node->isPaused()) {
        victim.node->setPaused(true);
        victim.changesAt = later(50, 12'000);
    } else if (isTime(m_options.cutOffEvery) && victim.node) {
        victim.node->log().setReachable(false);
        victim.reconnectsAt = later(500, 8'000);
    }
    for (node_slot &slot : m_nodes) {
        endNodeFaults(slot);
    }
}

void once_simulation::endNodeFaults(node_slot &slot)
{
    const base::time_point now = base::clock::now();
    if (slot.changesAt <= now) {
        slot.changesAt = base::time_point::max();
        if (slot.node) {
            slot.node->setPaused(false);
        } else {
            slot.life += base::incarnation(1);
            startNode(slot);
        }
    }
    if (slot.reconnectsAt <= now && slot.node) {
        slot.reconnectsAt = base::time_point::max();
        slot.node->log().setReachable(true);
    }
}

std::int64_t once_simulation::wrongAnswers() const
{
    return m_wrongAnswers;
}

std::int64_t once_simulation::unknownOrders() const
{
    return std::count_if(m_callers.begin(), m_callers.end(), [](const caller &each) { return each.lastWord == base::run_state::unknown; });
}

} // namespace chervilbend::measure
