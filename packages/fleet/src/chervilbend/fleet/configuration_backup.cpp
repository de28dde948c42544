#include <chervilbend/fleet/configuration_backup.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/configuration_copies.hpp>
#include <chervilbend/fleet/configuration_follower.hpp>
#include <chervilbend/net/sleep.hpp>

#include <string>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

constexpr base::milliseconds checkInterval{50};
constexpr base::milliseconds readInterval{250};
/// Changes that follow each other closely are written once.
constexpr base::milliseconds writeInterval{1'000};
/// Longer than writeInterval: a copy that is out of date is harmless, so a store that fails is not called more often.
constexpr base::milliseconds writeRetryInterval{3'000};

const log4cxx::LoggerPtr &configLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("config");
    return logger;
}

} // namespace

configuration_backup::configuration_backup(configuration_copies &copies, configuration_follower &follower, const command_lease &lease, base::counter &restored)
    : m_copies(copies)
    , m_follower(follower)
    , m_lease(lease)
    , m_restored(restored)
{
}

asio::awaitable<void> configuration_backup::run(int index)
{
    co_await restore(index);
    std::int64_t writtenVersion = 0;
    while (true) {
        co_await net::sleepFor(writeInterval);
        if (!m_lease.isHolder()) {
            // Another holder may have written a later version since.
            writtenVersion = 0;
        } else {
            co_await update(index, writtenVersion);
        }
    }
}

asio::awaitable<void> configuration_backup::restore(int index)
{
    while (!m_follower.current()) {
        // Before the operators have written their first version there is nothing to be restored.
        if (!m_follower.isUnreadable()) {
            co_await net::sleepFor(checkInterval);
            continue;
        }
        std::optional<configuration_copy> copy = co_await m_copies.read(index);
        if (copy && m_follower.applyCopy(std::move(copy->configuration), std::move(copy->record))) {
            m_restored.add();
            LOG4CXX_WARN(configLog(), base::log_event("configurationRestored").with("version", m_follower.current()->version).with("copy", index).text());
        }
        if (!m_follower.current()) {
            co_await net::sleepFor(readInterval);
        }
    }
}

asio::awaitable<void> configuration_backup::update(int index, std::int64_t &writtenVersion)
{
    const std::int64_t version = m_follower.current()->version;
    const std::string record = m_follower.record();
    // A version that the store has not confirmed may itself come from a copy, and another copy may be newer.
    if (version <= writtenVersion || record.empty() || !m_follower.position()) {
        co_return;
    }
    const bool isWritten = co_await m_copies.write(index, record);
    if (isWritten) {
        writtenVersion = version;
    } else {
        LOG4CXX_WARN(configLog(),
                     base::log_event("configurationCopyNotWritten")
                         .with("version", version)
                         .with("copy", index)
                         .with("bytes", record.size())
                         .with("why", m_copies.lastReason().text)
                         .text());
        co_await net::sleepFor(writeRetryInterval);
    }
}

} // namespace chervilbend::fleet
