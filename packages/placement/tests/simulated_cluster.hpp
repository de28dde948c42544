#pragma once

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/placement/placement_planner.hpp>

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Simulates the replicated state and the endpoint owners as seen by the planner: a load takes loadTime, an unload one pass. Asserts that
/// planned changes conform to the rules of the replicated state.
class simulated_cluster
{
public:
    using residency = chervilbend::state::residency;

    void addEndpoint(int index, int zone, std::int64_t memory)
    {
        chervilbend::state::endpoint_view view;
        view.zone = chervilbend::base::zone_id(std::string("z").append(std::to_string(zone)));
        view.memory = chervilbend::base::byte_count(memory);
        endpoints.emplace(endpoint(index), view);
        usable.insert(endpoint(index));
    }

    static chervilbend::base::endpoint_id endpoint(int index)
    {
        return chervilbend::base::endpoint_id(std::string("e").append(std::to_string(index)));
    }

    void declare(const std::string &name, std::int64_t bytes, int copies = 1, int importance = 50, int adapters = 0)
    {
        chervilbend::config::model_declaration model;
        model.name = name;
        model.version = "1";
        model.weights = chervilbend::base::byte_count(bytes);
        model.copies = copies;
        model.importance = importance;
        for (int i = 0; i < adapters; ++i) {
            model.adapters.push_back({std::string("a").append(std::to_string(i)), "1", chervilbend::base::byte_count(1)});
        }
        services[chervilbend::base::service_id("s")].declaration.models.push_back(model);
    }

    static chervilbend::base::item_id item(const std::string &name)
    {
        return chervilbend::base::item_id(name + "@1");
    }

    void loseEndpoint(int index)
    {
        endpoints.erase(endpoint(index));
        usable.erase(endpoint(index));
    }

    /// Runs one planning pass per simulated second.
    void runSeconds(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            time.advance(chervilbend::base::milliseconds(1'000));
            ++elapsed;
            finishTransfers();
            lastChanges = planner.plan({services, endpoints, usable, demand, store, chervilbend::base::log_offset(1)});
            for (const auto &change : lastChanges) {
                apply(change);
            }
        }
    }

    int count(const std::string &name, residency state) const
    {
        return static_cast<int>(std::count_if(endpoints.begin(), endpoints.end(), [&](const auto &entry) {
            const auto resident = entry.second.items.find(item(name));
            return resident != entry.second.items.end() && resident->second.state == state;
        }));
    }

    int loaded(const std::string &name) const
    {
        return count(name, residency::loaded);
    }

    chervilbend::base::manual_time_source time;
    chervilbend::placement::placement_planner planner;
    std::map<chervilbend::base::service_id, chervilbend::state::service_view> services;
    std::map<chervilbend::base::endpoint_id, chervilbend::state::endpoint_view> endpoints;
    std::set<chervilbend::base::endpoint_id> usable;
    std::map<chervilbend::base::item_id, double> demand;
    chervilbend::placement::store_capacity store{2, 4, 30, 0};
    std::vector<chervilbend::placement::planned_change> lastChanges;
    /// Endpoints that never finish a load.
    std::set<chervilbend::base::endpoint_id> stalledEndpoints;
    int loadTime = 2;
    int elapsed = 0;
    int loads = 0;
    int drops = 0;
    int maxInTransit = 0;

private:
    void finishTransfers()
    {
        for (auto &[id, view] : endpoints) {
            for (auto place = view.items.begin(); place != view.items.end();) {
                auto &[name, resident] = *place;
                if (resident.state == residency::dropping) {
                    view.reserved -= resident.bytes;
                    place = view.items.erase(place);
                    continue;
                }
                if (resident.state == residency::assigned && !stalledEndpoints.contains(id) && elapsed >= resident.since.count() + loadTime) {
                    resident.state = residency::loaded;
                }
                ++place;
            }
        }
    }

    void apply(const chervilbend::placement::planned_change &change)
    {
        CPPUNIT_ASSERT(!change.reason.empty());
        if (const auto *assign = std::get_if<chervilbend::state::assign_entry>(&change.entry)) {
            auto &view = endpoints.at(assign->endpoint);
            CPPUNIT_ASSERT(usable.contains(assign->endpoint));
            view.reserved += assign->bytes;
            CPPUNIT_ASSERT_MESSAGE("memory of the endpoint is overcommitted", view.reserved <= view.memory);
            CPPUNIT_ASSERT_MESSAGE(
                "item is assigned twice to the endpoint",
                view.items
                    .emplace(assign->item, chervilbend::state::residency_view{residency::assigned, assign->bytes, chervilbend::base::log_offset(elapsed), {}})
                    .second);
            ++loads;
            int inTransit = 0;
            for (const auto &[id, each] : endpoints) {
                for (const auto &[name, resident] : each.items) {
                    inTransit += resident.state == residency::assigned && name.value().find('/') == std::string::npos && !stalledEndpoints.contains(id) ? 1 : 0;
                }
            }
            maxInTransit = std::max(maxInTransit, inTransit);
            return;
        }
        const auto &drop = std::get<chervilbend::state::drop_entry>(change.entry);
        auto &resident = endpoints.at(drop.endpoint).items.at(drop.item);
        const auto holdsLoaded = [&](const auto &entry) {
            const auto other = entry.second.items.find(drop.item);
            return entry.first != drop.endpoint && other != entry.second.items.end() && other->second.state == residency::loaded;
        };
        const bool last = resident.state == residency::loaded && std::none_of(endpoints.begin(), endpoints.end(), holdsLoaded);
        CPPUNIT_ASSERT_MESSAGE("dropped the last loaded copy of " + drop.item.value(), !last || !isDeclared(drop.item));
        resident.state = residency::dropping;
        ++drops;
    }

    bool isDeclared(const chervilbend::base::item_id &wanted) const
    {
        for (const auto &[id, service] : services) {
            for (const auto &model : service.declaration.models) {
                if (itemOf(model) == wanted
                    || std::any_of(model.adapters.begin(), model.adapters.end(), [&](const auto &adapter) { return itemOf(model, adapter) == wanted; })) {
                    return true;
                }
            }
        }
        return false;
    }
};
