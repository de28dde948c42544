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

/// Nine nodes that share the leases of twelve engines and the planner's.
class lease_cluster
{
public:
    explicit lease_cluster(std::uint64_t seed)
        : m_random(seed)
    {
        fakes::log_store_options options;
        options.seed = seed;
        m_store = std::make_shared<fakes::log_store>(options);
        // Appends and reads take as long as between zones.
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

    /// Milliseconds until every lease of a random node has a holder again; at most a minute.
    double withoutHolder(bool planned)
    {
        m_time.advance(base::milliseconds(static_cast<std::int64_t>(m_random() % 4'000)), step);
        const auto lost = static_cast<int>(m_random() % nodeCount);
        if (planned) {
            tellEligible(lost);
            m_nodes[static_cast<std::size_t>(lost)]->stop();
        } else {
            m_nodes[static_cast<std::size_t>(lost)].reset();
            // Probes find it after some seconds; the leases do not wait for that.
            tellEligible(lost);
        }
        const base::time_point since = base::clock::now();
        m_time.advanceUntil([this] { return allHeld(); }, base::milliseconds(60'000), step);
        const auto waited = static_cast<double>((base::clock::now() - since).count());
        start(lost);
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
            std::make_unique<lease_node>(m_time, m_store, base::node_id(numbered('n', node)), base::incarnation(++m_life));
        tellEligible(-1);
    }

    void tellEligible(int except)
    {
        std::vector<base::node_id> eligible;
        for (int node = 0; node < nodeCount; ++node) {
            if (node != except && m_nodes[static_cast<std::size_t>(node)]) {
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
    std::int64_t m_life = 0;
};

} // namespace

std::vector<figure> takeover_measurement::run(std::uint64_t seed)
{
    lease_cluster cluster(seed);
    double afterKill = 0;
    double afterStop = 0;
    for (int round = 0; round < rounds; ++round) {
        afterKill = std::max(afterKill, cluster.withoutHolder(false));
        afterStop = std::max(afterStop, cluster.withoutHolder(true));
    }
    const double none = std::numeric_limits<double>::quiet_NaN();
    // The design page: taken over after 7 s; one second more to read, append and read back. A planned stop is one append.
    constexpr double killBound = 8'000;
    constexpr double stopBound = 1'000;
    return {{"without owner, kill, worst of 20", afterKill, none, "ms", seed, "<= 8000 ms", afterKill <= killBound},
            {"without owner, stop, worst of 20", afterStop, none, "ms", seed, "<= 1000 ms", afterStop <= stopBound}};
}

} // namespace chervilbend::measure
