#include <chervilbend/node/composition/daily_statistics.hpp>

#include <chervilbend/net/sleep.hpp>
#include <chervilbend/node/composition/control_plane.hpp>
#include <chervilbend/node/operators/queries/day_method.hpp>
#include <chervilbend/peers/rpc_server.hpp>
#include <chervilbend/state/record_codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>
#include <variant>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

constexpr base::milliseconds observationInterval{1'000};
/// Minimum time between two reads of the stream. Each node appends once a minute, so more frequent reads would only add request overhead.
constexpr base::milliseconds minReadInterval{5'000};
/// Maximum number of minutes of which a node keeps the counts while the log is unavailable: one day.
constexpr std::size_t maxUnsentEntries = 1'440;
/// Maximum number of entries in one append.
constexpr std::size_t maxBatchEntries = 64;
constexpr base::milliseconds appendRetryInterval{200};

control::log_follower_options followerOptions(recent_days &days)
{
    control::log_follower_options options;
    options.stream = "day";
    options.minReadInterval = minReadInterval;
    options.onRecord = [&days](std::string_view payload) {
        for (const state::entry &entry : state::decodeRecord(payload).entries) {
            if (const auto *counts = std::get_if<state::minute_counts_entry>(&entry)) {
                days.add(*counts);
            }
        }
    };
    return options;
}

} // namespace

daily_statistics::daily_statistics(const asio::any_io_executor &executor, const node_identity &identity, control_plane &control, external::log_service &log)
    : m_executor(executor)
    , m_control(control)
    , m_stream(executor, log, followerOptions(m_days), nullptr)
    , m_recorder(identity.id, identity.incarnation, control.controlStream().state())
{
}

void daily_statistics::start()
{
    m_stream.follower().start();
    m_observedAt = base::clock::now();
    asio::co_spawn(m_executor, recordPeriodically(), asio::detached);
}

void daily_statistics::registerMethods(peers::rpc_server &server)
{
    server.add(std::make_shared<queries::day_method>(m_days));
}

void daily_statistics::observe()
{
    const base::time_point now = base::clock::now();
    m_recorder.observeState(now - m_observedAt);
    observeFailures(now - m_observedAt);
    m_observedAt = now;
}

asio::awaitable<void> daily_statistics::stop(base::milliseconds timeout)
{
    for (state::minute_counts_entry &minute : m_recorder.takeRemaining()) {
        m_unsent.emplace_back(std::move(minute));
    }
    const base::time_point until = base::clock::now() + timeout;
    while (!m_unsent.empty() && base::clock::now() < until) {
        co_await appendUnsent();
        if (!m_unsent.empty()) {
            co_await net::sleepFor(appendRetryInterval);
        }
    }
}

void daily_statistics::reportArrived(const base::endpoint_id &endpoint, const external::engine_report &)
{
    m_unresponsiveEndpoints.erase(endpoint);
}

void daily_statistics::reportMissed(const base::endpoint_id &endpoint, int)
{
    m_unresponsiveEndpoints.insert(endpoint);
}

asio::awaitable<void> daily_statistics::recordPeriodically()
{
    while (true) {
        co_await net::sleepFor(observationInterval);
        observe();
        for (state::minute_counts_entry &minute : m_recorder.takeCompleted()) {
            m_unsent.emplace_back(std::move(minute));
        }
        if (m_unsent.size() > maxUnsentEntries) {
            m_unsent.erase(m_unsent.begin(), m_unsent.end() - static_cast<std::ptrdiff_t>(maxUnsentEntries));
        }
        co_await appendUnsent();
    }
}

asio::awaitable<void> daily_statistics::appendUnsent()
{
    if (m_unsent.empty()) {
        co_return;
    }
    // Readers count a duplicate entry once, so an append whose answer was lost can be retried safely.
    const std::vector<state::entry> batch(m_unsent.begin(), m_unsent.begin() + static_cast<std::ptrdiff_t>(std::min(m_unsent.size(), maxBatchEntries)));
    const external::append_result result = co_await m_stream.appender().append(batch);
    if (result.status == external::append_status::accepted) {
        m_unsent.erase(m_unsent.begin(), m_unsent.begin() + static_cast<std::ptrdiff_t>(batch.size()));
    }
}

void daily_statistics::observeFailures(base::milliseconds sinceLast)
{
    if (!m_control.controlStream().follower().isReachable()) {
        m_recorder.componentFailed("log", sinceLast);
    }
    for (const base::endpoint_id &endpoint : m_unresponsiveEndpoints) {
        m_recorder.componentFailed("endpoint " + endpoint.value(), sinceLast);
    }
    std::set<base::node_id> lost;
    for (const external::host_entry &host : m_control.hosts().hosts()) {
        const base::node_id node(host.id);
        const membership::member *member = host.kind == external::host_kind::node ? m_control.members().find(node) : nullptr;
        if (!member || member->state != membership::member_state::dead) {
            continue;
        }
        lost.insert(node);
        m_recorder.componentFailed("node " + node.value(), sinceLast);
        if (!m_lostNodes.contains(node)) {
            m_recorder.nodeLost(node);
        }
    }
    m_lostNodes = std::move(lost);
}

} // namespace chervilbend::node
