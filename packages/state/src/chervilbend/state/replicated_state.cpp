#include <chervilbend/state/replicated_state.hpp>

#include <chervilbend/state/internal/claim_table.hpp>
#include <chervilbend/state/internal/configuration_table.hpp>
#include <chervilbend/state/internal/daily_counts.hpp>
#include <chervilbend/state/internal/lease_table.hpp>
#include <chervilbend/state/internal/record_clock.hpp>
#include <chervilbend/state/internal/residency_table.hpp>
#include <chervilbend/state/record_codec.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace json = boost::json;

namespace chervilbend::state
{

namespace
{

constexpr int dumpVersion = 1;
constexpr std::string_view endpointPrefix = "endpoint/";

} // namespace

struct replicated_state::implementation {
    base::log_offset appliedOffset;
    record_clock time;
    configuration_table configuration;
    lease_table leases;
    residency_table residency;
    claim_table claims;
    daily_counts days;
    apply_counters counters;

    /// Applies one entry and returns whether it had an effect.
    bool apply(const publish_entry &change, const record_context &context);
    bool apply(const lease_entry &change, const record_context &context);
    bool apply(const heartbeat_entry &change, const record_context &context);
    bool apply(const endpoint_entry &change, const record_context &context);
    bool apply(const assign_entry &change, const record_context &context);
    bool apply(const loaded_entry &change, const record_context &context);
    bool apply(const drop_entry &change, const record_context &context);
    bool apply(const released_entry &change, const record_context &context);
    bool apply(const claim_entry &change, const record_context &context);
    bool apply(const outcome_entry &change, const record_context &context);
    bool apply(const minute_counts_entry &change, const record_context &context);
    bool apply(const incarnation_ended_entry &change, const record_context &context);
    bool apply(const checkpoint_entry &change, const record_context &context);

