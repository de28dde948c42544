#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fakes/platform/answer_form.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::soak
{

/// What a soak plays. Nodes are processes that a supervisor starts with the settings in the folder; see scripts/soak.
struct soak_options {
    std::uint64_t seed = 1;
    base::milliseconds duration{60'000};
    std::size_t nodes = 4;
    std::size_t servers = 6;
    std::size_t callers = 48;
    /// Callers that read feeds, besides the others, and servers of feeds.
    std::size_t feedReaders = 40;
    std::size_t feedServers = 3;
    /// Ports from this one on are used.
    std::uint16_t firstPort = 21'000;
    /// With the settings "front-N.yaml", the process ids "front-N.pid" and the list "ends".
    std::string folder;
    double faultyShare = 0.2;
    std::vector<fakes::answer_form> forms;
    /// Faults of processes and links besides the answers.
    bool hasFaults = true;
    /// The name of the only kind of fault that is played; empty: all kinds. See fault_kind.
    std::string onlyFault;
    /// Maximum number of attempts that the routes of requests that may run only once allow.
    int attempts = 1;
    /// Share of the repetitions of refused requests that bear the id of the attempt that was refused, 0 to 1. The platform's callers send none.
    double repeatedIdShare = 0.25;
    /// Breaches of requests that only met nodes with other programs don't count; empty: all count. See runningProgram().
    std::string judgedProgram;
    /// Whether the configuration has accounts, and callers send keys. Builds before accounts take all requests that have none.
    bool hasAccounts = true;
    /// Whether the store holds further records with odd keys, which builds before percent-encoded queries don't get past.
    bool hasOddRecords = true;
    /// How long callers wait for the answer to an order.
    base::milliseconds orderTimeout{2'500};
};

/// Ports of a soak.
class soak_ports
{
public:
    explicit soak_ports(const soak_options &options)
        : m_first(options.firstPort)
        , m_nodes(options.nodes)
        , m_servers(options.servers + options.feedServers)
    {
    }

    std::uint16_t store() const
    {
        return m_first;
    }
    /// Where all nodes reach the store: they sign their messages to each other with its address.
    std::uint16_t sharedStore() const
    {
        return server(m_servers);
    }
    /// Of the relay between a node and the store.
    std::uint16_t storeRelay(std::size_t node) const
    {
        return at(1 + node * portsPerNode);
    }
    std::uint16_t callers(std::size_t node) const
    {
        return at(2 + node * portsPerNode);
    }
    std::uint16_t ready(std::size_t node) const
    {
        return at(3 + node * portsPerNode);
    }
    std::uint16_t peers(std::size_t node) const
    {
        return at(4 + node * portsPerNode);
    }
    std::uint16_t metrics(std::size_t node) const
    {
        return at(5 + node * portsPerNode);
    }
    std::uint16_t server(std::size_t index) const
    {
        return at(1 + m_nodes * portsPerNode + 2 * index);
    }
    std::uint16_t serverRelay(std::size_t index) const
    {
        return static_cast<std::uint16_t>(server(index) + 1);
    }

private:
    static constexpr std::size_t portsPerNode = 5;

    std::uint16_t at(std::size_t index) const
    {
        return static_cast<std::uint16_t>(m_first + index);
    }

    std::uint16_t m_first;
    std::size_t m_nodes;
    std::size_t m_servers;
};

} // namespace chervilbend::soak
