#include <chervilbend/measure/attainment/placement_simulation.hpp>

#include <chervilbend/state/record_codec.hpp>

#include <algorithm>
#include <random>
#include <variant>

namespace chervilbend::measure
{

namespace
{

constexpr std::int64_t gigabyte = 1'000'000'000;
/// Eight accelerators of 80 GB.
constexpr std::int64_t endpointMemory = 640 * gigabyte;
constexpr base::milliseconds coldCacheTime{60'000};
constexpr double coldCacheCost = 1.4;
constexpr double lostWorkSeconds = 5;
/// Time for the initial placement, before the day begins.
constexpr int warmUpSeconds = 600;

bool isAdapter(const base::item_id &item)
{
    return item.value().find('/') != std::string::npos;
}

std::string numbered(char prefix, int number)
{
    std::string name = std::to_string(number);
    name.insert(name.begin(), prefix);
    return name;
}

/// Returns the share of the work that meets its deadline at the given utilisation.
double onTimeShare(double utilisation)
{
    constexpr double knee = 0.8;
    constexpr double atCapacity = 0.9;
    if (utilisation <= knee) {
        return 1;
    }
    return utilisation <= 1 ? 1 - (utilisation - knee) / (1 - knee) * (1 - atCapacity) : atCapacity / utilisation;
}

} // namespace

placement_simulation::placement_simulation(deployment size, const demand_day &day, std::uint64_t seed)
    : m_size(std::move(size))
    , m_day(day)
    , m_store(m_size.store, seed)
    , m_copies(static_cast<std::size_t>(m_size.models))
    , m_demand(static_cast<std::size_t>(m_size.models))
{
    declare(seed);
    registerEndpoints();
}

void placement_simulation::declare(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    m_declaration.service = base::service_id("s");
    for (int i = 0; i < m_size.models; ++i) {
        config::model_declaration model;
        model.name = numbered('m', i);
        model.version.assign(1, '1');
        // 150 to 300 GB including the KV reserve, so that two to four models fit on an endpoint.
        const auto total = static_cast<std::int64_t>(150 + random() % 151);
        model.kvReserve = base::byte_count(total / 3 * gigabyte);
        model.weights = base::byte_count(total * gigabyte) - model.kvReserve;
        model.copies = i % 3 == 0 ? 2 : 1;
        model.importance = static_cast<int>(1 + random() % 100);
        for (int adapter = i; adapter < m_size.adapters; adapter += m_size.models) {
            model.adapters.push_back({numbered('a', adapter), "1", base::byte_count(gigabyte / 5)});
        }
        m_models.push_back(itemOf(model));
        m_declaration.models.push_back(std::move(model));
    }
    append({state::publish_entry{base::log_offset(0), "p", "measure", m_declaration}});
}

void placement_simulation::registerEndpoints()
{
    append({state::lease_entry{state::plannerLease(), base::log_offset(0), state::lease_action::acquire, base::node_id("p"), base::incarnation(1)}});
    m_plannerToken = base::log_offset(m_lastOffset);
    for (int i = 0; i < m_size.endpoints; ++i) {
        const base::endpoint_id id(numbered('e', i));
        const base::zone_id zone(numbered('z', i % m_size.zones));
        append({state::endpoint_entry{id, "127.0.0.1:1", zone, base::byte_count(m_size.memoryFactor * endpointMemory), true, false, m_plannerToken}});
        append({state::lease_entry{state::endpointLease(id), base::log_offset(0), state::lease_action::acquire, base::node_id("o"), base::incarnation(1)}});
    }
}

void placement_simulation::append(const std::vector<state::entry> &entries)
{
    m_state.apply(base::log_offset(++m_lastOffset), state::encodeRecord(entries));
}

placement_result placement_simulation::run(placement_policy &policy, int seconds)
{
    placement_result result;
    for (int second = -warmUpSeconds; second < seconds; ++second) {
        m_time.advance(base::milliseconds(1'000));
        finishTransfers();
        serve(second, result);
        plan(policy, second, result);
        startTransfers();
    }
    return result;
}

void placement_simulation::plan(placement_policy &policy, int second, placement_result &result)
{
    placement::planner_input input{m_state.services(), m_state.endpoints(), {}, windowMean(second), {}, m_plannerToken};
    for (const auto &[id, view] : m_state.endpoints()) {
        input.usable.insert(id);
    }
    const external::weight_store_status store = m_store.status();
    input.store = {store.loadsPerSecond, store.slots, store.adapterSlots, store.inTransit};
    const std::vector<state::entry> entries = policy.plan(input);
    if (entries.empty()) {
        return;
    }
    const std::int64_t refusedBefore = m_state.counters().rejected;
    for (const state::entry &entry : entries) {
        const auto *drop = std::get_if<state::drop_entry>(&entry);
        const auto model = drop ? std::find(m_models.begin(), m_models.end(), drop->item) : m_models.end();
        if (model != m_models.end()) {
            for (const copy &each : m_copies[static_cast<std::size_t>(model - m_models.begin())]) {
                result.attained -= second >= 0 && each.endpoint == drop->endpoint ? each.share * lostWorkSeconds : 0;
            }
        }
    }
    append(entries);
    result.refused += m_state.counters().rejected - refusedBefore;
    if (second >= 0) {
        result.moves += static_cast<std::int64_t>(entries.size()) - (m_state.counters().rejected - refusedBefore);
    }
}

std::map<base::item_id, double> placement_simulation::windowMean(int second) const
{
    constexpr int window = 10;
    std::map<base::item_id, double> demand;
    for (std::size_t model = 0; model < m_models.size(); ++model) {
        double sum = 0;
        for (int age = 0; age < window; ++age) {
            sum += m_day.at(static_cast<int>(model), std::clamp(second - age, 0, demand_day::seconds - 1));
        }
        demand[m_models[model]] = sum / window;
    }
    return demand;
}

void placement_simulation::startTransfers()
{
    for (const auto &[id, view] : m_state.endpoints()) {
        for (const auto &[item, resident] : view.items) {
            if (resident.state != state::residency::assigned || m_loadEnds.contains({id, item})) {
                continue;
            }
            const auto base = view.items.find(config::baseItemOf(item));
            const bool baseIsLoaded = base != view.items.end() && base->second.state == state::residency::loaded;
            if (!isAdapter(item) || baseIsLoaded) {
                m_loadEnds[{id, item}] = base::clock::now() + (isAdapter(item) ? m_store.beginAdapterLoad() : m_store.beginModelLoad());
            }
        }
    }
}

void placement_simulation::finishTransfers()
{
    std::vector<state::entry> entries;
    for (const auto &[id, view] : m_state.endpoints()) {
        const base::log_offset token = m_state.ownerToken(id);
        for (const auto &[item, resident] : view.items) {
            const auto end = m_loadEnds.find({id, item});
            if (resident.state == state::residency::dropping) {
                entries.emplace_back(state::released_entry{id, item, token});
            } else if (resident.state == state::residency::assigned && end != m_loadEnds.end() && end->second <= base::clock::now()) {
                entries.emplace_back(state::loaded_entry{id, item, token, false});
            }
        }
    }
    for (const state::entry &entry : entries) {
        if (const auto *loaded = std::get_if<state::loaded_entry>(&entry)) {
            m_loadEnds.erase({loaded->endpoint, loaded->item});
        }
        if (const auto *released = std::get_if<state::released_entry>(&entry)) {
            m_loadEnds.erase({released->endpoint, released->item});
        }
    }
    if (!entries.empty()) {
        append(entries);
    }
}

double placement_simulation::relativeCost(const copy &loaded) const
{
    return base::clock::now() - loaded.loadedAt < coldCacheTime ? coldCacheCost : 1;
}

void placement_simulation::serve(int second, placement_result &result)
{
    for (std::size_t model = 0; model < m_models.size(); ++model) {
        std::vector<copy> copies;
        for (const auto &[id, view] : m_state.endpoints()) {
            const base::endpoint_id &endpoint = id;
            const auto item = view.items.find(m_models[model]);
            if (item == view.items.end() || item->second.state != state::residency::loaded) {
                continue;
            }
            const auto previous =
                std::find_if(m_copies[model].begin(), m_copies[model].end(), [&endpoint](const copy &each) { return each.endpoint == endpoint; });
            copies.push_back(previous == m_copies[model].end() ? copy{endpoint, base::clock::now(), 0} : *previous);
        }
        m_copies[model] = std::move(copies);
        m_demand[model] = m_day.at(static_cast<int>(model), std::max(0, second));
    }
    distributeLoad();
    if (second < 0) {
        return;
    }
    for (std::size_t model = 0; model < m_models.size(); ++model) {
        result.offered += m_demand[model];
        result.unreachable += m_copies[model].empty() ? 1 : 0;
        for (const copy &each : m_copies[model]) {
            result.attained += each.share * onTimeShare(m_load[each.endpoint]);
        }
    }
}

void placement_simulation::distributeLoad()
{
    for (auto &[endpoint, load] : m_load) {
        load = 0;
    }
    for (std::vector<copy> &copies : m_copies) {
        for (copy &each : copies) {
            each.share = 0;
        }
    }
    // Assigning the work in small portions, each to the least loaded copy, approximates the even distribution of an ideal router.
    constexpr int rounds = 40;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t model = 0; model < m_models.size(); ++model) {
            const auto least = std::min_element(m_copies[model].begin(), m_copies[model].end(), [this](const copy &left, const copy &right) {
                return m_load[left.endpoint] < m_load[right.endpoint];
            });
            if (least != m_copies[model].end()) {
                least->share += m_demand[model] / rounds;
                m_load[least->endpoint] += m_demand[model] / rounds * relativeCost(*least);
            }
        }
    }
}

} // namespace chervilbend::measure
