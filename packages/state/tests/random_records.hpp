#pragma once

#include <chervilbend/state/entries.hpp>
#include <chervilbend/state/record_codec.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Generates records of concurrent planners, owners, publishers and claiming nodes. Most of them have current tokens and bases, others
/// have stale ones.
class random_records
{
public:
    explicit random_records(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::string next(const chervilbend::state::replicated_state &current)
    {
        std::vector<chervilbend::state::entry> entries;
        const int count = 1 + randomBelow(3);
        entries.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            entries.push_back(entry(current));
        }
        m_wallTime += chervilbend::base::milliseconds(randomBelow(400'000));
        std::string payload = chervilbend::state::encodeRecord(entries);
        if (randomBelow(40) == 0) {
            payload[static_cast<std::size_t>(randomBelow(static_cast<int>(payload.size())))] = static_cast<char>(randomBelow(256));
        }
        return payload;
    }

    int randomBelow(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
    }

private:
    using offset = chervilbend::base::log_offset;

    /// Returns the given token, or an arbitrary one with a probability of 1/8.
    offset token(offset current)
    {
        return randomBelow(8) == 0 ? offset(randomBelow(60)) : current;
    }

    std::string randomName(const char *prefix, int bound)
    {
        return prefix + std::to_string(randomBelow(bound));
    }

    chervilbend::state::publish_entry publish(const chervilbend::state::replicated_state &current)
    {
        using namespace chervilbend;
        config::service_declaration declaration;
        declaration.service = base::service_id(randomName("service", 3));
        if (randomBelow(6) != 0) {
            config::model_declaration model;
            model.name = randomName("model", 6);
            model.version = randomName("", 2);
            model.adapters = {{"adapter", "1", base::byte_count(3)}};
            declaration.models = {model};
        }
        const auto known = current.services().find(declaration.service);
        const offset base = known == current.services().end() ? offset(0) : known->second.version;
        return {token(base), randomName("publish", 400), "author", declaration};
    }

    chervilbend::state::lease_entry lease(const chervilbend::state::replicated_state &current)
    {
        using namespace chervilbend;
        const base::lease_name lease = randomBelow(4) == 0 ? state::plannerLease() : state::endpointLease(base::endpoint_id(randomName("engine", 4)));
        const auto known = current.leases().find(lease);
        const offset base = known == current.leases().end() ? offset(0) : known->second.token;
        const auto action = randomBelow(6) == 0 ? state::lease_action::release : state::lease_action::acquire;
        return {lease, token(base), action, base::node_id(randomName("node", 4)), base::incarnation(1 + randomBelow(3))};
    }

    chervilbend::state::entry claimOrOutcome(const chervilbend::state::replicated_state &current)
    {
        using namespace chervilbend;
        const std::string key = randomName("key", 12);
        if (const state::claim_view *open = current.claim(key); open && randomBelow(2) == 0) {
            return state::outcome_entry{key, open->claimId, static_cast<base::run_state>(randomBelow(3)), 200, "text/plain", randomName("caf\xc3\xa9", 9)};
        }
        return state::claim_entry{key,
                                  "body",
                                  base::node_id(randomName("node", 4)),
                                  base::incarnation(1),
                                  randomName("claim", 1000),
                                  m_wallTime,
                                  token(current.claimBase(key)),
                                  base::milliseconds(7'200'000)};
    }

    chervilbend::state::entry residency(const chervilbend::state::replicated_state &current)
    {
        using namespace chervilbend;
        const base::endpoint_id engine(randomName("engine", 4));
        const base::item_id item(randomName("model", 6) + '@' + randomName("", 2));
        const offset planner = token(current.plannerToken());
        const offset owner = token(current.ownerToken(engine));
        switch (randomBelow(7)) {
        case 0:
            return state::endpoint_entry{
                engine, "127.0.0.1:1", base::zone_id("a"), base::byte_count(100), engine.value() < "engine2", randomBelow(5) == 0, planner};
        case 1:
            return state::loaded_entry{engine, item, owner, randomBelow(5) == 0};
        case 2:
            return state::drop_entry{engine, item, planner};
        case 3:
        case 4:
            return state::released_entry{engine, item, owner};
        default:
            return state::assign_entry{engine, item, base::byte_count(10 + randomBelow(50)), planner};
        }
    }

    chervilbend::state::entry entry(const chervilbend::state::replicated_state &current)
    {
        using namespace chervilbend;
        const base::node_id node(randomName("node", 4));
        const base::incarnation incarnation(1 + randomBelow(3));
        switch (randomBelow(14)) {
        case 0:
            return publish(current);
        case 1:
        case 2:
            return lease(current);
        case 3:
            return state::heartbeat_entry{node, incarnation, token(current.appliedOffset()), randomBelow(2) == 0, m_wallTime};
        case 4:
            return state::minute_counts_entry{node, incarnation, m_wallTime, {{"requests", randomBelow(100)}, {"failed", randomBelow(3)}}};
        case 5:
            return state::incarnation_ended_entry{node, incarnation};
        case 6:
        case 7:
            return claimOrOutcome(current);
        default:
            return residency(current);
        }
    }

    std::mt19937_64 m_random;
    chervilbend::base::milliseconds m_wallTime{1'767'225'600'000};
};