    bool isPlanner(base::log_offset token) const;
    bool isOwner(const base::endpoint_id &endpoint, base::log_offset token) const;
    void removeExpired();
    bool restore(std::string_view dump);
};

bool replicated_state::implementation::isPlanner(base::log_offset token) const
{
    return token != base::log_offset(0) && token == leases.token(plannerLease());
}

bool replicated_state::implementation::isOwner(const base::endpoint_id &endpoint, base::log_offset token) const
{
    return token != base::log_offset(0) && token == leases.token(endpointLease(endpoint));
}

void replicated_state::implementation::removeExpired()
{
    claims.expire(time.now());
    for (const base::endpoint_id &endpoint : residency.removeExpiredEndpoints(time.now())) {
        leases.remove(endpointLease(endpoint));
    }
}

bool replicated_state::implementation::apply(const publish_entry &change, const record_context &context)
{
    return configuration.apply(change, context);
}

bool replicated_state::implementation::apply(const lease_entry &change, const record_context &context)
{
    const lease_table::result applied = leases.apply(change, context);
    if (applied.lost && change.name.value().starts_with(endpointPrefix)) {
        const auto &[name, holder, incarnation] = *applied.lost;
        if (!leases.hasEnded(holder, incarnation)) {
            residency.quarantine(base::endpoint_id(name.value().substr(endpointPrefix.size())), {holder, incarnation, context.offset});
        }
    }
    if (applied.accepted && change.action == lease_action::acquire) {
        residency.liftQuarantinesBelow(change.holder, change.incarnation);
    }
    return applied.accepted;
}

bool replicated_state::implementation::apply(const heartbeat_entry &change, const record_context &context)
{
    if (!leases.apply(change, context)) {
        return false;
    }
    residency.liftQuarantinesBelow(change.node, change.incarnation);
    residency.liftQuarantines(change);
    return true;
}

bool replicated_state::implementation::apply(const endpoint_entry &change, const record_context &context)
{
    return isPlanner(change.plannerToken) && residency.apply(change, context);
}

bool replicated_state::implementation::apply(const assign_entry &change, const record_context &context)
{
    return isPlanner(change.plannerToken) && residency.apply(change, context);
}

bool replicated_state::implementation::apply(const loaded_entry &change, const record_context &context)
{
    return isOwner(change.endpoint, change.ownerToken) && residency.apply(change, context);
}

bool replicated_state::implementation::apply(const drop_entry &change, const record_context &context)
{
    return isPlanner(change.plannerToken) && residency.apply(change, !configuration.isDeclared(change.item), context);
}

bool replicated_state::implementation::apply(const released_entry &change, const record_context & /*context*/)
{
    return isOwner(change.endpoint, change.ownerToken) && residency.apply(change);
}

bool replicated_state::implementation::apply(const claim_entry &change, const record_context &context)
{
    return claims.apply(change, context);
}

bool replicated_state::implementation::apply(const outcome_entry &change, const record_context &context)
{
    return claims.apply(change, context);
}

bool replicated_state::implementation::apply(const minute_counts_entry &change, const record_context &context)
{
    return days.apply(change, context);
}

bool replicated_state::implementation::apply(const incarnation_ended_entry &change, const record_context &context)
{
    leases.apply(change, context);
    residency.liftQuarantinesBelow(change.node, base::incarnation(change.incarnation.count() + 1));
    return true;
}

bool replicated_state::implementation::apply(const checkpoint_entry & /*change*/, const record_context & /*context*/)
{
    return true;
}

bool replicated_state::implementation::restore(std::string_view dump)
{
    boost::system::error_code error;
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    const json::value parsed = json::parse(dump, error, {}, options);
    if (error) {
        return false;
    }
    field_reader fields(parsed);
    int version = 0;
    fields.read("v", version);
    fields.read("folded", appliedOffset);
    if (version != dumpVersion) {
        return false;
    }
    const auto restorePart = [&fields](std::string_view name, auto &part) {
        field_reader members(&fields.object(name));
        part.restore(members);
        if (!members.isOk()) {
            fields.fail();
        }
    };
    restorePart("time", time);
    restorePart("configuration", configuration);
    restorePart("leases", leases);
    restorePart("residency", residency);
    restorePart("claims", claims);
    restorePart("days", days);
    return fields.isOk();
}

replicated_state::replicated_state()
    : m_implementation(std::make_unique<implementation>())
{
}

replicated_state::~replicated_state() = default;

void replicated_state::apply(base::log_offset offset, std::string_view payload)
{
    if (offset <= appliedOffset()) {
        return;
    }
    implementation &state = *m_implementation;
    state.appliedOffset = offset;
    const decoded_record record = decodeRecord(payload);
    state.counters.skipped += record.skipped;
    state.counters.malformed += record.malformed;
    for (const entry &each : record.entries) {
        if (const auto *claim = std::get_if<claim_entry>(&each)) {
            state.time.observe(claim->node, claim->claimedAt);
        } else if (const auto *heartbeat = std::get_if<heartbeat_entry>(&each)) {
            state.time.observe(heartbeat->node, heartbeat->sentAt);
        } else if (const auto *day = std::get_if<minute_counts_entry>(&each)) {
            state.time.observe(day->node, day->minute);
        }
        state.removeExpired();
        const record_context context{offset, state.time.now()};
        const bool hadEffect = std::visit([&](const auto &concrete) { return state.apply(concrete, context); }, each);
        state.counters.rejected += hadEffect ? 0 : 1;
    }
}

bool replicated_state::restore(std::string_view dump)
{
    auto restored = std::make_unique<implementation>();
    if (!restored->restore(dump) || restored->appliedOffset <= appliedOffset()) {
        return false;
    }
    restored->counters = m_implementation->counters;
    m_implementation = std::move(restored);
    return true;
}

base::log_offset replicated_state::appliedOffset() const
{
    return m_implementation->appliedOffset;
}

const std::map<base::service_id, service_view> &replicated_state::services() const
{
    return m_implementation->configuration.services();
}

const std::deque<publish_view> &replicated_state::publishes() const
{
    return m_implementation->configuration.publishes();
}

const publish_view *replicated_state::publish(const std::string &publishId) const
{
    return m_implementation->configuration.findPublish(publishId);
}

bool replicated_state::isDeclared(const base::item_id &item) const
{
    return m_implementation->configuration.isDeclared(item);
}

const std::map<base::lease_name, lease_view> &replicated_state::leases() const
{
    return m_implementation->leases.leases();
}

base::log_offset replicated_state::plannerToken() const
{
    return m_implementation->leases.token(plannerLease());
}

base::log_offset replicated_state::ownerToken(const base::endpoint_id &endpoint) const
{
    return m_implementation->leases.token(endpointLease(endpoint));
}

const std::map<base::node_id, heartbeat_view> &replicated_state::heartbeats() const
{
    return m_implementation->leases.heartbeats();
}

bool replicated_state::hasEnded(const base::node_id &node, base::incarnation incarnation) const
{
    return m_implementation->leases.hasEnded(node, incarnation);
}

const std::map<base::endpoint_id, endpoint_view> &replicated_state::endpoints() const
{
    return m_implementation->residency.endpoints();
}

std::map<base::endpoint_id, std::map<base::item_id, residency_view>> replicated_state::quarantined() const
{
    std::map<base::endpoint_id, std::map<base::item_id, residency_view>> found;
    for (const auto &[id, endpoint] : endpoints()) {
        for (const auto &[itemId, item] : endpoint.items) {
            if (!item.quarantine.empty()) {
                found[id][itemId] = item;
            }
        }
    }
    return found;
}

const claim_view *replicated_state::claim(const std::string &keyHash) const
{
    return m_implementation->claims.claim(keyHash);
}

base::log_offset replicated_state::claimBase(const std::string &keyHash) const
{
    return m_implementation->claims.freedAt(keyHash);
}

std::size_t replicated_state::claimCount() const
{
    return m_implementation->claims.size();
}

const std::map<std::int64_t, day_view> &replicated_state::days() const
{
    return m_implementation->days.days();
}

base::milliseconds replicated_state::recordTime() const
{
    return m_implementation->time.now();
}

const apply_counters &replicated_state::counters() const
{
    return m_implementation->counters;
}

std::string replicated_state::dump() const
{
    const implementation &state = *m_implementation;
    const json::object document{{"v", dumpVersion},
                                {"folded", state.appliedOffset.count()},
                                {"time", state.time.toJson()},
                                {"configuration", state.configuration.toJson()},
                                {"leases", state.leases.toJson()},
                                {"residency", state.residency.toJson()},
                                {"claims", state.claims.toJson()},
                                {"days", state.days.toJson()}};
    return json::serialize(document);
}

base::lease_name plannerLease()
{
    return base::lease_name("planner");
}

base::lease_name endpointLease(const base::endpoint_id &endpoint)
{
    return base::lease_name(std::string(endpointPrefix) + endpoint.value());
}

} // namespace chervilbend::state
