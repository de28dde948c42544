#pragma once

#include <chervilbend/state/record_codec.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <cstdint>
#include <initializer_list>
#include <vector>

/// A state with a planner and two engines, each with an owner and 100 bytes of memory. Engine `e` checks fencing tokens, engine `n` does
/// not.
struct state_fixture {
    chervilbend::state::replicated_state state;
    std::int64_t head = 0;
    chervilbend::base::log_offset planner;

    state_fixture()
    {
        using namespace chervilbend::state;
        using namespace chervilbend::base;
        planner = add(lease_entry{plannerLease(), log_offset(0), lease_action::acquire, node_id("p"), incarnation(1)});
        for (const char *engine : {"e", "n"}) {
            add(endpoint_entry{endpoint_id(engine), "127.0.0.1:1", zone_id("a"), byte_count(100), *engine == 'e', false, planner});
            acquire(engine, "a", 1);
        }
    }

    chervilbend::base::log_offset add(std::initializer_list<chervilbend::state::entry> entries)
    {
        state.apply(chervilbend::base::log_offset(++head), chervilbend::state::encodeRecord(std::vector<chervilbend::state::entry>(entries)));
        return chervilbend::base::log_offset(head);
    }

    chervilbend::base::log_offset add(chervilbend::state::entry entry)
    {
        return add({std::move(entry)});
    }

    /// Acquires the engine's lease for the node.
    chervilbend::base::log_offset acquire(const char *engine, const char *node, std::int64_t incarnationNumber)
    {
        using namespace chervilbend::state;
        using namespace chervilbend::base;
        const auto name = endpointLease(endpoint_id(engine));
        const auto known = state.leases().find(name);
        const log_offset current = known == state.leases().end() ? log_offset(0) : known->second.token;
        return add(lease_entry{name, current, lease_action::acquire, node_id(node), incarnation(incarnationNumber)});
    }

    void assign(const char *engine, const char *item, std::int64_t bytes)
    {
        using namespace chervilbend::base;
        add(chervilbend::state::assign_entry{endpoint_id(engine), item_id(item), byte_count(bytes), planner});
    }

    void load(const char *engine, const char *item)
    {
        using namespace chervilbend::base;
        add(chervilbend::state::loaded_entry{endpoint_id(engine), item_id(item), state.ownerToken(endpoint_id(engine))});
    }

    void drop(const char *engine, const char *item)
    {
        using namespace chervilbend::base;
        add(chervilbend::state::drop_entry{endpoint_id(engine), item_id(item), planner});
    }

    void release(const char *engine, const char *item)
    {
        using namespace chervilbend::base;
        add(chervilbend::state::released_entry{endpoint_id(engine), item_id(item), state.ownerToken(endpoint_id(engine))});
    }

    /// Returns nullptr if the item is not resident at the engine.
    const chervilbend::state::residency_view *item(const char *engine, const char *item) const
    {
        const auto &items = state.endpoints().at(chervilbend::base::endpoint_id(engine)).items;
        const auto found = items.find(chervilbend::base::item_id(item));
        return found == items.end() ? nullptr : &found->second;
    }
};
