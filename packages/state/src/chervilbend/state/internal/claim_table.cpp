#include <chervilbend/state/internal/claim_table.hpp>

#include <chervilbend/state/internal/entry_reader.hpp>
#include <chervilbend/state/internal/entry_writer.hpp>

#include <boost/json/array.hpp>

#include <algorithm>

namespace json = boost::json;

namespace chervilbend::state
{

namespace
{

constexpr base::milliseconds longestLifetime{24 * 3'600'000};
/// Keys are kept for longer than their life, because nodes refuse expired keys by their own clocks, which may be behind.
constexpr base::milliseconds keptBeyondLifetime{10 * 60'000};

} // namespace

bool claim_table::apply(const claim_entry &claim, const record_context &context)
{
    const auto known = m_slots.find(claim.keyHash);
    const base::log_offset freed = known == m_slots.end() ? base::log_offset(0) : known->second.freedAt;
    const bool isTaken = known != m_slots.end() && known->second.claim;
    if (isTaken || claim.base != freed || claim.keyHash.empty() || claim.claimId.empty()) {
        return false;
    }
    slot &target = m_slots[claim.keyHash];
    target.claim = claim_view{};
    target.claim->node = claim.node;
    target.claim->incarnation = claim.incarnation;
    target.claim->claimId = claim.claimId;
    target.claim->bodyHash = claim.bodyHash;
    target.claim->record = context.offset;
    target.lifetime = std::clamp(claim.lifetime, base::milliseconds(0), longestLifetime);
    remember(claim.keyHash, target, context.time);
    return true;
}

bool claim_table::apply(const outcome_entry &outcome, const record_context &context)
{
    const auto known = m_slots.find(outcome.keyHash);
    if (known == m_slots.end() || !known->second.claim || known->second.claim->claimId != outcome.claimId) {
        return false;
    }
    slot &target = known->second;
    claim_view &claim = *target.claim;
    const bool isOpen = !claim.outcome;
    const bool improves = claim.outcome == base::run_state::unknown && outcome.state == base::run_state::ran;
    if (!isOpen && !improves) {
        return false;
    }
    if (outcome.state == base::run_state::notRun) {
        target.claim.reset();
        target.freedAt = context.offset;
        remember(outcome.keyHash, target, context.time);
        return true;
    }
    claim.outcome = outcome.state;
    claim.httpStatus = outcome.httpStatus;
    const bool isKept = outcome.body.size() <= maxRecordedBodyBytes;
    claim.contentType = isKept ? outcome.contentType : std::string();
    claim.body = isKept ? outcome.body : std::string();
    return true;
}

void claim_table::remember(const std::string &keyHash, slot &target, base::milliseconds now)
{
    m_expiries.erase({target.expiresAt, keyHash});
    target.expiresAt = now + target.lifetime + keptBeyondLifetime;
    m_expiries.insert({target.expiresAt, keyHash});
}

void claim_table::expire(base::milliseconds now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        m_slots.erase(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
    }
}

const claim_view *claim_table::claim(const std::string &keyHash) const
{
    const auto known = m_slots.find(keyHash);
    return known != m_slots.end() && known->second.claim ? &*known->second.claim : nullptr;
}

base::log_offset claim_table::freedAt(const std::string &keyHash) const
{
    const auto known = m_slots.find(keyHash);
    return known == m_slots.end() ? base::log_offset(0) : known->second.freedAt;
}

std::size_t claim_table::size() const
{
    return m_slots.size();
}

json::object claim_table::toJson() const
{
    json::array slots;
    for (const auto &[key, each] : m_slots) {
        json::object target{{"key", key}, {"freed", each.freedAt.count()}, {"lifetime", each.lifetime.count()}, {"expires", each.expiresAt.count()}};
        if (each.claim) {
            target["node"] = each.claim->node.value();
            target["life"] = each.claim->incarnation.count();
            target["claim"] = each.claim->claimId;
            target["bodyHash"] = each.claim->bodyHash;
            target["record"] = each.claim->record.count();
            if (each.claim->outcome) {
                target["state"] = static_cast<int>(*each.claim->outcome);
                target["status"] = each.claim->httpStatus;
                target["type"] = each.claim->contentType;
                writeBytes(target, "body", each.claim->body);
            }
        }
        slots.emplace_back(std::move(target));
    }
    return {{"slots", std::move(slots)}};
}

void claim_table::restore(field_reader &fields)
{
    for (const json::value &each : fields.array("slots")) {
        field_reader item(each);
        std::string key;
        slot read;
        item.read("key", key);
        item.read("freed", read.freedAt);
        item.read("lifetime", read.lifetime);
        item.read("expires", read.expiresAt);
        if (item.has("claim")) {
            claim_view &claim = read.claim.emplace();
            item.read("node", claim.node);
            item.read("life", claim.incarnation);
            item.read("claim", claim.claimId);
            item.read("bodyHash", claim.bodyHash);
            item.read("record", claim.record);
            if (item.has("state")) {
                item.read("state", claim.outcome.emplace(), base::run_state::unknown);
                item.read("status", claim.httpStatus);
                item.read("type", claim.contentType);
                readBytes(item, "body", claim.body);
            }
        }
        if (!item.isOk()) {
            fields.fail();
        }
        m_expiries.insert({read.expiresAt, key});
        m_slots[key] = std::move(read);
    }
}

} // namespace chervilbend::state
