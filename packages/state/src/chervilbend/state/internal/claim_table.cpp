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

constexpr base::milliseconds maxLifetime{24 * 3'600'000};
/// Keys are retained beyond their lifetime because each node rejects expired keys by its own clock, which may be slow.
constexpr base::milliseconds expiryGracePeriod{10 * 60'000};

} // namespace

bool claim_table::apply(const claim_entry &claim, const record_context &context)
{
    const auto known = m_keys.find(claim.keyHash);
    const base::log_offset freed = known == m_keys.end() ? base::log_offset(0) : known->second.freedAt;
    const bool isTaken = known != m_keys.end() && known->second.claim;
    if (isTaken || claim.base != freed || claim.keyHash.empty() || claim.claimId.empty()) {
        return false;
    }
    key_state &target = m_keys[claim.keyHash];
    target.claim = claim_view{};
    target.claim->node = claim.node;
    target.claim->incarnation = claim.incarnation;
    target.claim->claimId = claim.claimId;
    target.claim->bodyHash = claim.bodyHash;
    target.claim->record = context.offset;
    target.lifetime = std::clamp(claim.lifetime, base::milliseconds(0), maxLifetime);
    scheduleExpiry(claim.keyHash, target, context.time);
    return true;
}

bool claim_table::apply(const outcome_entry &outcome, const record_context &context)
{
    const auto known = m_keys.find(outcome.keyHash);
    if (known == m_keys.end() || !known->second.claim || known->second.claim->claimId != outcome.claimId) {
        return false;
    }
    key_state &target = known->second;
    claim_view &claim = *target.claim;
    const bool isPending = !claim.outcome;
    const bool isUpgrade = claim.outcome == base::run_state::unknown && outcome.state == base::run_state::ran;
    if (!isPending && !isUpgrade) {
        return false;
    }
    if (outcome.state == base::run_state::notRun) {
        target.claim.reset();
        target.freedAt = context.offset;
        scheduleExpiry(outcome.keyHash, target, context.time);
        return true;
    }
    claim.outcome = outcome.state;
    claim.httpStatus = outcome.httpStatus;
    const bool isStored = outcome.body.size() <= maxRecordedBodyBytes;
    claim.contentType = isStored ? outcome.contentType : std::string();
    claim.body = isStored ? outcome.body : std::string();
    return true;
}

void claim_table::scheduleExpiry(const std::string &keyHash, key_state &target, base::milliseconds now)
{
    m_expiries.erase({target.expiresAt, keyHash});
    target.expiresAt = now + target.lifetime + expiryGracePeriod;
    m_expiries.insert({target.expiresAt, keyHash});
}

void claim_table::expire(base::milliseconds now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        m_keys.erase(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
    }
}

const claim_view *claim_table::claim(const std::string &keyHash) const
{
    const auto known = m_keys.find(keyHash);
    return known != m_keys.end() && known->second.claim ? &*known->second.claim : nullptr;
}

base::log_offset claim_table::freedAt(const std::string &keyHash) const
{
    const auto known = m_keys.find(keyHash);
    return known == m_keys.end() ? base::log_offset(0) : known->second.freedAt;
}

std::size_t claim_table::size() const
{
    return m_keys.size();
}

json::object claim_table::toJson() const
{
    json::array keys;
    for (const auto &[key, each] : m_keys) {
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
        keys.emplace_back(std::move(target));
    }
    return {{"slots", std::move(keys)}};
}

void claim_table::restore(field_reader &fields)
{
    for (const json::value &each : fields.array("slots")) {
        field_reader item(each);
        std::string key;
        key_state restored;
        item.read("key", key);
        item.read("freed", restored.freedAt);
        item.read("lifetime", restored.lifetime);
        item.read("expires", restored.expiresAt);
        if (item.has("claim")) {
            claim_view &claim = restored.claim.emplace();
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
        m_expiries.insert({restored.expiresAt, key});
        m_keys[key] = std::move(restored);
    }
}

} // namespace chervilbend::state
