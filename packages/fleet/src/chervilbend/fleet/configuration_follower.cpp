#include <chervilbend/fleet/configuration_follower.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/fleet/fleet_store.hpp>
#include <chervilbend/fleet/retry_pause.hpp>
#include <chervilbend/net/sleep.hpp>

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
    retry_pause pause(m_seed);
    while (true) {
        std::optional<configuration_page> page;
        const base::time_point asked = base::clock::now();
        const base::milliseconds wait = asked < m_doubtUntil ? doubtfulPoll : longPoll;
        if (m_position) {
            page = co_await m_store.configurationFrom(*m_position, wait);
        } else {
            page = co_await m_store.newestConfiguration();
        }
        if (!page || base::clock::now() - asked > wait + slowAnswer) {
            noteDoubt();
        }
        if (page) {
            if (pause.failures() > 0) {
                LOG4CXX_INFO(configLog(), "The store's configuration can be read again after " << pause.failures() << " failures.");
            }
            pause.reset();
            m_position = page->next;
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

void configuration_follower::noteDoubt()
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
