#pragma once

#include <chervilbend/state/entries.hpp>
#include <chervilbend/state/record_codec.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Records of racing planners, owners, publishers and claimants: mostly with current tokens and bases, often with stale ones.
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
        const int count = 1 + pick(3);
        entries.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            entries.push_back(entry(current));
        }
        m_wallTime += chervilbend::base::milliseconds(pick(400'000));
        std::string payload = chervilbend::state::encodeRecord(entries);
        if (pick(40) == 0) {
            payload[static_cast<std::size_t>(pick(static_cast<int>(payload.size())))] = static_cast<char>(pick(256));
        }
        return payload;
    }

    int pick(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
    }

private:
    using offset = chervilbend::base::log_offset;

    /// The current token, or a made-up one in an eighth of the cases.
    offset token(offset current)
    {
        return pick(8) == 0 ? offset(pick(60)) : current;
    }

    std::string name(const char *prefix, int bound)
    {
        return prefix + std::to_string(pick(bound));
    }

    chervilbend::state::publish_entry publish(const chervilbend::state::replicated_state &current)
    {
        using namespace chervilbend;
        config::service_declaration declaration;
        declaration.service = base::service_id(name("service", 3));
        if (pick(6) != 0) {
            config::model_declaration model;
            model.name = name("model", 6);
            model.version = name("", 2);
            model.adapters = {{"adapter", "1", base::byte_count(3)}};
            declaration.models = {model};
        }
        const auto known = current.services().find(declaration.service);
        const offset base = known == current.services().end() ? offset(0) : known->second.version;
        return {token(base), name("publish", 400), "author", declaration};
    }

    chervilbend::state::lease_entry lease(const chervilbend::state::replicated_state &current)
    {
        using namespace chervilbend;
        const base::lease_name lease = pick(4) == 0 ? state::plannerLease() : state::endpointLease(base::endpoint_id(name("engine", 4)));
        const auto known = current.leases().find(lease);
        const offset base = known == current.leases().end() ? offset(0) : known->second.token;
        const auto action = pick(6) == 0 ? state::lease_action::release : state::lease_action::acquire;
        return {lease, token(base), action, base::node_id(name("node", 4)), base::incarnation(1 + pick(3))};
    }

    chervilbend::state::entry claimOrOutcome(const chervilbend::state::replicated_state &current)
    {
        using namespace chervilbend;
        const std::string key = name("key", 12);
        if (const state::claim_view *open = current.claim(key); open && pick(2) == 0) {
            return state::outcome_entry{key, open->claimId, static_cast<base::run_state>(pick(3)), 200, "text/plain", name("caf\xc3\xa9", 9)};
        }
        return state::claim_entry{key,
                                  "body",
                                  base::node_id(name("node", 4)),
                                  base::incarnation(1),
                                  name("claim", 1000),
                                  m_wallTime,
                                  token(current.claimBase(key)),
                                  base::milliseconds(7'200'000)};
    }

    chervilbend::state::entry residency(const chervilbend::state::replicated_state &current)
    {
        using namespace chervilbend;
        const base::endpoint_id engine(name("engine", 4));
        const base::item_id item(name("model", 6) + '@' + name("", 2));
        const offset planner = token(current.plannerToken());
        const offset owner = token(current.ownerToken(engine));
        switch (pick(7)) {
        case 0:
            return state::endpoint_entry{engine, "127.0.0.1:1", base::zone_id("a"), base::byte_count(100), engine.value() < "engine2", pick(5) == 0, planner};
        case 1:
            return state::loaded_entry{engine, item, owner, pick(5) == 0};
        case 2:
            return state::drop_entry{engine, item, planner};
        case 3:
        case 4:
            return state::released_entry{engine, item, owner};
        default:
            return state::assign_entry{engine, item, base::byte_count(10 + pick(50)), planner};
        }
    }

    chervilbend::state::entry entry(const chervilbend::state::replicated_state &current)
    {
        using namespace chervilbend;
        const base::node_id node(name("node", 4));
        const base::incarnation incarnation(1 + pick(3));
        switch (pick(14)) {
        case 0:
            return publish(current);
        case 1:
        case 2:
            return lease(current);
        case 3:
            return state::heartbeat_entry{node, incarnation, token(current.appliedOffset()), pick(2) == 0, m_wallTime};
        case 4:
            return state::minute_counts_entry{node, incarnation, m_wallTime, {{"requests", pick(100)}, {"failed", pick(3)}}};
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
