#include <chervilbend/node/composition/day_side.hpp>

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

constexpr base::milliseconds interval{1'000};
/// Counts come once a minute from each node; reading more often would only cost headers.
constexpr base::milliseconds readInterval{5'000};
/// Minutes that a node keeps while the log is unavailable: a day's.
constexpr std::size_t mostUnsentEntries = 1'440;
/// Entries in one append.
constexpr std::size_t longestBatch = 64;
constexpr base::milliseconds retryInterval{200};

control::log_follower_options followerOptions(recent_days &days)
{
    control::log_follower_options options;
    options.stream = "day";
    options.leastInterval = readInterval;
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

day_side::day_side(const asio::any_io_executor &executor, const node_identity &identity, control_plane &control, external::log_service &log)
    : m_executor(executor)
    , m_control(control)
    , m_stream(executor, log, followerOptions(m_days), nullptr)
    , m_recorder(identity.id, identity.life, control.controlStream().state())
{
}

void day_side::start()
{
    m_stream.follower().start();
    m_observedAt = base::clock::now();
    asio::co_spawn(m_executor, record(), asio::detached);
}

void day_side::serve(peers::rpc_server &server)
{
    server.add(std::make_shared<queries::day_method>(m_days));
}

void day_side::observe()
{
    const base::time_point now = base::clock::now();
    m_recorder.observeState(now - m_observedAt);
    observeFailures(now - m_observedAt);
    m_observedAt = now;
}

asio::awaitable<void> day_side::stop(base::milliseconds patience)
{
    for (state::minute_counts_entry &minute : m_recorder.takeRemaining()) {
        m_unsent.emplace_back(std::move(minute));
    }
    const base::time_point until = base::clock::now() + patience;
    while (!m_unsent.empty() && base::clock::now() < until) {
        co_await sendUnsent();
        if (!m_unsent.empty()) {
            co_await net::sleepFor(retryInterval);
        }
    }
}

void day_side::reportArrived(const base::endpoint_id &endpoint, const external::engine_report &)
{
    m_silentEndpoints.erase(endpoint);
}

void day_side::reportMissed(const base::endpoint_id &endpoint, int)
{
    m_silentEndpoints.insert(endpoint);
}

asio::awaitable<void> day_side::record()
{
    while (true) {
        co_await net::sleepFor(interval);
        observe();
        for (state::minute_counts_entry &minute : m_recorder.takeCompleted()) {
            m_unsent.emplace_back(std::move(minute));
        }
        if (m_unsent.size() > mostUnsentEntries) {
            m_unsent.erase(m_unsent.begin(), m_unsent.end() - static_cast<std::ptrdiff_t>(mostUnsentEntries));
        }
        co_await sendUnsent();
    }
}

asio::awaitable<void> day_side::sendUnsent()
{
    if (m_unsent.empty()) {
        co_return;
    }
    // An entry that arrives twice counts once, so an append whose answer was lost is repeated.
    const std::vector<state::entry> batch(m_unsent.begin(), m_unsent.begin() + static_cast<std::ptrdiff_t>(std::min(m_unsent.size(), longestBatch)));
    const external::append_result result = co_await m_stream.appender().append(batch);
    if (result.status == external::append_status::accepted) {
        m_unsent.erase(m_unsent.begin(), m_unsent.begin() + static_cast<std::ptrdiff_t>(batch.size()));
    }
}

void day_side::observeFailures(base::milliseconds sinceLast)
{
    if (!m_control.controlStream().follower().isReachable()) {
        m_recorder.componentFailed("log", sinceLast);
    }
    for (const base::endpoint_id &endpoint : m_silentEndpoints) {
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
