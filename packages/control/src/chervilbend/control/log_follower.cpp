#include <chervilbend/control/log_follower.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/control/checkpoint_transfer.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::control
{

namespace
{

/// How long after its maximum wait a read may be answered before the log counts as unreachable.
constexpr base::milliseconds responseMargin{3'000};

const log4cxx::LoggerPtr &logger()
{
    static const log4cxx::LoggerPtr instance = base::partLogger("log");
    return instance;
}

} // namespace

log_follower::log_follower(asio::any_io_executor executor,
                           external::log_service &log,
                           state::replicated_state &state,
                           log_follower_options options,
                           external::log_service *checkpoints)
    : m_executor(std::move(executor))
    , m_log(log)
    , m_state(state)
    , m_options(std::move(options))
    , m_checkpoints(checkpoints)
{
}

void log_follower::start()
{
    asio::co_spawn(m_executor, follow(), asio::detached);
}

void log_follower::stop()
{
    m_stopped = true;
}

bool log_follower::restore(std::string_view dump)
{
    const bool restored = m_state.restore(dump);
    if (restored) {
        notify();
    }
    return restored;
}

void log_follower::notify()
{
    m_changed.notify();
}

const state::replicated_state &log_follower::state() const
{
    return m_state;
}

bool log_follower::isReachable() const
{
    return m_reachable && base::clock::now() - m_lastAnswer <= m_options.maxWait + m_options.minReadInterval + responseMargin;
}

base::time_point log_follower::lastAtHead() const
{
    return m_lastAtHead;
}

asio::awaitable<bool> log_follower::waitUntilApplied(base::log_offset offset, base::time_point until)
{
    while (m_state.appliedOffset() < offset && base::clock::now() < until) {
        co_await m_changed.wait(until);
    }
    co_return m_state.appliedOffset() >= offset;
}

asio::awaitable<bool> log_follower::waitForChange(base::time_point until)
{
    return m_changed.wait(until);
}

void log_follower::setReachable(bool reachable)
{
    if (m_reachable != reachable) {
        m_reachable = reachable;
        LOG4CXX_INFO(logger(),
                     "Stream " << m_options.stream << (reachable ? " is reachable" : " is unreachable") << " at offset " << m_state.appliedOffset() << '.');
        notify();
    }
}

base::milliseconds log_follower::backoffAfter(int failures) const
{
    const base::milliseconds doubled = m_options.initialBackoff * (std::int64_t(1) << std::min(failures - 1, 16));
    const base::milliseconds backoff = std::min(doubled, m_options.maxBackoff);
    // Jitter of up to a quarter, so that the nodes do not all reconnect at once after an outage.
    const std::uint64_t randomValue = base::hash64(m_options.stream + std::to_string(failures), m_options.seed);
    return backoff - base::milliseconds(static_cast<std::int64_t>(randomValue % 256) * backoff.count() / 1024);
}

asio::awaitable<void> log_follower::follow()
{
    int failures = 0;
    if (m_checkpoints) {
        co_await restoreCheckpoint();
    }
    while (!m_stopped) {
        const bool succeeded = co_await readPage();
        setReachable(succeeded);
        failures = succeeded ? 0 : failures + 1;
        const base::milliseconds delay = succeeded ? m_options.minReadInterval : backoffAfter(failures);
        if (delay.count() > 0) {
            co_await net::sleepFor(delay);
        }
    }
}

asio::awaitable<bool> log_follower::readPage()
{
    const base::time_point sent = base::clock::now();
    const base::log_offset requestedAfter = m_state.appliedOffset();
    // The first read, and the first one after an outage, must not wait for new records, so that it shows at once whether the log answers.
    const base::milliseconds wait = m_reachable ? m_options.maxWait : base::milliseconds(0);
    const std::optional<external::log_page> page = co_await m_log.read(requestedAfter, wait);
    if (!page) {
        co_return false;
    }
    m_lastAnswer = base::clock::now();
    // A state restored from a peer during the read may be ahead of the start of the page, but never behind it.
    if (page->firstRetained > m_state.appliedOffset() + base::log_offset(1)) {
        LOG4CXX_WARN(logger(),
                     "Stream " << m_options.stream << " no longer has the records between offsets " << m_state.appliedOffset() << " and " << page->firstRetained
                               << '.');
        if (m_checkpoints) {
            co_await restoreCheckpoint();
        }
        co_return page->firstRetained <= m_state.appliedOffset() + base::log_offset(1);
    }
    for (const external::log_record &record : page->records) {
        m_state.apply(record.offset, record.payload);
        if (m_options.onRecord) {
            m_options.onRecord(record.payload);
        }
    }
    if (m_state.appliedOffset() >= page->head) {
        m_lastAtHead = sent;
    }
    if (m_state.appliedOffset() != requestedAfter) {
        notify();
    }
    co_return true;
}

asio::awaitable<void> log_follower::restoreCheckpoint()
{
    const auto checkpoint = co_await readCheckpoint(*m_checkpoints, m_options.stream);
    if (checkpoint && checkpoint->appliedOffset > m_state.appliedOffset() && restore(checkpoint->dump)) {
        LOG4CXX_INFO(logger(), "Stream " << m_options.stream << " was restored from the checkpoint at offset " << m_state.appliedOffset() << '.');
    }
}

} // namespace chervilbend::control
