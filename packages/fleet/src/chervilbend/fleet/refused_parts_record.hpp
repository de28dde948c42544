#pragma once

#include <chervilbend/base/clock.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace chervilbend::routing
{
class prompt_part_tracker;
struct prompt_evidence;
} // namespace chervilbend::routing

namespace chervilbend::fleet
{

class command_lease;
class refused_parts_store;

/// Keeps the refused parts of prompts beyond the end of all processes, so that each of them does not have to crash endpoints again to be found.
///
/// Each node reads the record once when it starts, and each holder of the command lease once more. Only the holder writes it, when it has changed. The
/// record is no authority: it is evidence like that of another node.
class refused_parts_record
{
public:
    /// How often the holder looks for changes, and thus writes at most.
    static constexpr base::milliseconds checkInterval{1'000};
    /// A record without changes is written again after this time, as the ages in it do not grow otherwise.
    static constexpr base::milliseconds renewalInterval{600'000};

    /// References must outlive the object.
    refused_parts_record(refused_parts_store &store, routing::prompt_part_tracker &prompts, const command_lease &lease);

    /// Does not return.
    boost::asio::awaitable<void> run();

private:
    using lost_processes = std::map<std::uint64_t, std::set<std::uint64_t>>;

    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> update();
    static lost_processes processesOf(const routing::prompt_evidence &evidence);

    refused_parts_store &m_store;
    routing::prompt_part_tracker &m_prompts;
    const command_lease &m_lease;
    /// What the record says, as far as this node knows; no value if it has to be read.
    std::optional<lost_processes> m_recorded;
    base::time_point m_writtenAt;
};

} // namespace chervilbend::fleet
