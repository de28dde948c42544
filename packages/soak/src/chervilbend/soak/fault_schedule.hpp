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
};

std::string_view toString(fault_kind kind);
/// Whether it is a failure of a node, a server or a link. Planned stops, a server that is silent for a while, and faults of the store alone are none.
bool isDisruption(fault_kind kind);
/// Whether nodes may have no contact with the store meanwhile.
bool cutsStoreContact(fault_kind kind);
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

/// One fault a line.
std::string describe(const std::vector<scheduled_fault> &schedule);

} // namespace chervilbend::soak
