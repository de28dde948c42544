#include <chervilbend/measure/takeover/takeover_measurement.hpp>

#include <chervilbend/measure/takeover/lease_node.hpp>
#include <chervilbend/state/record_codec.hpp>

#include <algorithm>
#include <limits>
#include <random>
#include <string>

namespace chervilbend::measure
{

namespace
{

constexpr int nodeCount = 9;
constexpr int engineCount = 12;
constexpr int rounds = 20;

std::string numbered(char prefix, int number)
{
    std::string name = std::to_string(number);
    name.insert(name.begin(), prefix);
    return name;
}

/// Nine nodes that share the planner lease and the leases of twelve engines.
class lease_cluster
{
public:
    explicit lease_cluster(std::uint64_t seed)
        : m_random(seed)
    {
        fakes::log_store_options options;
        options.seed = seed;
        m_store = std::make_shared<fakes::log_store>(options);
        // Latency of appends and reads between zones.
        fakes::log_faults delay;
        delay.delay = base::milliseconds(10);
        m_store->setFaults(delay);
        const base::log_offset planner =
            append(state::lease_entry{state::plannerLease(), base::log_offset(0), state::lease_action::acquire, base::node_id("setup"), base::incarnation(1)});
        m_leases.push_back(state::plannerLease());
        for (int engine = 0; engine < engineCount; ++engine) {
            const base::endpoint_id id(numbered('e', engine));
            append(state::endpoint_entry{id, "127.0.0.1:1", base::zone_id("z"), base::byte_count(1), true, false, planner});
            m_leases.push_back(state::endpointLease(id));
        }
        for (int node = 0; node < nodeCount; ++node) {
            m_nodes.push_back(nullptr);
            start(node);
        }
        m_time.advance(base::milliseconds(60'000), step);
    }

    /// Kills or stops a random node. Returns the milliseconds until every lease has a holder again, at most 60000.
    double timeWithoutHolder(bool planned)
    {
        m_time.advance(base::milliseconds(static_cast<std::int64_t>(m_random() % 4'000)), step);
        const auto victim = static_cast<int>(m_random() % nodeCount);
        if (planned) {
            updateEligible(victim);
            m_nodes[static_cast<std::size_t>(victim)]->stop();
        } else {
            m_nodes[static_cast<std::size_t>(victim)].reset();
            // Probes detect the failure only after some seconds; lease takeover does not depend on them.
            updateEligible(victim);
        }
        const base::time_point since = base::clock::now();
        m_time.advanceUntil([this] { return allHeld(); }, base::milliseconds(60'000), step);
        const auto waited = static_cast<double>((base::clock::now() - since).count());
        start(victim);
        m_time.advance(base::milliseconds(60'000), step);
        return waited;
    }

private:
    static constexpr base::milliseconds step{10};

    base::log_offset append(const state::entry &entry)
    {
        return m_store->append(state::encodeRecord(std::vector{entry})).offset;
    }

    void start(int node)
    {
        m_nodes[static_cast<std::size_t>(node)].reset();
        m_nodes[static_cast<std::size_t>(node)] =
            std::make_unique<lease_node>(m_time, m_store, base::node_id(numbered('n', node)), base::incarnation(++m_incarnation));
        updateEligible(-1);
    }

    void updateEligible(int excluded)
    {
        std::vector<base::node_id> eligible;
        for (int node = 0; node < nodeCount; ++node) {
            if (node != excluded && m_nodes[static_cast<std::size_t>(node)]) {
                eligible.emplace_back(numbered('n', node));
            }
        }
        for (const auto &node : m_nodes) {
            if (node) {
                node->setEligible(eligible);
            }
        }
    }

    bool allHeld() const
    {
        return std::all_of(m_leases.begin(), m_leases.end(), [this](const base::lease_name &name) {
            return std::any_of(m_nodes.begin(), m_nodes.end(), [&name](const auto &node) { return node && node->holds(name); });
        });
    }

    std::mt19937_64 m_random;
    simulated_time m_time;
    std::shared_ptr<fakes::log_store> m_store;
    std::vector<base::lease_name> m_leases;
    std::vector<std::unique_ptr<lease_node>> m_nodes;
    std::int64_t m_incarnation = 0;
};

} // namespace

std::vector<figure> takeover_measurement::run(std::uint64_t seed)
{
    lease_cluster cluster(seed);
    double afterKill = 0;
    double afterStop = 0;
    for (int round = 0; round < rounds; ++round) {
        afterKill = std::max(afterKill, cluster.timeWithoutHolder(false));
        afterStop = std::max(afterStop, cluster.timeWithoutHolder(true));
    }
    const double noBaseline = std::numeric_limits<double>::quiet_NaN();
    // By design leases are taken over after 7 s; one more second covers reading, appending and reading back. A planned stop is one append.
    constexpr double killBoundMs = 8'000;
    constexpr double stopBoundMs = 1'000;
    return {{"without owner, kill, worst of 20", afterKill, noBaseline, "ms", seed, "<= 8000 ms", afterKill <= killBoundMs},
            {"without owner, stop, worst of 20", afterStop, noBaseline, "ms", seed, "<= 1000 ms", afterStop <= stopBoundMs}};
}

} // namespace chervilbend::measure
