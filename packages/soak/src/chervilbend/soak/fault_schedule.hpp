#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/soak/soak_options.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::soak
{

enum class fault_kind {
    /// SIGTERM to a node; twice; in series; to two nodes, so that their stops overlap.
    stopNode,
    stopNodeTwice,
    stopNodeInSeries,
    stopTwoNodes,
    killNode,
    killAllNodes,
    freezeNode,
    hangUpNode,
    /// The node can open no more descriptors, so that it reaches no server over a new connection.
    starveNode,
    crashServer,
    /// The server starts again under its id.
    crashServerKeepingId,
    /// Another service gets the server's address for a while.
    reuseServerAddress,
    stallServer,
    /// All servers refuse connections.
    hideServers,
    /// The link of all nodes to a server.
    delayServerLink,
    holdRequests,
    holdAnswers,
    silenceServerLink,
    resetServerLink,
    /// The link of a node to the store.
    holdStoreRequests,
    holdStoreAnswers,
    silenceStoreLink,
    busyStore,
    silentStore,
    slowStore,
    lossyStore,
    /// From here on: all nodes are killed, and more happens meanwhile. These come besides the faults above, which a seed gives without regard to them.
    /// The servers crash in the same moment, and are back only after their registrations have lapsed.
    loseAllPower,
    /// Several times, while the store is slow, refuses all calls, or answers few reads a second.
    killAllNodesInSeries,
    /// The operator changes the configuration before the nodes are back.
    configureWhileDown,
};

std::string_view toString(fault_kind kind);
/// Whether it is a failure of a node, a server or a link. Planned stops, a server that is silent for a while, and faults of the store alone are none.
bool isDisruption(fault_kind kind);
/// Whether nodes may have no contact with the store meanwhile.
bool cutsStoreContact(fault_kind kind);
bool killsAllNodes(fault_kind kind);
/// No value if no kind has the name.
std::optional<fault_kind> faultNamed(std::string_view name);

struct scheduled_fault {
    /// Since the start of traffic.
    base::milliseconds at{0};
    fault_kind kind = fault_kind::stopNode;
    /// Of the node or server.
    std::size_t target = 0;
    base::milliseconds duration{0};
};

/// The faults that the seed gives; the same for the same options.
std::vector<scheduled_fault> scheduleFor(const soak_options &options);

/// What the store does during killAllNodesInSeries.
enum class store_strain {
    slow,
    busy,
    fewReads,
};

/// Details of killAllNodesInSeries.
struct kill_series {
    store_strain strain = store_strain::slow;
    int kills = 2;
    double readsPerSecond = 0;
};

kill_series killSeriesOf(const scheduled_fault &fault);

/// When each server is back after loseAllPower, from the start of the fault, in the order of the return.
struct server_return {
    std::size_t server = 0;
    base::milliseconds after{0};
};

/// The last one returns at the end of the fault.
std::vector<server_return> serverReturnsOf(const scheduled_fault &fault, std::size_t servers);

/// When the last fault begins that kills all nodes.
std::optional<base::milliseconds> lastKillOfAll(const std::vector<scheduled_fault> &schedule);

/// One fault a line.
std::string describe(const std::vector<scheduled_fault> &schedule);

} // namespace chervilbend::soak
