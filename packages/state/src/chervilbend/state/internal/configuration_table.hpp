#pragma once

#include <chervilbend/state/entries.hpp>
#include <chervilbend/state/internal/field_reader.hpp>
#include <chervilbend/state/internal/record_context.hpp>
#include <chervilbend/state/views.hpp>

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace chervilbend::state
{

/// The current service declarations and the most recent publishes.
class configuration_table
{
public:
    /// Returns whether the publish was accepted.
    bool apply(const publish_entry &publish, const record_context &context);

    const std::map<base::service_id, service_view> &services() const;
    /// The most recent publishes, oldest first; at most maxPublishes.
    const std::deque<publish_view> &publishes() const;
    const publish_view *findPublish(const std::string &publishId) const;
    /// Whether a service declares the model or adapter.
    bool isDeclared(const base::item_id &item) const;

    boost::json::object toJson() const;
    void restore(field_reader &fields);

private:
    /// One third of the 3,000 changes per day expected at the target size. This suffices because publishers look up their result within
    /// seconds.
    static constexpr std::size_t maxPublishes = 1024;

    bool isBaseCurrent(const publish_entry &publish) const;
    void collectDeclaredItems();

    std::map<base::service_id, service_view> m_services;
    /// Removed services with the offset of the record that removed them.
    std::map<base::service_id, base::log_offset> m_withdrawn;
    std::deque<publish_view> m_publishes;
    std::set<base::item_id> m_declared;
};

} // namespace chervilbend::state
