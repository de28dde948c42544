#pragma once

#include <chervilbend/fakes/platform/application_server.hpp>
#include <chervilbend/fakes/platform/fault_relay.hpp>
#include <chervilbend/fakes/platform/metadata_store.hpp>
#include <chervilbend/soak/attempt_ledger.hpp>
#include <chervilbend/soak/caller.hpp>
#include <chervilbend/soak/fault_schedule.hpp>
#include <chervilbend/soak/node_processes.hpp>
#include <chervilbend/soak/node_rotation.hpp>
#include <chervilbend/soak/recovery_watch.hpp>
#include <chervilbend/soak/soak_accounts.hpp>
#include <chervilbend/soak/soak_options.hpp>
#include <chervilbend/soak/store_contents.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::soak
{

/// Plays a soak against nodes that a supervisor runs: stands in for everything around them, plays the schedule of faults, and checks what callers and servers
/// have seen.
class soak_run
{
public:
    explicit soak_run(soak_options options);

    enum class verdict {
        held,
        broken,
        /// The nodes did not become ready at the start.
        notPlayed,
    };

    /// Runs to the end and prints what was seen.
    verdict run();

private:
    boost::asio::awaitable<void> play();
    boost::asio::awaitable<bool> waitUntilReady();
    /// Passes each connection to the store on by the relay of its node.
    boost::asio::awaitable<void> acceptForStore();
    boost::asio::awaitable<void> runCaller(std::shared_ptr<caller> one, base::time_point end);
    boost::asio::awaitable<void> playSchedule(base::time_point start);
    boost::asio::awaitable<void> playFault(scheduled_fault fault);
    /// Tells the ledger of it for so long.
    boost::asio::awaitable<void> noteDisruption(base::milliseconds duration);
    void stopNode(std::size_t node);
    boost::asio::awaitable<void> playNodeFault(scheduled_fault fault);
    boost::asio::awaitable<void> playServerFault(scheduled_fault fault);
    boost::asio::awaitable<void> playLinkFault(scheduled_fault fault);
    boost::asio::awaitable<void> playStoreFault(scheduled_fault fault);
    boost::asio::awaitable<void> noteContactLoss(base::milliseconds duration);
    /// Plays a fault that kills all nodes.
    boost::asio::awaitable<void> playOutage(scheduled_fault fault);
    boost::asio::awaitable<void> playPowerLoss(scheduled_fault fault);
    void killAllNodes();
    void setStoreFault(fakes::store_fault fault);
    static void startServer(fakes::application_server &server, bool keepsId);
    /// Waits for the end of something that keeps the node from becoming ready.
    boost::asio::awaitable<void> keepFromStarting(std::size_t node, base::milliseconds duration);
    boost::asio::awaitable<void> watchObstacles();
    void changeRecords(int count);
    boost::asio::awaitable<void> playRecordChanges(base::time_point end);
    /// The operator's changes of the accounts, at fixed shares of the duration.
    boost::asio::awaitable<void> playAccountChanges(base::time_point start);
    /// Adds a failure for each node that was not ready in time.
    void judgeRecovery();
    /// Adds a failure for each ready node in which another version of the configuration than the newest is in force.
    boost::asio::awaitable<void> judgeVersions();
    /// The version in force at the node, as its metrics name it; no value without an answer.
    boost::asio::awaitable<std::optional<std::string>> versionOf(std::size_t node);
    /// Each call writes a new version.
    void writeConfiguration();
    void printRecords() const;
    void printResult() const;

    const soak_options m_options;
    boost::asio::io_context m_context{1};
    attempt_ledger m_ledger;
    fakes::metadata_store m_store;
    boost::asio::ip::tcp::acceptor m_sharedStore;
    std::vector<std::unique_ptr<fakes::fault_relay>> m_storeRelays;
    std::vector<std::unique_ptr<fakes::application_server>> m_servers;
    std::vector<std::unique_ptr<fakes::fault_relay>> m_serverRelays;
    std::vector<std::unique_ptr<fakes::application_server>> m_feedServers;
    node_processes m_nodes;
    node_rotation m_rotation;
    const std::vector<scheduled_fault> m_schedule;
    store_contents m_contents;
    recovery_watch m_recovery;
    /// Of each node, how many faults keep it from becoming ready now.
    std::vector<int> m_obstacles;
    /// Outages being played, and what ended meanwhile, when no server may be there to serve anything.
    int m_openOutages = 0;
    std::size_t m_servedInOutages = 0;
    std::size_t m_endedInOutages = 0;
    bool m_isStoreStrained = false;
    int m_readLimits = 0;
    /// The changes of further records, one a line, with their times in ms from the start of traffic.
    std::vector<std::string> m_changes;
    base::time_point m_start;
    soak_accounts m_accounts;
    int m_version = 2;
    std::size_t m_openCallers = 0;
    std::size_t m_openFaults = 0;
    std::vector<std::string> m_failures;
    bool m_wasPlayed = false;
};

} // namespace chervilbend::soak
