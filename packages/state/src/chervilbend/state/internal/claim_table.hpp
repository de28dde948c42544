#pragma once

#include <chervilbend/state/entries.hpp>
#include <chervilbend/state/internal/field_reader.hpp>
#include <chervilbend/state/internal/record_context.hpp>
#include <chervilbend/state/views.hpp>

#include <boost/json/object.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace chervilbend::state
{

/// Idempotency keys with the claims and outcomes of their orders.
class claim_table
{
public:
    bool apply(const claim_entry &claim, const record_context &context);
    bool apply(const outcome_entry &outcome, const record_context &context);
    void expire(base::milliseconds now);

    const claim_view *claim(const std::string &keyHash) const;
    /// Offset of the record that last freed the key; 0 if there is none.
    base::log_offset freedAt(const std::string &keyHash) const;
    /// Number of keys that have not expired.
    std::size_t size() const;

    boost::json::object toJson() const;
    void restore(field_reader &fields);

private:
    struct key_state {
        std::optional<claim_view> claim;
        base::log_offset freedAt;
        base::milliseconds lifetime{0};
        base::milliseconds expiresAt{0};
    };

    void scheduleExpiry(const std::string &keyHash, key_state &target, base::milliseconds now);

    std::map<std::string, key_state> m_keys;
    /// Expiry times with their keys, soonest first.
    std::set<std::pair<base::milliseconds, std::string>> m_expiries;
};

} // namespace chervilbend::state
