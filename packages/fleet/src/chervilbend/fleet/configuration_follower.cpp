#include <chervilbend/fleet/configuration_follower.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/fleet/fleet_store.hpp>
#include <chervilbend/fleet/retry_backoff.hpp>
#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

/// How long the store holds a read back while there is nothing new. Longer waits save calls; the kernel's keep-alive notices a connection
/// that has fallen silent meanwhile.
constexpr base::milliseconds longPoll{2'000};
/// While the store has lately failed or been slow, which is when it forgets a read that waits.
constexpr base::milliseconds doubtfulPoll{600};
constexpr base::milliseconds doubtFor{10'000};
/// The holder's reads wait so long at most, since all nodes go by its word.
constexpr base::milliseconds holderPoll{400};
/// The holder's word stands in for a read for so long after the store confirmed it: its poll, an exchange and a lost one.
constexpr base::milliseconds vouchLife{1'200};
/// An answer to a read that does not wait takes some ms.
constexpr base::milliseconds slowAnswer{150};

const log4cxx::LoggerPtr &configLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("config");
    return logger;
}

} // namespace

configuration_follower::configuration_follower(fleet_store &store, std::uint64_t seed)
    : m_store(store)
    , m_seed(seed)
{
}

void configuration_follower::onChange(std::function<void(const traffic_configuration &)> listener)
{
    m_listener = std::move(listener);
}

asio::awaitable<void> configuration_follower::run()
{
    retry_backoff pause(m_seed);
    while (true) {
        if (co_await waitForHolder()) {
            continue;
        }
        const std::optional<std::int64_t> before = m_position;
        std::optional<configuration_page> page = co_await read();
        if (page) {
            if (pause.failures() > 0) {
                LOG4CXX_INFO(configLog(), "The store's configuration can be read again after " << pause.failures() << " failures.");
            }
            pause.reset();
            m_position = before ? std::max(*before, page->next) : page->next;
            m_confirmedAt = base::clock::now();
            take(std::move(page->newest));
            if (!m_current) {
                co_await net::sleepFor(pause.shortest());
            }
            continue;
        }
        if (m_store.lastReason().kind == base::error_kind::recordInvalid) {
            m_position.reset();
        }
        if (pause.failures() == 0) {
            LOG4CXX_WARN(configLog(), "The store's configuration cannot be read, the version in force stays: " << m_store.lastReason().text);
        }
        co_await net::sleepFor(pause.next());
    }
}

asio::awaitable<std::optional<configuration_page>> configuration_follower::read()
{
    const base::time_point asked = base::clock::now();
    base::milliseconds wait = asked < m_doubtUntil ? doubtfulPoll : longPoll;
    if (m_isHolder) {
        wait = std::min(wait, holderPoll);
    } else if (m_position && *m_position < m_newestPosition) {
        wait = base::milliseconds(0);
    }
    std::optional<configuration_page> page;
    if (m_position) {
        page = co_await m_store.configurationFrom(*m_position, wait);
    } else {
        page = co_await m_store.newestConfiguration();
    }
    if (!page || base::clock::now() - asked > wait + slowAnswer) {
        noteStoreProblem();
    }
    co_return page;
}

asio::awaitable<bool> configuration_follower::waitForHolder()
{
    const bool isVouched = !m_isHolder && m_current && m_position && *m_position >= m_newestPosition && base::clock::now() < m_vouchedUntil;
    if (isVouched) {
        co_await m_wake.wait(m_vouchedUntil);
    }
    co_return isVouched;
}

void configuration_follower::setHolder(bool isHolder)
{
    m_isHolder = isHolder;
    m_wake.notify();
}

void configuration_follower::noteNewest(std::int64_t position, base::time_point confirmedAt)
{
    m_vouchedUntil = std::max(m_vouchedUntil, confirmedAt + vouchLife);
    if (m_position && *m_position >= position) {
        m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    } else if (position > m_newestPosition) {
        m_newestPosition = position;
        m_wake.notify();
    }
}

void configuration_follower::noteStoreProblem()
{
    m_doubtUntil = base::clock::now() + doubtFor;
}

void configuration_follower::take(std::optional<traffic_configuration> newest)
{
    if (!newest || (m_current && newest->version <= m_current->version)) {
        return;
    }
    LOG4CXX_INFO(configLog(),
                 "Configuration " << newest->version << " is in force, " << newest->routes.size() << " routes and " << newest->services.size()
                                  << " services; before it " << (m_current ? m_current->version : 0) << '.');
    m_current = std::make_shared<const traffic_configuration>(std::move(*newest));
    if (m_listener) {
        m_listener(*m_current);
    }
}

} // namespace chervilbend::fleet
