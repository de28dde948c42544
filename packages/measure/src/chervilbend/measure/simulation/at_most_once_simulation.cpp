#include <chervilbend/measure/simulation/at_most_once_simulation.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace chervilbend::measure
{

namespace
{

constexpr base::milliseconds stepLength{10};
/// Time after the last first attempt; callers that are not done by then count with their last answer.
constexpr base::milliseconds maxDrainTime{120'000};
/// Time until other nodes detect that a process has ended.
constexpr base::milliseconds endDetectionDelay{2'000};

fakes::log_store_options storeOptions(std::uint64_t seed)
{
    fakes::log_store_options options;
    options.seed = seed;
    return options;
}

} // namespace

at_most_once_simulation::at_most_once_simulation(std::uint64_t seed, at_most_once_options options)
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

std::string at_most_once_simulation::makeKey(int number)
{
    if (m_random.chance(0.5)) {
        return "order-" + std::to_string(number);
    }
    std::array<char, 48> text{};
    const auto now = static_cast<unsigned long long>(base::clock::wallNow().count());
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012x", now >> 16U, now & 0xFFFFU, static_cast<unsigned>(number));
    return text.data();
}

void at_most_once_simulation::makeCallers()
{
    for (int i = 0; i < m_options.orders; ++i) {
        caller each;
        each.key = makeKey(i);
        each.nextAttemptAt = randomTime(0, m_options.duration.count());
        each.repeatsAfterRan = m_random.chance(0.2);
        m_callers.push_back(std::move(each));
    }
}

void at_most_once_simulation::startNode(node_slot &slot)
{
    slot.node = std::make_unique<order_node>(
        m_time, m_store, slot.id, slot.incarnation, [this](const base::node_id &node, base::incarnation incarnation) { return hasEnded(node, incarnation); });
}

bool at_most_once_simulation::hasEnded(const base::node_id &node, base::incarnation incarnation) const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](const node_slot &slot) {
        const bool isDown = !slot.node && slot.killedAt + endDetectionDelay <= base::clock::now();
        return slot.id == node && (incarnation < slot.incarnation || (incarnation == slot.incarnation && isDown));
    });
}

base::time_point at_most_once_simulation::randomTime(std::int64_t leastMilliseconds, std::int64_t mostMilliseconds)
{
    return base::clock::now() + base::milliseconds(m_random.between(leastMilliseconds, mostMilliseconds));
}

bool at_most_once_simulation::isDue(base::milliseconds meanInterval)
{
    return m_random.chance(static_cast<double>(stepLength.count()) / static_cast<double>(meanInterval.count()));
}

const order_history &at_most_once_simulation::run()
{
    const base::time_point end = base::clock::now() + m_options.duration + maxDrainTime;
    const auto isOver = [](const caller &each) {
        return each.done;
    };
    while (base::clock::now() < end && !std::all_of(m_callers.begin(), m_callers.end(), isOver)) {
        step();
    }
    // Orders that are still in transit to the service are executed, too.
    m_time.advance(base::milliseconds(30'000));
    m_service.runDueOrders();
    return m_history;
}

void at_most_once_simulation::step()
{
    injectFaults();
    for (caller &each : m_callers) {
        if (!each.done && (each.call || each.nextAttemptAt <= base::clock::now())) {
            stepCaller(each);
        }
    }
    m_time.advance(stepLength, stepLength);
    m_service.runDueOrders();
}

void at_most_once_simulation::stepCaller(caller &each)
{
    if (!each.call) {
        send(each);
    } else if (each.call->isOver()) {
        handleAnswer(each);
    } else if (each.timeoutAt <= base::clock::now()) {
        std::exchange(each.call, nullptr)->isClosed = true;
        retry(each, 0.9, base::milliseconds(500));
    }
}

void at_most_once_simulation::send(caller &each)
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
    each.timeoutAt = m_random.chance(0.3) ? randomTime(100, 3'000) : order.deadline + base::milliseconds(1'000);
    m_history.addStarted(each.key, attempt);
    const auto dispatch = [this, key = each.key, attempt] {
        return m_service.dispatch(key, attempt);
    };
    each.call = slot.node->call(std::move(order), dispatch);
}

void at_most_once_simulation::handleAnswer(caller &each)
{
    const std::shared_ptr<order_call> call = std::exchange(each.call, nullptr);
    if (!call->answer) {
        retry(each, 0.9, base::milliseconds(50));
        return;
    }
    each.lastState = call->answer->state;
    m_history.addAnswered(each.key, each.attempts, each.lastState);
    switch (each.lastState) {
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

void at_most_once_simulation::retry(caller &each, double probability, base::milliseconds maxPause)
{
    each.done = each.attempts >= m_options.maxAttempts || !m_random.chance(probability);
    each.nextAttemptAt = randomTime(0, maxPause.count());
}

void at_most_once_simulation::injectFaults()
{
    const base::time_point now = base::clock::now();
    const std::pair before(m_faults.outage, m_faults.delay);
    if (isDue(m_options.outageEvery)) {
        m_outageEndsAt = randomTime(200, 6'000);
    }
    if (isDue(m_options.slowLogEvery)) {
        m_slowLogEndsAt = randomTime(500, 5'000);
    }
    m_faults.outage = now < m_outageEndsAt;
    m_faults.delay = base::milliseconds(now < m_slowLogEndsAt ? 400 : 10);
    if (before != std::pair(m_faults.outage, m_faults.delay)) {
        m_store->setFaults(m_faults);
    }
    injectNodeFaults();
}

void at_most_once_simulation::injectNodeFaults()
{
    node_slot &victim = m_nodes[static_cast<std::size_t>(m_random.between(0, m_options.nodes - 1))];
    if (isDue(m_options.killEvery) && victim.node) {
        victim.node.reset();
        victim.killedAt = base::clock::now();
        victim.faultEndsAt = randomTime(500, 10'000);
    } else if (isDue(m_options.pauseEvery) && victim.node && !victim.node->isPaused()) {
        victim.node->setPaused(true);
        victim.faultEndsAt = randomTime(50, 12'000);
    } else if (isDue(m_options.logDisconnectEvery) && victim.node) {
        victim.node->log().setReachable(false);
        victim.reconnectsAt = randomTime(500, 8'000);
    }
    for (node_slot &slot : m_nodes) {
        endNodeFaults(slot);
    }
}

void at_most_once_simulation::endNodeFaults(node_slot &slot)
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

std::int64_t at_most_once_simulation::wrongAnswers() const
{
    return m_wrongAnswers;
}

std::int64_t at_most_once_simulation::unknownOrders() const
{
    return std::count_if(m_callers.begin(), m_callers.end(), [](const caller &each) { return each.lastState == base::run_state::unknown; });
}

} // namespace chervilbend::measure
